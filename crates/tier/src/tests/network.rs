//! Simulated network of several instances, which delays, drops, duplicates and reorders messages
//! and can be partitioned.

use std::{
    borrow::Cow,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use model::{
    CallKey, CallerKey, Effect, Event, Message, PlatformFailure, PlatformRead, Revision, TargetKey,
    Timer,
};
use note::ZoneState;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::fixture::{caller, done, report, request, settings};
use crate::{State, new_state, reduce};

const FIRST_PORT: u16 = 30_000;
/// Delay of the platform's answers, and of reports that a peer is unreachable.
const PLATFORM_DELAY: Duration = Duration::from_millis(2);
const TARGET_DELAY: Duration = Duration::from_millis(3);

/// Faults of messages between instances.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Faults {
    pub(crate) drop_ratio: f64,
    pub(crate) duplicate_ratio: f64,
    pub(crate) delay_max: Duration,
}

/// An instance and the observations of the test.
pub(crate) struct Node {
    pub(crate) state: State,
    /// Instances with different values cannot reach each other.
    pub(crate) partition: u32,
    pub(crate) can_reach_platform: bool,
    pub(crate) is_down: bool,
    pub(crate) paused_until: Option<Instant>,
    /// Number of starts, and incarnation of the current run.
    pub(crate) run: u64,
    /// Times of this run's platform reads.
    pub(crate) reads: Vec<Instant>,
    /// Time and target zone of each call sent.
    pub(crate) calls: Vec<(Instant, String)>,
}

/// The simulated platform and the pending watches on it.
#[derive(Default)]
pub(crate) struct Platform {
    pub(crate) version: u64,
    pub(crate) body: Bytes,
    watches: BTreeMap<u64, usize>,
    watches_count: u64,
}

/// An event that is scheduled for an instance.
enum NodeEvent {
    Started,
    Request(u64),
    Timer(Timer),
    Message(Message),
    PeerUnreachable(SocketAddr),
    WatchTimeout(u64),
    PlatformNote(u64, Bytes),
    InstanceList,
    PlatformFailed(PlatformRead),
    LoadReport(TargetKey),
    Reply(CallKey),
}

/// The instances, the queue of scheduled events, and the platform.
pub(crate) struct Network {
    pub(crate) nodes: Vec<Node>,
    pub(crate) now: Instant,
    pub(crate) platform: Platform,
    pub(crate) faults: Faults,
    /// Open connections, as sender and receiver, that silently drop all messages.
    pub(crate) half_open_connections: BTreeSet<(usize, usize)>,
    queue: BTreeMap<(Instant, u64), (usize, u64, NodeEvent)>,
    queued_count: u64,
    rng: ChaCha8Rng,
}

/// Returns instances that have not started, assigned in turn to the zones `north`, `south` and
/// `west`.
pub(crate) fn network(nodes_count: usize, seed: u64) -> Network {
    let mut net = Network {
        nodes: Vec::new(),
        now: Instant::now(),
        platform: Platform::default(),
        faults: Faults {
            drop_ratio: 0.0,
            duplicate_ratio: 0.0,
            delay_max: Duration::from_millis(3),
        },
        half_open_connections: BTreeSet::new(),
        queue: BTreeMap::new(),
        queued_count: 0,
        rng: ChaCha8Rng::seed_from_u64(seed),
    };
    for index in 0..nodes_count {
        net.nodes.push(Node {
            state: node_state(index, 1),
            partition: 0,
            can_reach_platform: true,
            is_down: true,
            paused_until: None,
            run: 0,
            reads: Vec::new(),
            calls: Vec::new(),
        });
    }
    net
}

/// Starts an instance, or restarts it with a fresh state.
pub(crate) fn start(net: &mut Network, index: usize) {
    let node = &mut net.nodes[index];
    node.run += 1;
    node.state = node_state(index, node.run);
    node.is_down = false;
    node.paused_until = None;
    node.reads.clear();
    push(net, net.now, index, NodeEvent::Started);
}

/// Publishes a note and answers the pending watches.
pub(crate) fn publish(net: &mut Network, body: &str) {
    net.platform.version += 1;
    net.platform.body = Bytes::copy_from_slice(body.as_bytes());
    let watches = std::mem::take(&mut net.platform.watches);
    for index in watches.into_values() {
        answer_watch(net, index);
    }
}

/// Sends a caller's request to an instance.
pub(crate) fn send_request(net: &mut Network, index: usize, number: u64) {
    push(net, net.now, index, NodeEvent::Request(number));
}

/// Runs the instances for a time; [`step`] checks every event and [`check_call`] every call.
pub(crate) fn run_for(net: &mut Network, duration: Duration) {
    let end = net.now + duration;
    while let Some(entry) = net.queue.first_entry() {
        let (at, _) = *entry.key();
        if at > end {
            break;
        }
        let (index, run, event) = entry.remove();
        net.now = net.now.max(at);
        let node = &net.nodes[index];
        if node.is_down || (node.run != run && !matches!(event, NodeEvent::Message(_))) {
            continue;
        }
        match node.paused_until.filter(|until| *until > net.now) {
            Some(until) => push(net, until, index, event),
            None => deliver(net, index, event),
        }
    }
    net.now = end;
}

/// Returns the accepted revisions of the running instances.
pub(crate) fn revisions(net: &Network) -> Vec<Revision> {
    let running = net.nodes.iter().filter(|node| !node.is_down);
    running.map(|node| node.state.fleet.revision()).collect()
}

fn node_state(index: usize, run: u64) -> State {
    let mut settings = settings();
    let zone = ["north", "south", "west"][index % 3];
    settings.instance.zone = zone.to_owned();
    settings.instance.name = format!("{zone}-{index}");
    settings.listen.peers = address(index);
    new_state(settings, run, run)
}

fn address(index: usize) -> SocketAddr {
    let port = FIRST_PORT + u16::try_from(index).expect("the network is small");
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn push(net: &mut Network, at: Instant, index: usize, event: NodeEvent) {
    net.queued_count += 1;
    let run = net.nodes[index].run;
    net.queue
        .insert((at, net.queued_count), (index, run, event));
}

fn deliver(net: &mut Network, index: usize, event: NodeEvent) {
    let report = report(1);
    match &event {
        NodeEvent::Started => step(net, index, Event::Started),
        NodeEvent::Request(number) => {
            let caller: CallerKey = caller(*number);
            let request = request("parts");
            step(net, index, Event::Request { caller, request });
        }
        NodeEvent::Timer(timer) => step(net, index, Event::Timer(*timer)),
        NodeEvent::Message(message) => {
            let message = Cow::Borrowed(message);
            step(net, index, Event::Peer { message });
        }
        NodeEvent::PeerUnreachable(address) => {
            let address = *address;
            step(net, index, Event::PeerUnreachable { address });
        }
        NodeEvent::WatchTimeout(number) => {
            if net.platform.watches.remove(number).is_some() {
                answer_watch(net, index);
            }
        }
        NodeEvent::PlatformNote(version, body) => {
            let version = *version;
            step(net, index, Event::PlatformNote { version, body });
        }
        NodeEvent::InstanceList => {
            let body = instance_list(net);
            step(
                net,
                index,
                Event::PlatformInstances {
                    body: body.as_bytes(),
                },
            );
        }
        NodeEvent::PlatformFailed(read) => {
            let failure = PlatformFailure::Unreachable;
            step(
                net,
                index,
                Event::PlatformFailed {
                    read: *read,
                    failure,
                },
            );
        }
        NodeEvent::LoadReport(target) => step(
            net,
            index,
            Event::Load {
                target: *target,
                report,
            },
        ),
        NodeEvent::Reply(call) => step(net, index, done(*call, b"{}")),
    }
}

/// Reduces one event, checks that the revision does not decrease, and runs the effects.
fn step(net: &mut Network, index: usize, event: Event<'_>) {
    let node = &mut net.nodes[index];
    let before = node.state.fleet.revision();
    let mut out = Vec::new();
    reduce(&mut node.state, net.now, event, &mut out);
    let after = node.state.fleet.revision();
    assert!(after >= before, "the revision decreased: {before} {after}");
    for effect in out {
        run_effect(net, index, effect);
    }
}

fn run_effect(net: &mut Network, index: usize, effect: Effect) {
    match effect {
        Effect::Send { address, message } => send(net, index, address, message),
        Effect::Reconnect { address } => {
            let to = usize::from(address.port() - FIRST_PORT);
            net.half_open_connections.remove(&(index, to));
        }
        Effect::SetTimer { timer, after } => {
            push(net, net.now + after, index, NodeEvent::Timer(timer))
        }
        Effect::ReadPlatform(read) => read_platform(net, index, read),
        Effect::ProbeLoad { target, .. } => {
            push(
                net,
                net.now + TARGET_DELAY,
                index,
                NodeEvent::LoadReport(target),
            );
        }
        Effect::Call(call) => {
            check_call(net, index, call.target);
            push(
                net,
                net.now + TARGET_DELAY,
                index,
                NodeEvent::Reply(call.call),
            );
        }
        _ => {}
    }
}

/// Checks that the accepted configuration has the state `In` for a call's target and zone, and
/// records the call.
fn check_call(net: &mut Network, index: usize, target: TargetKey) {
    let node = &mut net.nodes[index];
    let target = &node.state.routes.targets[target];
    let note = node.state.fleet.note.as_ref().expect("a note is accepted");
    let services = &note.fleet.services;
    let mut targets = services.iter().flat_map(|service| &service.targets);
    let published = targets.find(|published| published.name == target.name);
    let published = published.expect("the target is part of the configuration");
    assert_eq!(published.state, note::TargetState::In);
    let mut zones = note.fleet.zones.iter();
    let zone = zones.find(|zone| zone.name == published.zone);
    let zone = zone.expect("the zone is part of the configuration");
    assert_eq!(zone.state, ZoneState::In, "call to a zone that is out");
    node.calls.push((net.now, zone.name.clone()));
}

fn send(net: &mut Network, from: usize, to: SocketAddr, message: Message) {
    let index = usize::from(to.port() - FIRST_PORT);
    if net.nodes[index].is_down {
        push(
            net,
            net.now + PLATFORM_DELAY,
            from,
            NodeEvent::PeerUnreachable(to),
        );
        return;
    }
    if net.nodes[index].partition != net.nodes[from].partition {
        return;
    }
    if net.half_open_connections.contains(&(from, index)) {
        return;
    }
    let copies_count = 1 + usize::from(net.rng.random_bool(net.faults.duplicate_ratio));
    for _ in 0..copies_count {
        if net.rng.random_bool(net.faults.drop_ratio) {
            continue;
        }
        let delay = net.faults.delay_max.mul_f64(net.rng.random_range(0.1..1.0));
        push(
            net,
            net.now + delay,
            index,
            NodeEvent::Message(message.clone()),
        );
    }
}

fn read_platform(net: &mut Network, index: usize, read: PlatformRead) {
    net.nodes[index].reads.push(net.now);
    if !net.nodes[index].can_reach_platform {
        push(
            net,
            net.now + PLATFORM_DELAY,
            index,
            NodeEvent::PlatformFailed(read),
        );
        return;
    }
    match read {
        PlatformRead::Instances => push(
            net,
            net.now + PLATFORM_DELAY,
            index,
            NodeEvent::InstanceList,
        ),
        PlatformRead::WatchNote { after_version } if after_version < net.platform.version => {
            answer_watch(net, index);
        }
        PlatformRead::WatchNote { .. } => {
            net.platform.watches_count += 1;
            let number = net.platform.watches_count;
            net.platform.watches.insert(number, index);
            let wait = net.nodes[index].state.settings.platform.watch_timeout;
            push(net, net.now + wait, index, NodeEvent::WatchTimeout(number));
        }
    }
}

fn answer_watch(net: &mut Network, index: usize) {
    let event = if net.nodes[index].can_reach_platform {
        NodeEvent::PlatformNote(net.platform.version, net.platform.body.clone())
    } else {
        NodeEvent::PlatformFailed(PlatformRead::WatchNote { after_version: 0 })
    };
    push(net, net.now + PLATFORM_DELAY, index, event);
}

fn instance_list(net: &Network) -> String {
    let listed = net
        .nodes
        .iter()
        .enumerate()
        .filter(|(_, node)| !node.is_down);
    let listed = listed.map(|(index, node)| {
        serde_json::json!({
            "name": node.state.fleet.id.name, "zone": node.state.fleet.zone,
            "peers": address(index).to_string(), "state": "live",
        })
    });
    serde_json::Value::Array(listed.collect()).to_string()
}
