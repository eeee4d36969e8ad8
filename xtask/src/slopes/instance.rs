//! An instance in memory: its reducer, and targets that reply as soon as they are asked.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use model::{
    CallerKey, Effect, Event, Kind, LoadReport, Priority, ReplyStatus, ReplyView, RequestView,
    TargetCall, TargetKey, TargetPhase, Timer,
};
use slotmap::KeyData;
use tier::State;

use crate::document;

/// Time between two queries.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(1);
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
    /// Time spent in the reducer.
    pub spent: Duration,
    timers: BTreeMap<(Instant, u64), Timer>,
    numbers: u64,
}

/// Returns an instance that has accepted a note and knows every target as warm.
pub fn open(targets_count: u32, services_count: u32) -> Instance {
    let mut instance = start();
    let body = serde_json::to_vec(&document::note(targets_count, services_count));
    let body = body.expect("a note can be encoded");
    accept(&mut instance, &body);
    instance
}

/// Returns an instance that has just started.
pub fn start() -> Instance {
    let mut instance = Instance {
        state: tier::open(document::settings(), INCARNATION, SEED),
        now: Instant::now(),
        out: Vec::new(),
        events_count: 0,
        spent: Duration::ZERO,
        timers: BTreeMap::new(),
        numbers: 0,
    };
    feed(&mut instance, [Event::Started]);
    instance
}

/// Publishes a note to the instance and answers the load probes that follow.
pub fn accept(instance: &mut Instance, body: &[u8]) {
    feed(instance, [Event::PlatformNote { version: 1, body }]);
    let targets: Vec<TargetKey> = instance.state.routes.targets.keys().collect();
    let report = report();
    feed(
        instance,
        targets.iter().map(|&target| Event::Load { target, report }),
    );
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
    for effect in &instance.out {
        let Effect::SetTimer { timer, after } = effect else {
            continue;
        };
        instance.numbers += 1;
        let due = (instance.now + *after, instance.numbers);
        instance.timers.insert(due, *timer);
    }
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
        front: document::FRONT,
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

/// Lets time pass until the next query arrives and passes the timers that are due.
pub fn pass_time(instance: &mut Instance) {
    instance.now += ARRIVAL_INTERVAL;
    while let Some(entry) = instance.timers.first_entry() {
        if entry.key().0 > instance.now {
            return;
        }
        let timer = entry.remove();
        feed(instance, [Event::Timer(timer)]);
    }
}

/// Forgets what was spent so far.
pub fn reset(instance: &mut Instance) {
    instance.events_count = 0;
    instance.spent = Duration::ZERO;
}

/// Returns the load report of a warm target.
pub fn report() -> LoadReport {
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
