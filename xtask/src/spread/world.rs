//! Reducers joined by a queue in simulated time, with counts of what they send and read.

use std::{
    borrow::Cow,
    collections::BTreeMap,
    time::{Duration, Instant},
};

use bytes::Bytes;
use model::{Effect, Event, Message, PlatformFailure, PlatformRead, Timer};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tier::State;

use crate::documents;

/// One way between two instances.
const PEER_DELAY: Duration = Duration::from_micros(1500);
/// Time that the platform takes to answer.
const PLATFORM_DELAY: Duration = Duration::from_millis(5);
/// Simulated time between two checks of a condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Name of the log line of an instance's own suspicion.
const SUSPICION_LINE: &str = "member-suspected";
/// Length prefix of a frame.
const FRAME_PREFIX_BYTES: u64 = 4;

/// What one instance has sent, received and read.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub sent_bytes: u64,
    pub received_bytes: u64,
    pub messages_count: u64,
    pub bodies_bytes: u64,
    pub reads_count: u64,
    pub suspicions_count: u64,
}

/// One instance.
pub struct Node {
    pub state: State,
    pub sees_platform: bool,
    pub is_down: bool,
    pub counts: Counts,
}

/// What is due at one instance.
enum Due {
    Started,
    Timer(Timer),
    Frame(Bytes),
    WatchOver(u64),
    Note,
    List,
    Failed(PlatformRead),
}

/// The instances, the queue between them and the platform.
pub struct World {
    pub nodes: Vec<Node>,
    pub now: Instant,
    pub loss_ratio: f64,
    /// Processor time of all reducers and of the encoding of their messages.
    pub busy: Duration,
    instances: String,
    version: u64,
    body: Bytes,
    watches: BTreeMap<u64, usize>,
    queue: BTreeMap<(Instant, u64), (usize, Due)>,
    numbers_count: u64,
    rng: ChaCha8Rng,
}

/// Returns a fleet that has started and published its first configuration.
pub fn open(size_count: usize, loss_ratio: f64) -> World {
    let zones_count = documents::zones_count(size_count);
    let mut world = World {
        nodes: Vec::new(),
        now: Instant::now(),
        loss_ratio,
        busy: Duration::ZERO,
        instances: documents::instances(size_count, zones_count),
        version: 0,
        body: Bytes::new(),
        watches: BTreeMap::new(),
        queue: BTreeMap::new(),
        numbers_count: 0,
        rng: ChaCha8Rng::seed_from_u64(size_count as u64),
    };
    publish(&mut world, documents::note(2, zones_count, zones_count));
    for index in 0..size_count {
        let settings = documents::settings(index, zones_count);
        let tick = settings.fleet.tick;
        world.nodes.push(Node {
            state: tier::open(settings, 1, index as u64),
            sees_platform: true,
            is_down: false,
            counts: Counts::default(),
        });
        let after = tick.mul_f64(world.rng.random_range(0.0..1.0));
        push(&mut world, after, index, Due::Started);
    }
    world
}

/// Publishes a value and wakes whoever waits for it.
pub fn publish(world: &mut World, body: String) {
    world.version += 1;
    world.body = body.into();
    for index in std::mem::take(&mut world.watches).into_values() {
        push(world, PLATFORM_DELAY, index, Due::Note);
    }
}

/// Runs the fleet until a condition holds or the time is over; returns whether it holds.
pub fn run_until(
    world: &mut World,
    duration: Duration,
    mut holds: impl FnMut(&World) -> bool,
) -> bool {
    let end = world.now + duration;
    let mut check_at = world.now;
    while let Some(entry) = world.queue.first_entry() {
        let (at, _) = *entry.key();
        if at > end {
            break;
        }
        let (index, due) = entry.remove();
        world.now = at;
        if world.nodes[index].is_down {
            continue;
        }
        deliver(world, index, due);
        if world.now < check_at {
            continue;
        }
        check_at = world.now + CHECK_INTERVAL;
        if holds(world) {
            return true;
        }
    }
    world.now = end;
    false
}

/// Runs the fleet for a time.
pub fn run_for(world: &mut World, duration: Duration) {
    run_until(world, duration, |_| false);
}

fn push(world: &mut World, after: Duration, index: usize, due: Due) {
    world.numbers_count += 1;
    let key = (world.now + after, world.numbers_count);
    world.queue.insert(key, (index, due));
}

/// Passes what is due to the instance.
fn deliver(world: &mut World, index: usize, due: Due) {
    match due {
        Due::Started => step(world, index, Event::Started),
        Due::Timer(timer) => step(world, index, Event::Timer(timer)),
        Due::Frame(frame) => {
            world.nodes[index].counts.received_bytes += frame_bytes(&frame);
            let started = Instant::now();
            let message = wire::decode(&frame).expect("frames are sound");
            world.busy += started.elapsed();
            let message = Cow::Owned(message);
            step(world, index, Event::Peer { message });
        }
        Due::WatchOver(number) => {
            if world.watches.remove(&number).is_some() {
                push(world, PLATFORM_DELAY, index, Due::Note);
            }
        }
        Due::Note if !world.nodes[index].sees_platform => {
            let read = PlatformRead::WatchNote { after_version: 0 };
            failed(world, index, read);
        }
        Due::Note => {
            let (version, body) = (world.version, world.body.clone());
            let body = &body;
            step(world, index, Event::PlatformNote { version, body });
        }
        Due::List => {
            let body = world.instances.clone();
            let body = body.as_bytes();
            step(world, index, Event::PlatformInstances { body });
        }
        Due::Failed(read) => failed(world, index, read),
    }
}

fn failed(world: &mut World, index: usize, read: PlatformRead) {
    let failure = PlatformFailure::Unreachable;
    step(world, index, Event::PlatformFailed { read, failure });
}

fn step(world: &mut World, index: usize, event: Event<'_>) {
    let mut out = Vec::new();
    let started = Instant::now();
    tier::reduce(&mut world.nodes[index].state, world.now, event, &mut out);
    world.busy += started.elapsed();
    for effect in out {
        run_effect(world, index, effect);
    }
}

fn run_effect(world: &mut World, index: usize, effect: Effect) {
    match effect {
        Effect::Send { address, message } => {
            send(world, index, documents::index_of(address), &message);
        }
        Effect::SetTimer { timer, after } => push(world, after, index, Due::Timer(timer)),
        Effect::ReadPlatform(read) => read_platform(world, index, read),
        Effect::Log(line) if line.name == SUSPICION_LINE => {
            world.nodes[index].counts.suspicions_count += 1;
        }
        _ => {}
    }
}

fn send(world: &mut World, from: usize, to: usize, message: &Message) {
    let started = Instant::now();
    let frame = wire::encode(message);
    world.busy += started.elapsed();
    let counts = &mut world.nodes[from].counts;
    counts.sent_bytes += frame_bytes(&frame);
    counts.messages_count += 1;
    if let Message::Note { .. } = message {
        counts.bodies_bytes += frame_bytes(&frame);
    }
    if world.nodes[to].is_down {
        return;
    }
    if !world.rng.random_bool(world.loss_ratio) {
        push(world, PEER_DELAY, to, Due::Frame(frame));
    }
}

fn read_platform(world: &mut World, index: usize, read: PlatformRead) {
    world.nodes[index].counts.reads_count += 1;
    if !world.nodes[index].sees_platform {
        push(world, PLATFORM_DELAY, index, Due::Failed(read));
        return;
    }
    match read {
        PlatformRead::Instances => push(world, PLATFORM_DELAY, index, Due::List),
        PlatformRead::WatchNote { after_version } if after_version < world.version => {
            push(world, PLATFORM_DELAY, index, Due::Note);
        }
        PlatformRead::WatchNote { .. } => {
            world.numbers_count += 1;
            let number = world.numbers_count;
            world.watches.insert(number, index);
            let wait = world.nodes[index].state.settings.platform.watch_timeout;
            push(world, wait, index, Due::WatchOver(number));
        }
    }
}

fn frame_bytes(frame: &Bytes) -> u64 {
    frame.len() as u64 + FRAME_PREFIX_BYTES
}
