//! Several reducers joined by a queue that delays, drops, doubles, reorders and cuts messages.

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
use crate::{State, open, reduce};

const FIRST_PORT: u16 = 30_000;
const PLATFORM_DELAY: Duration = Duration::from_millis(2);
const TARGET_DELAY: Duration = Duration::from_millis(3);

/// What the queue does to messages between instances.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Faults {
    pub(crate) drop_ratio: f64,
    pub(crate) double_ratio: f64,
    pub(crate) delay_max: Duration,
}

/// One instance and what the test observes of it.
pub(crate) struct Node {
    pub(crate) state: State,
    /// Instances of different groups cannot reach each other.
    pub(crate) group: u32,
    pub(crate) sees_platform: bool,
    pub(crate) is_down: bool,
    pub(crate) paused_until: Option<Instant>,
    pub(crate) run: u64,
    /// Times of this run's reads of the platform.
    pub(crate) reads: Vec<Instant>,
    /// Zones of the calls that were sent, with their times.
    pub(crate) calls: Vec<(Instant, String)>,
}

/// The platform as the instances see it.
#[derive(Default)]
pub(crate) struct Platform {
    pub(crate) version: u64,
    pub(crate) body: Bytes,
    watches: BTreeMap<u64, usize>,
    watches_count: u64,
}

/// What is due at one instance.
enum Due {
    Started,
    Request(u64),
    Timer(Timer),
    Message(Message),
    Unreachable(SocketAddr),
    WatchOver(u64),
    Note(u64, Bytes),
    List,
    Failed(PlatformRead),
    Load(TargetKey),
    Reply(CallKey),
}

/// The instances, the queue between them, and the platform.
pub(crate) struct Net {
    pub(crate) nodes: Vec<Node>,
    pub(crate) now: Instant,
    pub(crate) platform: Platform,
    pub(crate) faults: Faults,
    /// Open connections, from and to, on which nothing arrives any more.
    pub(crate) silent_connections: BTreeSet<(usize, usize)>,
    queue: BTreeMap<(Instant, u64), (usize, u64, Due)>,
    queued_count: u64,
    rng: ChaCha8Rng,
}

/// Returns instances that take turns in the zones `north`, `south` and `west`, not started yet.
pub(crate) fn net(nodes_count: usize, seed: u64) -> Net {
    let mut net = Net {
        nodes: Vec::new(),
        now: Instant::now(),
        platform: Platform::default(),
        faults: Faults {
            drop_ratio: 0.0,
            double_ratio: 0.0,
            delay_max: Duration::from_millis(3),
        },
        silent_connections: BTreeSet::new(),
        queue: BTreeMap::new(),
        queued_count: 0,
        rng: ChaCha8Rng::seed_from_u64(seed),
    };
    for index in 0..nodes_count {
        net.nodes.push(Node {
            state: node_state(index, 1),
            group: 0,
            sees_platform: true,
            is_down: true,
            paused_until: None,
            run: 0,
            reads: Vec::new(),
            calls: Vec::new(),
        });
    }
    net
}

/// Starts an instance, or replaces it by a new run that knows nothing.
pub(crate) fn start(net: &mut Net, index: usize) {
    let node = &mut net.nodes[index];
    node.run += 1;
    node.state = node_state(index, node.run);
    node.is_down = false;
    node.paused_until = None;
    node.reads.clear();
    push(net, net.now, index, Due::Started);
}

/// Publishes a value and wakes whoever waits for it.
pub(crate) fn publish(net: &mut Net, body: &str) {
    net.platform.version += 1;
    net.platform.body = Bytes::copy_from_slice(body.as_bytes());
    let watches = std::mem::take(&mut net.platform.watches);
    for index in watches.into_values() {
        answer_watch(net, index);
    }
}

/// Sends a request of a caller to an instance.
pub(crate) fn ask(net: &mut Net, index: usize, number: u64) {
    push(net, net.now, index, Due::Request(number));
}

/// Runs the instances for a time and checks after each event what must always hold.
pub(crate) fn run_for(net: &mut Net, duration: Duration) {
    let end = net.now + duration;
    while let Some(entry) = net.queue.first_entry() {
        let (at, _) = *entry.key();
        if at > end {
            break;
        }
        let (index, run, due) = entry.remove();
        net.now = net.now.max(at);
        let node = &net.nodes[index];
        if node.is_down || (node.run != run && !matches!(due, Due::Message(_))) {
            continue;
        }
        match node.paused_until.filter(|until| *until > net.now) {
            Some(until) => push(net, until, index, due),
            None => deliver(net, index, due),
        }
    }
    net.now = end;
}

/// Returns the revisions of the instances that run.
pub(crate) fn revisions(net: &Net) -> Vec<Revision> {
    let running = net.nodes.iter().filter(|node| !node.is_down);
    running.map(|node| node.state.fleet.revision()).collect()
}

fn node_state(index: usize, run: u64) -> State {
    let mut settings = settings();
    let zone = ["north", "south", "west"][index % 3];
    settings.instance.zone = zone.to_owned();
    settings.instance.name = format!("{zone}-{index}");
    settings.listen.peers = address(index);
    open(settings, run, run)
}

fn address(index: usize) -> SocketAddr {
    let port = FIRST_PORT + u16::try_from(index).expect("the net is small");
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn push(net: &mut Net, at: Instant, index: usize, due: Due) {
    net.queued_count += 1;
    let run = net.nodes[index].run;
    net.queue.insert((at, net.queued_count), (index, run, due));
}

fn deliver(net: &mut Net, index: usize, due: Due) {
    let report = report(1);
    match &due {
        Due::Started => step(net, index, Event::Started),
        Due::Request(number) => {
            let caller: CallerKey = caller(*number);
            let request = request("parts");
            step(net, index, Event::Request { caller, request });
        }
        Due::Timer(timer) => step(net, index, Event::Timer(*timer)),
        Due::Message(message) => {
            let message = Cow::Borrowed(message);
            step(net, index, Event::Peer { message });
        }
        Due::Unreachable(address) => {
            let address = *address;
            step(net, index, Event::PeerUnreachable { address });
        }
        Due::WatchOver(number) => {
            if net.platform.watches.remove(number).is_some() {
                answer_watch(net, index);
            }
        }
        Due::Note(version, body) => {
            let version = *version;
            step(net, index, Event::PlatformNote { version, body });
        }
        Due::List => {
            let body = instance_list(net);
            step(
                net,
                index,
                Event::PlatformInstances {
                    body: body.as_bytes(),
                },
            );
        }
        Due::Failed(read) => {
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
        Due::Load(target) => step(
            net,
            index,
            Event::Load {
                target: *target,
                report,
            },
        ),
        Due::Reply(call) => step(net, index, done(*call, b"{}")),
    }
}

/// Passes one event to an instance, checks the effects and runs them.
fn step(net: &mut Net, index: usize, event: Event<'_>) {
    let node = &mut net.nodes[index];
    let before = node.state.fleet.revision();
    let mut out = Vec::new();
    reduce(&mut node.state, net.now, event, &mut out);
    let after = node.state.fleet.revision();
    assert!(after >= before, "the revision went down: {before} {after}");
    for effect in out {
        run_effect(net, index, effect);
    }
}

fn run_effect(net: &mut Net, index: usize, effect: Effect) {
    match effect {
        Effect::Send { address, message } => send(net, index, address, message),
        Effect::Reconnect { address } => {
            let to = usize::from(address.port() - FIRST_PORT);
            net.silent_connections.remove(&(index, to));
        }
        Effect::SetTimer { timer, after } => push(net, net.now + after, index, Due::Timer(timer)),
        Effect::ReadPlatform(read) => read_platform(net, index, read),
        Effect::AskLoad { target, .. } => {
            push(net, net.now + TARGET_DELAY, index, Due::Load(target));
        }
        Effect::Call(call) => {
            check_call(net, index, call.target);
            push(net, net.now + TARGET_DELAY, index, Due::Reply(call.call));
        }
        _ => {}
    }
}

/// Checks that a call goes to a zone that the accepted configuration has in.
fn check_call(net: &mut Net, index: usize, target: TargetKey) {
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
    assert_eq!(zone.state, ZoneState::In, "new work to a zone that is out");
    node.calls.push((net.now, zone.name.clone()));
}

fn send(net: &mut Net, from: usize, to: SocketAddr, message: Message) {
    let index = usize::from(to.port() - FIRST_PORT);
    if net.nodes[index].is_down {
        push(net, net.now + PLATFORM_DELAY, from, Due::Unreachable(to));
        return;
    }
    if net.nodes[index].group != net.nodes[from].group {
        return;
    }
    if net.silent_connections.contains(&(from, index)) {
        return;
    }
    let copies_count = 1 + usize::from(net.rng.random_bool(net.faults.double_ratio));
    for _ in 0..copies_count {
        if net.rng.random_bool(net.faults.drop_ratio) {
            continue;
        }
        let delay = net.faults.delay_max.mul_f64(net.rng.random_range(0.1..1.0));
        push(net, net.now + delay, index, Due::Message(message.clone()));
    }
}

fn read_platform(net: &mut Net, index: usize, read: PlatformRead) {
    net.nodes[index].reads.push(net.now);
    if !net.nodes[index].sees_platform {
        push(net, net.now + PLATFORM_DELAY, index, Due::Failed(read));
        return;
    }
    match read {
        PlatformRead::Instances => push(net, net.now + PLATFORM_DELAY, index, Due::List),
        PlatformRead::WatchNote { after_version } if after_version < net.platform.version => {
            answer_watch(net, index);
        }
        PlatformRead::WatchNote { .. } => {
            net.platform.watches_count += 1;
            let number = net.platform.watches_count;
            net.platform.watches.insert(number, index);
            let wait = net.nodes[index].state.settings.platform.watch_timeout;
            push(net, net.now + wait, index, Due::WatchOver(number));
        }
    }
}

fn answer_watch(net: &mut Net, index: usize) {
    let due = if net.nodes[index].sees_platform {
        Due::Note(net.platform.version, net.platform.body.clone())
    } else {
        Due::Failed(PlatformRead::WatchNote { after_version: 0 })
    };
    push(net, net.now + PLATFORM_DELAY, index, due);
}

fn instance_list(net: &Net) -> String {
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
