//! Simulates a fleet: reducers that exchange messages through a queue in simulated time.

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

use crate::fixtures;

/// One-way delay between two instances.
const PEER_DELAY: Duration = Duration::from_micros(1500);
/// Delay of an answer of the platform.
const PLATFORM_DELAY: Duration = Duration::from_millis(5);
/// Minimum simulated time between two checks of a condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Log event of an instance that starts to suspect another one by itself.
const SUSPICION_EVENT: &str = "member-suspected";
/// Size of the length prefix of a frame.
const FRAME_PREFIX_BYTES: u64 = 4;

/// Counters of one instance since the last reset.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub sent_bytes: u64,
    pub received_bytes: u64,
    pub messages_count: u64,
    /// Part of `sent_bytes` that carries release notes.
    pub notes_bytes: u64,
    /// Reads of the platform that were started.
    pub reads_count: u64,
    /// Suspicions that the instance raised itself.
    pub suspicions_count: u64,
}

/// An instance: the state of its reducer, its faults and its counters.
pub struct SimulatedInstance {
    pub state: State,
    pub is_platform_reachable: bool,
    /// Whether the instance drops all events and messages.
    pub is_stopped: bool,
    pub counts: Counts,
}

/// An event that is due at an instance.
enum ScheduledEvent {
    Started,
    Timer(Timer),
    Frame(Bytes),
    /// The watch of this number ends without a change.
    WatchTimeout(u64),
    PlatformNote,
    PlatformInstances,
    ReadFailure(PlatformRead),
}

/// The instances, the event queue and the platform.
pub struct FleetSimulation {
    pub instances: Vec<SimulatedInstance>,
    pub now: Instant,
    pub loss_ratio: f64,
    /// Time spent in all reducers and in encoding and decoding their messages.
    pub processor_time: Duration,
    instance_list: String,
    /// Platform's version of the published note.
    version: u64,
    /// The published note.
    body: Bytes,
    /// Indexes of the instances with an open watch, by number of the watch.
    watches: BTreeMap<u64, usize>,
    queue: BTreeMap<(Instant, u64), (usize, ScheduledEvent)>,
    last_sequence: u64,
    rng: ChaCha8Rng,
}

/// Publishes the first configuration and schedules the start of every instance within one tick.
pub fn start_fleet(instances_count: usize, loss_ratio: f64) -> FleetSimulation {
    let zones_count = fixtures::zones_count(instances_count);
    let mut simulation = FleetSimulation {
        instances: Vec::new(),
        now: Instant::now(),
        loss_ratio,
        processor_time: Duration::ZERO,
        instance_list: fixtures::instance_list(instances_count, zones_count),
        version: 0,
        body: Bytes::new(),
        watches: BTreeMap::new(),
        queue: BTreeMap::new(),
        last_sequence: 0,
        rng: ChaCha8Rng::seed_from_u64(instances_count as u64),
    };
    publish(&mut simulation, fixtures::note(2, zones_count, zones_count));
    for index in 0..instances_count {
        let settings = fixtures::settings(index, zones_count);
        let tick = settings.fleet.tick;
        simulation.instances.push(SimulatedInstance {
            state: tier::new_state(settings, 1, index as u64),
            is_platform_reachable: true,
            is_stopped: false,
            counts: Counts::default(),
        });
        let after = tick.mul_f64(simulation.rng.random_range(0.0..1.0));
        schedule(&mut simulation, after, index, ScheduledEvent::Started);
    }
    simulation
}

/// Publishes a note and completes all open watches.
pub fn publish(simulation: &mut FleetSimulation, body: String) {
    simulation.version += 1;
    simulation.body = body.into();
    for index in std::mem::take(&mut simulation.watches).into_values() {
        schedule(
            simulation,
            PLATFORM_DELAY,
            index,
            ScheduledEvent::PlatformNote,
        );
    }
}

/// Runs the fleet until `is_done` returns true or `duration` has passed; returns whether it is
/// done.
pub fn run_until(
    simulation: &mut FleetSimulation,
    duration: Duration,
    mut is_done: impl FnMut(&FleetSimulation) -> bool,
) -> bool {
    let end = simulation.now + duration;
    let mut check_at = simulation.now;
    while let Some(entry) = simulation.queue.first_entry() {
        let (at, _) = *entry.key();
        if at > end {
            break;
        }
        let (index, scheduled) = entry.remove();
        simulation.now = at;
        if simulation.instances[index].is_stopped {
            continue;
        }
        deliver(simulation, index, scheduled);
        if simulation.now < check_at {
            continue;
        }
        check_at = simulation.now + CHECK_INTERVAL;
        if is_done(simulation) {
            return true;
        }
    }
    simulation.now = end;
    false
}

/// Runs the fleet for a duration.
pub fn run_for(simulation: &mut FleetSimulation, duration: Duration) {
    run_until(simulation, duration, |_| false);
}

fn schedule(
    simulation: &mut FleetSimulation,
    after: Duration,
    index: usize,
    scheduled: ScheduledEvent,
) {
    simulation.last_sequence += 1;
    let key = (simulation.now + after, simulation.last_sequence);
    simulation.queue.insert(key, (index, scheduled));
}

/// Passes a scheduled event to an instance.
fn deliver(simulation: &mut FleetSimulation, index: usize, scheduled: ScheduledEvent) {
    match scheduled {
        ScheduledEvent::Started => reduce_event(simulation, index, Event::Started),
        ScheduledEvent::Timer(timer) => reduce_event(simulation, index, Event::Timer(timer)),
        ScheduledEvent::Frame(frame) => {
            simulation.instances[index].counts.received_bytes += frame_bytes(&frame);
            let start = Instant::now();
            let message = wire::decode(&frame).expect("the frame was encoded by another instance");
            simulation.processor_time += start.elapsed();
            let message = Cow::Owned(message);
            reduce_event(simulation, index, Event::Peer { message });
        }
        ScheduledEvent::WatchTimeout(watch_id) => {
            if simulation.watches.remove(&watch_id).is_some() {
                schedule(
                    simulation,
                    PLATFORM_DELAY,
                    index,
                    ScheduledEvent::PlatformNote,
                );
            }
        }
        ScheduledEvent::PlatformNote if !simulation.instances[index].is_platform_reachable => {
            let read = PlatformRead::WatchNote { after_version: 0 };
            fail_read(simulation, index, read);
        }
        ScheduledEvent::PlatformNote => {
            let (version, body) = (simulation.version, simulation.body.clone());
            let body = &body;
            reduce_event(simulation, index, Event::PlatformNote { version, body });
        }
        ScheduledEvent::PlatformInstances => {
            let body = simulation.instance_list.clone();
            let body = body.as_bytes();
            reduce_event(simulation, index, Event::PlatformInstances { body });
        }
        ScheduledEvent::ReadFailure(read) => fail_read(simulation, index, read),
    }
}

fn fail_read(simulation: &mut FleetSimulation, index: usize, read: PlatformRead) {
    let failure = PlatformFailure::Unreachable;
    reduce_event(simulation, index, Event::PlatformFailed { read, failure });
}

fn reduce_event(simulation: &mut FleetSimulation, index: usize, event: Event<'_>) {
    let mut effects = Vec::new();
    let start = Instant::now();
    tier::reduce(
        &mut simulation.instances[index].state,
        simulation.now,
        event,
        &mut effects,
    );
    simulation.processor_time += start.elapsed();
    for effect in effects {
        run_effect(simulation, index, effect);
    }
}

fn run_effect(simulation: &mut FleetSimulation, index: usize, effect: Effect) {
    match effect {
        Effect::Send { address, message } => {
            send(simulation, index, fixtures::index_of(address), &message);
        }
        Effect::SetTimer { timer, after } => {
            schedule(simulation, after, index, ScheduledEvent::Timer(timer))
        }
        Effect::ReadPlatform(read) => read_platform(simulation, index, read),
        Effect::Log(line) if line.name == SUSPICION_EVENT => {
            simulation.instances[index].counts.suspicions_count += 1;
        }
        _ => {}
    }
}

fn send(simulation: &mut FleetSimulation, sender: usize, receiver: usize, message: &Message) {
    let start = Instant::now();
    let frame = wire::encode(message);
    simulation.processor_time += start.elapsed();
    let counts = &mut simulation.instances[sender].counts;
    counts.sent_bytes += frame_bytes(&frame);
    counts.messages_count += 1;
    if let Message::Note { .. } = message {
        counts.notes_bytes += frame_bytes(&frame);
    }
    if simulation.instances[receiver].is_stopped {
        return;
    }
    if !simulation.rng.random_bool(simulation.loss_ratio) {
        schedule(
            simulation,
            PEER_DELAY,
            receiver,
            ScheduledEvent::Frame(frame),
        );
    }
}

fn read_platform(simulation: &mut FleetSimulation, index: usize, read: PlatformRead) {
    simulation.instances[index].counts.reads_count += 1;
    if !simulation.instances[index].is_platform_reachable {
        schedule(
            simulation,
            PLATFORM_DELAY,
            index,
            ScheduledEvent::ReadFailure(read),
        );
        return;
    }
    match read {
        PlatformRead::Instances => schedule(
            simulation,
            PLATFORM_DELAY,
            index,
            ScheduledEvent::PlatformInstances,
        ),
        PlatformRead::WatchNote { after_version } if after_version < simulation.version => {
            schedule(
                simulation,
                PLATFORM_DELAY,
                index,
                ScheduledEvent::PlatformNote,
            );
        }
        PlatformRead::WatchNote { .. } => {
            simulation.last_sequence += 1;
            let watch_id = simulation.last_sequence;
            simulation.watches.insert(watch_id, index);
            let wait = simulation.instances[index]
                .state
                .settings
                .platform
                .watch_timeout;
            schedule(
                simulation,
                wait,
                index,
                ScheduledEvent::WatchTimeout(watch_id),
            );
        }
    }
}

fn frame_bytes(frame: &Bytes) -> u64 {
    frame.len() as u64 + FRAME_PREFIX_BYTES
}
