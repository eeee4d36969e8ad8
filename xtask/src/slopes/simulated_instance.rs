//! An instance simulated in memory: its reducer, a platform and targets that answer from fixtures.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use model::{
    CallerKey, Effect, Event, ExecutionKind, LoadReport, Message, PlatformRead, Priority,
    ReplyStatus, ReplyView, RequestView, TargetCall, TargetKey, TargetPhase, Timer,
};
use settings::Settings;
use slotmap::KeyData;
use tier::State;

use crate::fixtures;

/// Delay of the platform's answer to a read; also how long a watch waits without a change.
const PLATFORM_READ_DELAY: Duration = Duration::from_secs(1);
/// Delay of a target's answer to a load probe.
const PROBE_DELAY: Duration = Duration::from_millis(1);
/// Incarnation of the simulated instance.
const INCARNATION: u64 = 7;
/// Seed of the random number generator in the reducer's state.
const SEED: u64 = 1;
const REPLY_BODY: &[u8] = br#"{"hits":[{"id":"hook-1234","score":0.5}]}"#;
const REQUEST_BODY: &[u8] = br#"{"vehicle":"octavia-2019"}"#;

/// An instance with its simulated clock and its scheduled events.
pub struct SimulatedInstance {
    /// State of the reducer.
    pub state: State,
    /// Simulated time.
    pub now: Instant,
    /// Effects of the last call of [`reduce_events`].
    pub effects: Vec<Effect>,
    /// Events reduced since the last reset.
    pub events_count: u64,
    /// Load probes answered since the last reset.
    pub probes_count: u64,
    /// Time spent in the reducer since the last reset.
    pub reducer_time: Duration,
    /// Messages sent to other instances, until a caller removes them.
    pub sent_messages: Vec<(SocketAddr, Message)>,
    pub platform: Platform,
    scheduled: BTreeMap<(Instant, u64), ScheduledEvent>,
    last_sequence: u64,
}

/// Documents that the platform serves.
#[derive(Clone, Debug, Default)]
pub struct Platform {
    /// The encoded release note.
    pub note: Bytes,
    /// The encoded list of instances.
    pub instances: Bytes,
}

/// An event that is due at a later time.
#[derive(Clone, Copy, Debug)]
enum ScheduledEvent {
    Timer(Timer),
    PlatformAnswer(PlatformRead),
    LoadReport(TargetKey),
}

/// Starts an instance that has accepted a note and received a warm load report from every target.
pub fn start_ready(targets_count: u32, services_count: u32) -> SimulatedInstance {
    let note = fixtures::note(targets_count, services_count);
    start(Platform {
        note: fixtures::encode_note(&note),
        instances: Bytes::from_static(b"[]"),
    })
}

/// Starts an instance, answers its first reads of the platform and its first load probes.
pub fn start(platform: Platform) -> SimulatedInstance {
    start_with_settings(fixtures::settings(), platform)
}

/// Like [`start`], with other settings.
pub fn start_with_settings(settings: Settings, platform: Platform) -> SimulatedInstance {
    let mut instance = SimulatedInstance {
        state: tier::new_state(settings, INCARNATION, SEED),
        now: Instant::now(),
        effects: Vec::new(),
        events_count: 0,
        probes_count: 0,
        reducer_time: Duration::ZERO,
        sent_messages: Vec::new(),
        platform,
        scheduled: BTreeMap::new(),
        last_sequence: 0,
    };
    reduce_events(&mut instance, [Event::Started]);
    answer_platform_read(&mut instance, PlatformRead::Instances);
    answer_platform_read(&mut instance, PlatformRead::WatchNote { after_version: 0 });
    advance_time(&mut instance, PROBE_DELAY);
    instance
}

/// Passes events to the reducer in order, adds the time it takes, and schedules the events that
/// follow from the effects.
///
/// The effects stay in [`SimulatedInstance::effects`] until the next call.
pub fn reduce_events<'a>(
    instance: &mut SimulatedInstance,
    events: impl IntoIterator<Item = Event<'a>>,
) {
    instance.effects.clear();
    let SimulatedInstance {
        state,
        now,
        effects,
        ..
    } = instance;
    let mut events_count = 0;
    let start_time = Instant::now();
    for event in events {
        tier::reduce(state, *now, event, effects);
        events_count += 1;
    }
    instance.reducer_time += start_time.elapsed();
    instance.events_count += events_count;
    schedule_effects(instance);
}

/// Schedules the timers and answers that the last effects ask for, and collects sent messages.
fn schedule_effects(instance: &mut SimulatedInstance) {
    for effect in &instance.effects {
        let (after, scheduled) = match effect {
            Effect::SetTimer { timer, after } => (*after, ScheduledEvent::Timer(*timer)),
            Effect::ReadPlatform(read) => {
                (PLATFORM_READ_DELAY, ScheduledEvent::PlatformAnswer(*read))
            }
            Effect::ProbeLoad { target, .. } => (PROBE_DELAY, ScheduledEvent::LoadReport(*target)),
            Effect::Send { address, message } => {
                instance.sent_messages.push((*address, message.clone()));
                continue;
            }
            _ => continue,
        };
        instance.last_sequence += 1;
        let due_at = (instance.now + after, instance.last_sequence);
        instance.scheduled.insert(due_at, scheduled);
    }
}

/// Passes the platform's answer to a read.
fn answer_platform_read(instance: &mut SimulatedInstance, read: PlatformRead) {
    let platform = instance.platform.clone();
    let event = match read {
        PlatformRead::Instances => Event::PlatformInstances {
            body: &platform.instances,
        },
        PlatformRead::WatchNote { .. } => Event::PlatformNote {
            version: 1,
            body: &platform.note,
        },
    };
    reduce_events(instance, [event]);
}

/// Sends a query and returns the calls that the instance makes.
pub fn send_query(instance: &mut SimulatedInstance) -> Vec<TargetCall> {
    send_request(instance, query_request())
}

/// Sends a request and returns the calls that the instance makes.
pub fn send_request(instance: &mut SimulatedInstance, request: RequestView<'_>) -> Vec<TargetCall> {
    instance.last_sequence += 1;
    let caller: CallerKey = KeyData::from_ffi(instance.last_sequence | 1 << 32).into();
    reduce_events(instance, [Event::Request { caller, request }]);
    let calls = instance.effects.iter().filter_map(|effect| match effect {
        Effect::Call(call) => Some(call.clone()),
        _ => None,
    });
    calls.collect()
}

/// Returns a query to every service of the front.
pub fn query_request<'a>() -> RequestView<'a> {
    RequestView {
        request_id: "request-1",
        front: fixtures::FRONT,
        service: None,
        priority: Priority::Normal,
        kind: ExecutionKind::Idempotent,
        timeout: Duration::from_millis(500),
        body: REQUEST_BODY,
    }
}

/// Passes successful replies to the given calls.
pub fn answer_calls(instance: &mut SimulatedInstance, calls: &[TargetCall]) {
    let reply = ReplyView {
        status: ReplyStatus::Done,
        snapshot: 1,
        body: REPLY_BODY,
        load: Some(warm_load_report()),
    };
    let replies = calls.iter().map(|call| Event::Reply {
        call: call.call,
        reply,
    });
    reduce_events(instance, replies);
}

/// Advances the simulated time and delivers the scheduled events that become due.
pub fn advance_time(instance: &mut SimulatedInstance, duration: Duration) {
    let end = instance.now + duration;
    while let Some(entry) = instance.scheduled.first_entry() {
        let (due_at, _) = *entry.key();
        if due_at > end {
            break;
        }
        let scheduled = entry.remove();
        instance.now = instance.now.max(due_at);
        match scheduled {
            ScheduledEvent::Timer(timer) => reduce_events(instance, [Event::Timer(timer)]),
            ScheduledEvent::PlatformAnswer(read) => answer_platform_read(instance, read),
            ScheduledEvent::LoadReport(target) => {
                instance.probes_count += 1;
                let report = warm_load_report();
                reduce_events(instance, [Event::Load { target, report }]);
            }
        }
    }
    instance.now = end;
}

/// Resets the counters and the time spent in the reducer.
pub fn reset_counters(instance: &mut SimulatedInstance) {
    instance.events_count = 0;
    instance.probes_count = 0;
    instance.reducer_time = Duration::ZERO;
}

/// Returns the load report of a warm target.
fn warm_load_report() -> LoadReport {
    LoadReport {
        incarnation: 1,
        phase: TargetPhase::Warm,
        running_count: 0,
        queued_count: 0,
        bearable_count: 100_000,
        oldest_snapshot: 1,
        newest_snapshot: 1,
    }
}
