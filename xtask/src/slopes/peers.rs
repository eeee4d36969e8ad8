//! What other instances cost one instance: heap, and the time and bytes of the exchange of digests.

use std::{borrow::Cow, net::SocketAddr, time::Duration};

use bytes::Bytes;
use model::{Digest, Event, InstanceId, MemberRow, MemberState, Message};
use serde_json::json;

use crate::{
    fixtures,
    instance::{Instance, Platform, feed, join, pass, reset},
};

/// Targets of the configuration; none, so that only the exchange is measured.
const TARGETS_COUNT: u32 = 2;
/// Ticks that are measured.
const TICKS_COUNT: u32 = 100;
/// Digests that reach an instance in each tick: as many as it sends itself.
const RECEIVED_PER_TICK_COUNT: u32 = 2;

/// The quantities of [`by_instances`].
pub const QUANTITIES: &[&str] = &["state_bytes", "us_per_second", "sent_bytes_per_second"];

/// Heap of the membership, and time and bytes of the exchange, against the instances.
pub fn by_instances(instances_count: u32) -> Vec<f64> {
    let platform = Platform {
        note: fixtures::encoded(&fixtures::note(TARGETS_COUNT, 1)),
        instances: Bytes::from(list(instances_count)),
    };
    let mut kept = Vec::new();
    let allocations = allocation_counter::measure(|| {
        let mut instance = join(platform.clone());
        instance.out = Vec::new();
        instance.sent = Vec::new();
        kept.push(instance);
    });
    let mut instance = kept.remove(0);
    reset(&mut instance);
    let sent_bytes = exchange(&mut instance, instances_count);
    let tick = instance.state.settings.fleet.tick;
    let seconds = (tick * TICKS_COUNT).as_secs_f64();
    vec![
        allocations.bytes_current as f64,
        instance.spent.as_secs_f64() * 1e6 / seconds,
        sent_bytes as f64 / seconds,
    ]
}

/// Lets time pass, plays the other instances, and returns the bytes of what was sent to them.
fn exchange(instance: &mut Instance, instances_count: u32) -> usize {
    let tick = instance.state.settings.fleet.tick;
    let mut sent_bytes = 0;
    for turn in 0..TICKS_COUNT * RECEIVED_PER_TICK_COUNT {
        pass(instance, tick / RECEIVED_PER_TICK_COUNT);
        let peer = 1 + turn % (instances_count - 1);
        // Of the digests that an instance sends in a tick, one asks for a reply.
        let wants_reply = turn.is_multiple_of(RECEIVED_PER_TICK_COUNT);
        let told = digest(peer, u64::from(turn), wants_reply, instances_count);
        receive(instance, told);
        for (address, message) in std::mem::take(&mut instance.sent) {
            sent_bytes += wire::encode(&message).len();
            let Message::Digest(asked) = message else {
                continue;
            };
            if asked.wants_reply {
                let peer = number(address);
                receive(
                    instance,
                    digest(peer, asked.sequence, false, instances_count),
                );
            }
        }
    }
    sent_bytes
}

fn receive(instance: &mut Instance, digest: Digest) {
    let message = Cow::Owned(Message::Digest(digest));
    feed(instance, [Event::Peer { message }]);
}

fn digest(peer: u32, sequence: u64, wants_reply: bool, instances_count: u32) -> Digest {
    let relayed = (1..=3).map(|step| 1 + (peer + step) % (instances_count - 1));
    Digest {
        from: row(peer),
        sequence,
        wants_reply,
        revision: 1,
        freshness_age: Duration::from_millis(100),
        members: relayed.map(row).collect(),
        quarantine: Vec::new(),
    }
}

fn row(peer: u32) -> MemberRow {
    MemberRow {
        id: InstanceId {
            name: name(peer),
            incarnation: 7,
        },
        address: address(peer),
        zone: fixtures::zone_name(peer),
        capacity_millicores: 0,
        counter: 0,
        state: MemberState::Alive,
    }
}

/// Returns the platform's list of instances.
pub fn list(instances_count: u32) -> Vec<u8> {
    let list: Vec<serde_json::Value> = (0..instances_count).map(listed).collect();
    serde_json::to_vec(&list).expect("a list can be encoded")
}

fn listed(peer: u32) -> serde_json::Value {
    json!({
        "name": name(peer), "zone": fixtures::zone_name(peer),
        "peers": address(peer), "state": "live",
    })
}

/// Returns the name of an instance.
pub fn name(peer: u32) -> String {
    format!("{}-instance-{peer}", fixtures::zone_name(peer))
}

/// Returns the address of an instance's peers' port.
pub fn address(peer: u32) -> SocketAddr {
    let [_, _, high, low] = peer.to_be_bytes();
    ([127, 2, high, low], 7000).into()
}

/// Returns the number of the instance at an address that [`address`] has given.
fn number(address: SocketAddr) -> u32 {
    let SocketAddr::V4(address) = address else {
        return 0;
    };
    let [_, _, high, low] = address.ip().octets();
    u32::from(u16::from_be_bytes([high, low]))
}
