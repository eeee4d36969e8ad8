//! The promises of a query over arbitrary interleavings of events.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use model::{
    CallFailure, CallKey, CallerKey, Effect, Event, Priority, ReplyStatus, ReplyView, RequestView,
    Snapshot, TargetCall, TargetKey, Timer,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

use super::fixture::{Fixture, caller, feed, fixture, report, request};

const SERVICES_COUNT: u32 = 3;
/// Time after which every query has reached its deadline.
const ALL_DEADLINES: Duration = Duration::from_secs(5);

/// Median latency that is known at the beginning.
const MEDIAN: Duration = Duration::from_millis(10);
/// Late age that is known at the beginning, so that hedges take part.
const LATE_AFTER: Duration = Duration::from_millis(20);

/// One step of an interleaving.
#[derive(Clone, Copy, Debug)]
enum Step {
    Request(Priority),
    Reply(usize, ReplyStatus, Snapshot),
    Fail(usize, CallFailure),
    Load(usize, Snapshot),
    Advance(u64),
    Divide(u32, u32),
    CallerGone(u64),
}

/// What a naive observer writes down.
#[derive(Default)]
struct Log {
    requests_count: u64,
    answered: BTreeSet<CallerKey>,
    open_calls: Vec<TargetCall>,
    shares: BTreeMap<TargetKey, u32>,
    timers: Vec<(Duration, Timer)>,
    done: Vec<(String, TargetKey, Snapshot)>,
    elapsed: Duration,
}

fn config() -> Config {
    Config {
        rng_seed: RngSeed::Fixed(41),
        failure_persistence: None,
        cases: 96,
        ..Config::default()
    }
}

fn step() -> impl Strategy<Value = Step> {
    let priority = prop_oneof![
        Just(Priority::Urgent),
        Just(Priority::Normal),
        Just(Priority::Deferrable)
    ];
    let status = prop_oneof![
        6 => Just(ReplyStatus::Done),
        1 => Just(ReplyStatus::Failed),
        1 => Just(ReplyStatus::Shed),
        2 => Just(ReplyStatus::WrongSnapshot),
        1 => Just(ReplyStatus::Draining),
        1 => Just(ReplyStatus::CancelledRunning),
    ];
    let failure = prop_oneof![
        Just(CallFailure::ConnectRefused),
        Just(CallFailure::NotSent),
        Just(CallFailure::ConnectionLost),
        Just(CallFailure::Truncated),
    ];
    prop_oneof![
        4 => priority.prop_map(Step::Request),
        9 => (any::<usize>(), status, 1..4_u64).prop_map(|(i, s, n)| Step::Reply(i, s, n)),
        2 => (any::<usize>(), failure).prop_map(|(index, failure)| Step::Fail(index, failure)),
        2 => (any::<usize>(), 1..4_u64).prop_map(|(index, newest)| Step::Load(index, newest)),
        3 => (1..300_u64).prop_map(Step::Advance),
        1 => (1..9_u32, 0..9_u32).prop_map(|(count, rank)| Step::Divide(count, rank % count)),
        1 => (0..40_u64).prop_map(Step::CallerGone),
    ]
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn every_promise_holds(steps in prop::collection::vec(step(), 1..160)) {
        let mut fixture = fixture(SERVICES_COUNT);
        let mut log = Log::default();
        for target in fixture.state.routes.targets.iter() {
            log.shares.insert(target.0, target.1.share_count);
        }
        for service in fixture.state.routes.services.values_mut() {
            service.latency.median = MEDIAN;
            service.latency.late_after = Some(LATE_AFTER);
        }
        for step in steps {
            take(&mut fixture, &mut log, step)?;
        }
        advance(&mut fixture, &mut log, ALL_DEADLINES)?;
        let expected = (0..log.requests_count).map(caller).collect::<BTreeSet<_>>();
        prop_assert_eq!(&log.answered, &expected, "every request is answered");
        prop_assert!(fixture.state.queries.queries.is_empty());
    }
}

fn take(fixture: &mut Fixture, log: &mut Log, step: Step) -> Result<(), TestCaseError> {
    match step {
        Step::Request(priority) => {
            let number = log.requests_count;
            log.requests_count += 1;
            let request_id = number.to_string();
            let request = RequestView {
                request_id: &request_id,
                priority,
                ..request("parts")
            };
            let caller = caller(number);
            event(fixture, log, Event::Request { caller, request })
        }
        Step::Reply(index, status, snapshot) => {
            let Some(call) = take_call(log, index) else {
                return Ok(());
            };
            let snapshot = match status {
                ReplyStatus::Done => call.snapshot.unwrap_or(snapshot),
                _ => snapshot,
            };
            reply(fixture, log, &call, status, snapshot)
        }
        Step::Fail(index, failure) => {
            let Some(call) = take_call(log, index) else {
                return Ok(());
            };
            let call = call.call;
            event(fixture, log, Event::CallFailed { call, failure })
        }
        Step::Load(index, newest) => {
            let targets: Vec<TargetKey> = fixture.state.routes.targets.keys().collect();
            let target = targets[index % targets.len()];
            let report = report(newest);
            event(fixture, log, Event::Load { target, report })
        }
        Step::Advance(millis) => advance(fixture, log, Duration::from_millis(millis)),
        Step::Divide(count, rank) => {
            let mut out = Vec::new();
            route::set_instances(&mut fixture.state.routes, count, rank, &mut out);
            check(log, out)
        }
        Step::CallerGone(number) => {
            let caller = caller(number);
            event(fixture, log, Event::CallerGone { caller })
        }
    }
}

fn reply(
    fixture: &mut Fixture,
    log: &mut Log,
    call: &TargetCall,
    status: ReplyStatus,
    snapshot: Snapshot,
) -> Result<(), TestCaseError> {
    if status == ReplyStatus::Done {
        let entry = (call.request_id.to_string(), call.target, snapshot);
        log.done.push(entry);
    }
    let body = format!("{}@{snapshot}", call.request_id);
    let reply = ReplyView {
        status,
        snapshot,
        body: body.as_bytes(),
        load: None,
    };
    let call = call.call;
    event(fixture, log, Event::Reply { call, reply })
}

fn take_call(log: &mut Log, index: usize) -> Option<TargetCall> {
    if log.open_calls.is_empty() {
        return None;
    }
    let index = index % log.open_calls.len();
    Some(log.open_calls.swap_remove(index))
}

/// Lets time pass and delivers the timers that fall due, in their order.
fn advance(fixture: &mut Fixture, log: &mut Log, by: Duration) -> Result<(), TestCaseError> {
    let until = log.elapsed + by;
    loop {
        let due = log.timers.iter().enumerate();
        let Some((index, &(at, timer))) = due.min_by_key(|(_, (at, _))| *at) else {
            break;
        };
        if at > until {
            break;
        }
        log.timers.swap_remove(index);
        pass(fixture, log, at);
        event(fixture, log, Event::Timer(timer))?;
    }
    pass(fixture, log, until);
    Ok(())
}

fn pass(fixture: &mut Fixture, log: &mut Log, until: Duration) {
    fixture.now += until.saturating_sub(log.elapsed);
    log.elapsed = log.elapsed.max(until);
}

fn event(fixture: &mut Fixture, log: &mut Log, event: Event<'_>) -> Result<(), TestCaseError> {
    feed(fixture, event);
    let out = std::mem::take(&mut fixture.out);
    recount(fixture, log, &out)?;
    check(log, out)
}

/// Compares every answer with what the log of replies says.
fn recount(fixture: &Fixture, log: &Log, out: &[Effect]) -> Result<(), TestCaseError> {
    let routes = &fixture.state.routes;
    for effect in out {
        let Effect::Answer { answer, .. } = effect else {
            continue;
        };
        let relevant = log.done.iter().filter(|(request_id, _, snapshot)| {
            *request_id == answer.request_id && Some(*snapshot) == answer.snapshot
        });
        let services: BTreeSet<_> = relevant
            .map(|(_, target, _)| routes.targets[*target].service)
            .collect();
        prop_assert_eq!(answer.coverage.answered_count as usize, services.len());
        prop_assert_eq!(answer.results.len(), services.len());
        for result in &answer.results {
            let snapshot = answer.snapshot.unwrap_or_default();
            let expected = format!("{}@{snapshot}", answer.request_id);
            prop_assert_eq!(&result.body[..], expected.as_bytes());
        }
        let missing_count = answer.coverage.missing.len();
        let total_count = answer.coverage.total_count as usize;
        prop_assert_eq!(services.len() + missing_count, total_count);
    }
    Ok(())
}

fn check(log: &mut Log, out: Vec<Effect>) -> Result<(), TestCaseError> {
    for effect in out {
        match effect {
            Effect::Answer { caller, .. } => {
                prop_assert!(log.answered.insert(caller), "a request is answered once");
            }
            Effect::Call(call) => check_call(log, call)?,
            Effect::Pool {
                target,
                connections_count,
                ..
            } => {
                log.shares.insert(target, connections_count);
            }
            Effect::SetTimer { timer, after } => log.timers.push((log.elapsed + after, timer)),
            _ => {}
        }
    }
    Ok(())
}

fn check_call(log: &mut Log, call: TargetCall) -> Result<(), TestCaseError> {
    let number: u64 = call.request_id.parse().expect("the identifier is a number");
    let is_finished = log.answered.contains(&caller(number));
    prop_assert!(!is_finished, "no call for a finished query");
    let is_known = |key: CallKey| log.open_calls.iter().any(|open| open.call == key);
    prop_assert!(!is_known(call.call), "a call has a key of its own");
    let target = call.target;
    log.open_calls.push(call);
    let open_calls = log.open_calls.iter().filter(|open| open.target == target);
    let share_count = log.shares.get(&target).copied().unwrap_or_default();
    prop_assert!(
        open_calls.count() <= share_count as usize,
        "the share holds"
    );
    Ok(())
}
