//! Invariants of queries under random interleavings of events.

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
/// Time after which every query has passed its deadline.
const ALL_DEADLINES_PASSED_AFTER: Duration = Duration::from_secs(5);

/// Initial median latency of every service.
const INITIAL_MEDIAN: Duration = Duration::from_millis(10);
/// Initial age from which a call counts as late; set so that hedged calls occur.
const INITIAL_LATE_AFTER: Duration = Duration::from_millis(20);

/// One step of an interleaving; indices select an open call or a target.
#[derive(Clone, Copy, Debug)]
enum Step {
    Request(Priority),
    Reply(usize, ReplyStatus, Snapshot),
    Fail(usize, CallFailure),
    Load(usize, Snapshot),
    /// Advances the clock by milliseconds.
    AdvanceClock(u64),
    /// Sets the number of instances and this instance's rank among them.
    SetInstances(u32, u32),
    CallerGone(u64),
}

/// Record of events and effects, kept independently of the reducer's state.
#[derive(Default)]
struct Observations {
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
        3 => (1..300_u64).prop_map(Step::AdvanceClock),
        1 => (1..9_u32, 0..9_u32).prop_map(|(count, rank)| Step::SetInstances(count, rank % count)),
        1 => (0..40_u64).prop_map(Step::CallerGone),
    ]
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn invariants_hold_for_any_interleaving(steps in prop::collection::vec(step(), 1..160)) {
        let mut fixture = fixture(SERVICES_COUNT);
        let mut observed = Observations::default();
        for target in fixture.state.routes.targets.iter() {
            observed.shares.insert(target.0, target.1.share_count);
        }
        for service in fixture.state.routes.services.values_mut() {
            service.latency.median = INITIAL_MEDIAN;
            service.latency.late_after = Some(INITIAL_LATE_AFTER);
        }
        for step in steps {
            apply_step(&mut fixture, &mut observed, step)?;
        }
        advance(&mut fixture, &mut observed, ALL_DEADLINES_PASSED_AFTER)?;
        let expected = (0..observed.requests_count).map(caller).collect::<BTreeSet<_>>();
        prop_assert_eq!(&observed.answered, &expected, "every request is answered");
        prop_assert!(fixture.state.queries.queries.is_empty());
    }
}

fn apply_step(
    fixture: &mut Fixture,
    observed: &mut Observations,
    step: Step,
) -> Result<(), TestCaseError> {
    match step {
        Step::Request(priority) => {
            let number = observed.requests_count;
            observed.requests_count += 1;
            let request_id = number.to_string();
            let request = RequestView {
                request_id: &request_id,
                priority,
                ..request("parts")
            };
            let caller = caller(number);
            feed_and_check(fixture, observed, Event::Request { caller, request })
        }
        Step::Reply(index, status, snapshot) => {
            let Some(call) = take_open_call(observed, index) else {
                return Ok(());
            };
            let snapshot = match status {
                ReplyStatus::Done => call.snapshot.unwrap_or(snapshot),
                _ => snapshot,
            };
            reply(fixture, observed, &call, status, snapshot)
        }
        Step::Fail(index, failure) => {
            let Some(call) = take_open_call(observed, index) else {
                return Ok(());
            };
            let call = call.call;
            feed_and_check(fixture, observed, Event::CallFailed { call, failure })
        }
        Step::Load(index, newest) => {
            let targets: Vec<TargetKey> = fixture.state.routes.targets.keys().collect();
            let target = targets[index % targets.len()];
            let report = report(newest);
            feed_and_check(fixture, observed, Event::Load { target, report })
        }
        Step::AdvanceClock(millis) => advance(fixture, observed, Duration::from_millis(millis)),
        Step::SetInstances(count, rank) => {
            let mut out = Vec::new();
            route::set_instances(&mut fixture.state.routes, count, rank, &mut out);
            check_effects(observed, out)
        }
        Step::CallerGone(number) => {
            let caller = caller(number);
            feed_and_check(fixture, observed, Event::CallerGone { caller })
        }
    }
}

fn reply(
    fixture: &mut Fixture,
    observed: &mut Observations,
    call: &TargetCall,
    status: ReplyStatus,
    snapshot: Snapshot,
) -> Result<(), TestCaseError> {
    if status == ReplyStatus::Done {
        let entry = (call.request_id.to_string(), call.target, snapshot);
        observed.done.push(entry);
    }
    let body = format!("{}@{snapshot}", call.request_id);
    let reply = ReplyView {
        status,
        snapshot,
        body: body.as_bytes(),
        load: None,
    };
    let call = call.call;
    feed_and_check(fixture, observed, Event::Reply { call, reply })
}

fn take_open_call(observed: &mut Observations, index: usize) -> Option<TargetCall> {
    if observed.open_calls.is_empty() {
        return None;
    }
    let index = index % observed.open_calls.len();
    Some(observed.open_calls.swap_remove(index))
}

/// Advances the clock and delivers the due timers in order of their time.
fn advance(
    fixture: &mut Fixture,
    observed: &mut Observations,
    by: Duration,
) -> Result<(), TestCaseError> {
    let until = observed.elapsed + by;
    loop {
        let due = observed.timers.iter().enumerate();
        let Some((index, &(at, timer))) = due.min_by_key(|(_, (at, _))| *at) else {
            break;
        };
        if at > until {
            break;
        }
        observed.timers.swap_remove(index);
        advance_clock(fixture, observed, at);
        feed_and_check(fixture, observed, Event::Timer(timer))?;
    }
    advance_clock(fixture, observed, until);
    Ok(())
}

fn advance_clock(fixture: &mut Fixture, observed: &mut Observations, until: Duration) {
    fixture.now += until.saturating_sub(observed.elapsed);
    observed.elapsed = observed.elapsed.max(until);
}

fn feed_and_check(
    fixture: &mut Fixture,
    observed: &mut Observations,
    event: Event<'_>,
) -> Result<(), TestCaseError> {
    feed(fixture, event);
    let out = std::mem::take(&mut fixture.out);
    check_answers(fixture, observed, &out)?;
    check_effects(observed, out)
}

/// Compares every answer with the recorded replies.
fn check_answers(
    fixture: &Fixture,
    observed: &Observations,
    out: &[Effect],
) -> Result<(), TestCaseError> {
    let routes = &fixture.state.routes;
    for effect in out {
        let Effect::Answer { answer, .. } = effect else {
            continue;
        };
        let relevant = observed.done.iter().filter(|(request_id, _, snapshot)| {
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

fn check_effects(observed: &mut Observations, out: Vec<Effect>) -> Result<(), TestCaseError> {
    for effect in out {
        match effect {
            Effect::Answer { caller, .. } => {
                prop_assert!(
                    observed.answered.insert(caller),
                    "a request is answered once"
                );
            }
            Effect::Call(call) => check_call(observed, call)?,
            Effect::ResizePool {
                target,
                connections_count,
                ..
            } => {
                observed.shares.insert(target, connections_count);
            }
            Effect::SetTimer { timer, after } => {
                observed.timers.push((observed.elapsed + after, timer))
            }
            _ => {}
        }
    }
    Ok(())
}

fn check_call(observed: &mut Observations, call: TargetCall) -> Result<(), TestCaseError> {
    let number: u64 = call.request_id.parse().expect("the identifier is a number");
    let is_finished = observed.answered.contains(&caller(number));
    prop_assert!(!is_finished, "no call for a finished query");
    let is_known = |key: CallKey| observed.open_calls.iter().any(|open| open.call == key);
    prop_assert!(!is_known(call.call), "every call has a unique key");
    let target = call.target;
    observed.open_calls.push(call);
    let open_calls = observed
        .open_calls
        .iter()
        .filter(|open| open.target == target);
    let share_count = observed.shares.get(&target).copied().unwrap_or_default();
    prop_assert!(
        open_calls.count() <= share_count as usize,
        "the calls in flight do not exceed the connection share"
    );
    Ok(())
}
