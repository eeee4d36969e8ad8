//! A cut between the zones, as an instance sees it on the smaller side.

use model::{AttemptCall, CallerKey, HttpResponse, NotRunReason, Outcome};

use super::fixture::{Fate, World, plan, record, world};

/// When the cut begins.
const CUT_AT_MS: u64 = 1_000;
/// When it ends.
const CUT_END_MS: u64 = 6_000;

/// Both targets of the first two of four services are beyond the cut; three parts are needed.
fn beyond_the_cut(call: &AttemptCall, at_ms: u64) -> (u64, Fate) {
    let is_beyond = call.target_id.starts_with("shard-0") || call.target_id.starts_with("shard-1");
    match is_beyond && (CUT_AT_MS..CUT_END_MS).contains(&at_ms) {
        true => (0, Fate::Silence),
        false => (5, Fate::Done(record(1))),
    }
}

/// Plays a query each 40 ms with a tick each 200 ms.
fn play<F>(world: &mut World<F>, until_ms: u64) -> Vec<(u64, CallerKey)>
where
    F: FnMut(&AttemptCall, u64) -> (u64, Fate),
{
    let mut asked = Vec::new();
    while world.at_ms() < until_ms {
        if world.at_ms().is_multiple_of(200) {
            world.tick();
        }
        asked.push((world.at_ms(), world.ask()));
        world.pass(40);
    }
    asked
}

fn is_cut_off_refusal(response: &HttpResponse) -> bool {
    matches!(
        response,
        HttpResponse::Ended {
            outcome: Outcome::NotRun(NotRunReason::CutOff),
            retry_after: Some(_),
        }
    )
}

#[test]
fn a_cut_off_instance_turns_callers_away_at_once() {
    let mut world = world(&plan(4), beyond_the_cut);
    play(&mut world, CUT_AT_MS);
    world.gateway.is_cut_off = true;
    let before = play(&mut world, 1_800);
    assert!(world.gateway.is_isolated);
    let sent_count = world.seen.len();
    let after = play(&mut world, 3_000);
    assert_eq!(world.seen.len(), sent_count, "no call for a hopeless query");
    for (asked_ms, caller) in after {
        let (at_ms, response) = world.response(caller).expect("a refusal");
        assert_eq!(*at_ms, asked_ms);
        assert!(is_cut_off_refusal(response), "{response:?}");
    }
    // What was waiting when the cut was noticed does not wait for its deadline of 500 ms.
    let waited = before.iter().map(|&(asked_ms, caller)| {
        let (at_ms, _) = world.response(caller).expect("an end");
        (asked_ms, at_ms - asked_ms)
    });
    let late: Vec<(u64, u64)> = waited.filter(|&(at, ms)| at >= 1_400 && ms > 400).collect();
    assert_eq!(late, []);
}

#[test]
fn targets_that_are_down_turn_nobody_away() {
    let mut world = world(&plan(4), beyond_the_cut);
    play(&mut world, 3_000);
    assert!(!world.gateway.is_isolated);
}

#[test]
fn an_instance_that_is_cut_off_but_reaches_enough_targets_goes_on() {
    let mut world = world(&plan(4), |_, _| (5, Fate::Done(record(1))));
    world.gateway.is_cut_off = true;
    let asked = play(&mut world, 2_000);
    assert!(!world.gateway.is_isolated);
    for (_, caller) in asked {
        let (_, response) = world.response(caller).expect("an answer");
        assert!(matches!(
            response,
            HttpResponse::Merged {
                missing_count: 0,
                ..
            }
        ));
    }
}

#[test]
fn after_the_cut_every_target_is_used_again() {
    let mut world = world(&plan(4), beyond_the_cut);
    play(&mut world, CUT_AT_MS);
    world.gateway.is_cut_off = true;
    play(&mut world, CUT_END_MS);
    assert!(world.gateway.is_isolated);
    world.gateway.is_cut_off = false;
    world.tick();
    assert!(!world.gateway.is_isolated);
    for (_, caller) in play(&mut world, CUT_END_MS + 400) {
        world.pass(100);
        let (_, response) = world.response(caller).expect("an answer");
        assert!(matches!(
            response,
            HttpResponse::Merged {
                missing_count: 0,
                ..
            }
        ));
    }
}

#[test]
fn a_silent_target_is_avoided_before_its_query_ends() {
    let mut plan = plan(1);
    plan.timeout_ms = 4_000;
    let mut world = world(&plan, |call, at_ms| {
        match at_ms >= CUT_AT_MS && call.target_id.ends_with("/a") {
            true => (0, Fate::Silence),
            false => (5, Fate::Done(record(1))),
        }
    });
    play(&mut world, CUT_AT_MS);
    // A first query waits at the silent target, alone: its second call is not allowed.
    world.gateway.settings.retry_ratio = 0.0;
    world.gateway.settings.retry_constant_count = 0;
    play(&mut world, 1_600);
    let avoided = world.gateway.health.values();
    let avoided = avoided.filter(|health| crate::is_avoided(health, world.now));
    assert_eq!(avoided.count(), 1);
}
