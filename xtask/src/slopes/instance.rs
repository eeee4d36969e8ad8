//! An instance in memory: its reducer, and targets that reply as soon as they are asked.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use model::{
    CallerKey, Effect, Event, Kind, LoadReport, Message, PlatformRead, Priority, ReplyStatus,
    ReplyView, RequestView, TargetCall, TargetKey, TargetPhase, Timer,
};
use settings::Settings;
use slotmap::KeyData;
use tier::State;

use crate::fixtures;

/// Time after which the platform answers a read, a watch without a change included.
const WATCH_DURATION: Duration = Duration::from_secs(1);
/// Time after which a target answers a load probe.
const PROBE_DURATION: Duration = Duration::from_millis(1);
/// Number of the run of the instance.
const INCARNATION: u64 = 7;
/// Seed of the generator in the state.
const SEED: u64 = 1;
const REPLY_BODY: &[u8] = br#"{"hits":[{"id":"hook-1234","score":0.5}]}"#;
const REQUEST_BODY: &[u8] = br#"{"vehicle":"octavia-2019"}"#;

/// An instance, the time it lives in, and what it asked for.
pub struct Instance {
    /// The reducer's state.
    pub state: State,
    /// The present time.
    pub now: Instant,
    /// Effects of the last events.
    pub out: Vec<Effect>,
    /// Events that were passed.
    pub events_count: u64,
    /// Load probes that were answered.
    pub probes_count: u64,
    /// Time spent in the reducer.
    pub spent: Duration,
    /// Messages to other instances that nobody has taken yet.
    pub sent: Vec<(SocketAddr, Message)>,
    /// What the platform publishes.
    pub platform: Platform,
    pending: BTreeMap<(Instant, u64), Pending>,
    numbers: u64,
}

/// What the platform publishes.
#[derive(Clone, Debug, Default)]
pub struct Platform {
    /// The release note.
    pub note: Bytes,
    /// The list of instances.
    pub instances: Bytes,
}

/// What will happen to the instance.
#[derive(Clone, Copy, Debug)]
enum Pending {
    Timer(Timer),
    Answer(PlatformRead),
    Report(TargetKey),
}

/// Returns an instance that has accepted a note and knows every target as warm.
pub fn open(targets_count: u32, services_count: u32) -> Instance {
    let note = fixtures::note(targets_count, services_count);
    join(Platform {
        note: fixtures::encoded(&note),
        instances: Bytes::from_static(b"[]"),
    })
}

/// Starts an instance, lets it read the platform and answers its load probes.
pub fn join(platform: Platform) -> Instance {
    join_as(fixtures::settings(), platform)
}

/// Starts an instance with settings of its own.
pub fn join_as(settings: Settings, platform: Platform) -> Instance {
    let mut instance = Instance {
        state: tier::open(settings, INCARNATION, SEED),
        now: Instant::now(),
        out: Vec::new(),
        events_count: 0,
        probes_count: 0,
        spent: Duration::ZERO,
        sent: Vec::new(),
        platform,
        pending: BTreeMap::new(),
        numbers: 0,
    };
    feed(&mut instance, [Event::Started]);
    answer(&mut instance, PlatformRead::Instances);
    answer(&mut instance, PlatformRead::WatchNote { after_version: 0 });
    pass(&mut instance, PROBE_DURATION);
    instance
}

/// Passes events in order, adds the time they took, and stores the timers they set.
///
/// The effects stay in [`Instance::out`] until the next events are passed.
pub fn feed<'a>(instance: &mut Instance, events: impl IntoIterator<Item = Event<'a>>) {
    instance.out.clear();
    let Instance {
        state, now, out, ..
    } = instance;
    let mut events_count = 0;
    let begin = Instant::now();
    for event in events {
        tier::reduce(state, *now, event, out);
        events_count += 1;
    }
    instance.spent += begin.elapsed();
    instance.events_count += events_count;
    schedule(instance);
}

/// Stores what the last events set in motion.
fn schedule(instance: &mut Instance) {
    for effect in &instance.out {
        let (after, pending) = match effect {
            Effect::SetTimer { timer, after } => (*after, Pending::Timer(*timer)),
            Effect::ReadPlatform(read) => (WATCH_DURATION, Pending::Answer(*read)),
            Effect::AskLoad { target, .. } => (PROBE_DURATION, Pending::Report(*target)),
            Effect::Send { address, message } => {
                instance.sent.push((*address, message.clone()));
                continue;
            }
            _ => continue,
        };
        instance.numbers += 1;
        let due = (instance.now + after, instance.numbers);
        instance.pending.insert(due, pending);
    }
}

/// Answers a read of the platform.
fn answer(instance: &mut Instance, read: PlatformRead) {
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
    feed(instance, [event]);
}

/// Sends one query and returns the calls that it makes.
pub fn ask(instance: &mut Instance) -> Vec<TargetCall> {
    ask_for(instance, request())
}

/// Sends one request and returns the calls that it makes.
pub fn ask_for(instance: &mut Instance, request: RequestView<'_>) -> Vec<TargetCall> {
    instance.numbers += 1;
    let caller: CallerKey = KeyData::from_ffi(instance.numbers | 1 << 32).into();
    feed(instance, [Event::Request { caller, request }]);
    let calls = instance.out.iter().filter_map(|effect| match effect {
        Effect::Call(call) => Some(call.clone()),
        _ => None,
    });
    calls.collect()
}

/// Returns a query of every service of the front.
pub fn request<'a>() -> RequestView<'a> {
    RequestView {
        request_id: "request-1",
        front: fixtures::FRONT,
        service: None,
        priority: Priority::Normal,
        kind: Kind::Idempotent,
        timeout: Duration::from_millis(500),
        body: REQUEST_BODY,
    }
}

/// Answers all calls of a query.
pub fn reply(instance: &mut Instance, calls: &[TargetCall]) {
    let reply = ReplyView {
        status: ReplyStatus::Done,
        snapshot: 1,
        body: REPLY_BODY,
        load: Some(report()),
    };
    let replies = calls.iter().map(|call| Event::Reply {
        call: call.call,
        reply,
    });
    feed(instance, replies);
}

/// Lets time pass, and with it the timers and the answers of the platform that are due.
pub fn pass(instance: &mut Instance, duration: Duration) {
    let end = instance.now + duration;
    while let Some(entry) = instance.pending.first_entry() {
        let (due, _) = *entry.key();
        if due > end {
            break;
        }
        let pending = entry.remove();
        instance.now = instance.now.max(due);
        match pending {
            Pending::Timer(timer) => feed(instance, [Event::Timer(timer)]),
            Pending::Answer(read) => answer(instance, read),
            Pending::Report(target) => {
                instance.probes_count += 1;
                let report = report();
                feed(instance, [Event::Load { target, report }]);
            }
        }
    }
    instance.now = end;
}

/// Forgets what was spent so far.
pub fn reset(instance: &mut Instance) {
    instance.events_count = 0;
    instance.probes_count = 0;
    instance.spent = Duration::ZERO;
}

/// Returns the load report of a warm target.
fn report() -> LoadReport {
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
