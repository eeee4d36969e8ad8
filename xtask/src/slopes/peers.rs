//! Measures the cost of membership for one instance: heap, and the time and bytes of digests.

use std::{borrow::Cow, net::SocketAddr, time::Duration};

use bytes::Bytes;
use model::{Digest, Event, InstanceId, MemberRow, MemberState, Message, Observations};
use serde_json::json;

use crate::{
    fixtures,
    simulated_instance::{
        Platform, SimulatedInstance, advance_time, reduce_events, reset_counters, start,
    },
};

/// Targets of the configuration; few, so that the exchange of digests dominates.
const TARGETS_COUNT: u32 = 2;
const TICKS_COUNT: u32 = 100;
/// Digests that an instance receives in each tick, as many as it sends.
const DIGESTS_PER_TICK_COUNT: u32 = 2;

/// The quantities of [`by_instances`].
pub const QUANTITIES: &[&str] = &["state_bytes", "us_per_second", "sent_bytes_per_second"];

/// Measures the heap, and the time and bytes of the exchange of digests, by number of instances.
pub fn by_instances(instances_count: u32) -> Vec<f64> {
    let platform = Platform {
        note: fixtures::encode_note(&fixtures::note(TARGETS_COUNT, 1)),
        instances: Bytes::from(instance_list(instances_count)),
    };
    let mut instances = Vec::new();
    let allocations = allocation_counter::measure(|| {
        let mut instance = start(platform.clone());
        instance.effects = Vec::new();
        instance.sent_messages = Vec::new();
        instances.push(instance);
    });
    let mut instance = instances.remove(0);
    reset_counters(&mut instance);
    let sent_bytes = exchange_digests(&mut instance, instances_count);
    let tick = instance.state.settings.fleet.tick;
    let seconds = (tick * TICKS_COUNT).as_secs_f64();
    vec![
        allocations.bytes_current as f64,
        instance.reducer_time.as_secs_f64() * 1e6 / seconds,
        sent_bytes as f64 / seconds,
    ]
}

/// Simulates the other instances for the measured ticks and returns the bytes sent to them.
fn exchange_digests(instance: &mut SimulatedInstance, instances_count: u32) -> usize {
    let tick = instance.state.settings.fleet.tick;
    let mut sent_bytes = 0;
    for digest_index in 0..TICKS_COUNT * DIGESTS_PER_TICK_COUNT {
        advance_time(instance, tick / DIGESTS_PER_TICK_COUNT);
        let peer_index = 1 + digest_index % (instances_count - 1);
        // Of the digests received in a tick, one wants a reply, as of those that an instance sends.
        let wants_reply = digest_index.is_multiple_of(DIGESTS_PER_TICK_COUNT);
        let incoming = digest(
            peer_index,
            u64::from(digest_index),
            wants_reply,
            instances_count,
        );
        receive_digest(instance, incoming);
        for (address, message) in std::mem::take(&mut instance.sent_messages) {
            sent_bytes += wire::encode(&message).len();
            let Message::Digest(outgoing) = message else {
                continue;
            };
            if outgoing.wants_reply {
                let peer_index = index_of(address);
                receive_digest(
                    instance,
                    digest(peer_index, outgoing.sequence, false, instances_count),
                );
            }
        }
    }
    sent_bytes
}

fn receive_digest(instance: &mut SimulatedInstance, digest: Digest) {
    let message = Cow::Owned(Message::Digest(digest));
    reduce_events(instance, [Event::Peer { message }]);
}

fn digest(peer_index: u32, sequence: u64, wants_reply: bool, instances_count: u32) -> Digest {
    let relayed = (1..=3).map(|offset| 1 + (peer_index + offset) % (instances_count - 1));
    Digest {
        from: member_row(peer_index),
        sequence,
        wants_reply,
        is_repeated: false,
        revision: 1,
        version_in_force: 0,
        freshness_age: Duration::from_millis(100),
        members: relayed.map(member_row).collect(),
        observations: Observations::default(),
    }
}

fn member_row(peer_index: u32) -> MemberRow {
    MemberRow {
        id: InstanceId {
            name: name(peer_index),
            incarnation: 7,
        },
        address: address(peer_index),
        zone: fixtures::zone_name(peer_index),
        capacity_millicores: 0,
        understands_permits: true,
        counter: 0,
        state: MemberState::Alive,
    }
}

/// Returns the platform's list of instances.
pub fn instance_list(instances_count: u32) -> Vec<u8> {
    let entries: Vec<serde_json::Value> = (0..instances_count).map(instance_entry).collect();
    serde_json::to_vec(&entries).expect("a list can be encoded")
}

fn instance_entry(index: u32) -> serde_json::Value {
    json!({
        "name": name(index), "zone": fixtures::zone_name(index),
        "peers": address(index), "state": "live",
    })
}

/// Returns the name of an instance.
pub fn name(index: u32) -> String {
    format!("{}-instance-{index}", fixtures::zone_name(index))
}

/// Returns the address on which an instance accepts peers.
pub fn address(index: u32) -> SocketAddr {
    let [_, _, high, low] = index.to_be_bytes();
    ([127, 2, high, low], 7000).into()
}

/// Inverse of [`address`]; 0 for an IPv6 address.
fn index_of(address: SocketAddr) -> u32 {
    let SocketAddr::V4(address) = address else {
        return 0;
    };
    let [_, _, high, low] = address.ip().octets();
    u32::from(u16::from_be_bytes([high, low]))
}
