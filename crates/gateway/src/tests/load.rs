//! Simulated loads on targets with slots, queues and pauses. Checks the answers that callers get,
//! and compares them with a policy without hedges.

use std::collections::HashMap;

use model::{AttemptCall, HttpResponse, ReplyStatus};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::fixture::{CallResult, FrontSpec, gathering_front, record, simulation};

/// Number of requests that a target executes at the same time.
const SLOTS_COUNT: usize = 2;
/// Time from one pause of a target to the next, and the duration of a pause.
const PAUSE_INTERVAL_MS: u64 = 4_500;
const PAUSE_MS: u64 = 200;

/// Targets that execute requests in slots. They pause periodically if `is_pausing`; those whose
/// identifier ends with the suffix in `slow` are slower by its factor.
struct Targets {
    rng: ChaCha8Rng,
    free_at_ms: HashMap<String, [f64; SLOTS_COUNT]>,
    slow: Option<(&'static str, f64)>,
    is_pausing: bool,
}

impl Targets {
    fn serve(&mut self, call: &AttemptCall, at_ms: u64) -> (u64, CallResult) {
        let id = call.target_id.to_string();
        // Targets of a service pause at different times: the offset depends on the identifier.
        let offset_ms = id.bytes().fold(17_u64, |sum, byte| {
            (sum + u64::from(byte)) * 1_031 % 1_000_003
        });
        let into_cycle_ms = (at_ms + offset_ms) % PAUSE_INTERVAL_MS;
        let pause_ms = match self.is_pausing && into_cycle_ms < PAUSE_MS {
            true => PAUSE_MS - into_cycle_ms,
            false => 0,
        };
        let factor = match self.slow {
            Some((slow, factor)) if id.ends_with(slow) => factor,
            _ => 1.0,
        };
        let work_ms = 10.0 * factor * self.rng.random_range(0.6..1.4);
        let slots = self.free_at_ms.entry(id).or_default();
        let slot = (0..SLOTS_COUNT)
            .min_by(|&a, &b| slots[a].total_cmp(&slots[b]))
            .unwrap_or(0);
        let start_ms = slots[slot].max((at_ms + pause_ms) as f64);
        if start_ms - at_ms as f64 > 400.0 {
            return (1, CallResult::Status(ReplyStatus::Shed));
        }
        // A request whose timeout expires in the queue is dropped without being executed.
        let timeout_ms = call.timeout.as_secs_f64() * 1000.0;
        if start_ms - at_ms as f64 > timeout_ms {
            return (
                timeout_ms.ceil() as u64,
                CallResult::Status(ReplyStatus::Shed),
            );
        }
        slots[slot] = start_ms + work_ms;
        (
            (slots[slot] - at_ms as f64).ceil() as u64 + 2,
            CallResult::Done(record(1)),
        )
    }
}

fn targets(slow: Option<(&'static str, f64)>, is_pausing: bool) -> Targets {
    Targets {
        rng: ChaCha8Rng::seed_from_u64(11),
        free_at_ms: HashMap::new(),
        slow,
        is_pausing,
    }
}

/// Result of a simulated load.
#[derive(Debug)]
struct LoadResult {
    in_goal_ratio: f64,
    /// Mean over all queries of the squared share of answered parts; 0 for answers after the goal.
    utility_ratio: f64,
    calls_ratio: f64,
}

/// Simulates queries over 20 services at a constant rate, with a goal of 80 ms.
fn simulate_load(attempts_max_count: u32, every_ms: u64, targets: Targets) -> LoadResult {
    simulate_load_with_goal(80, attempts_max_count, every_ms, targets)
}

/// Like [`simulate_load`] with another goal.
fn simulate_load_with_goal(
    goal_ms: u64,
    attempts_max_count: u32,
    every_ms: u64,
    targets: Targets,
) -> LoadResult {
    let front = FrontSpec {
        goal_ms,
        attempts_max_count,
        ..gathering_front(20)
    };
    simulate_load_of_front(&front, every_ms, targets)
}

/// Like [`simulate_load`] with another front.
fn simulate_load_of_front(front: &FrontSpec, every_ms: u64, mut targets: Targets) -> LoadResult {
    let mut sim = simulation(front, |call, at_ms| targets.serve(call, at_ms));
    let queries_count = 12_000 / every_ms;
    let mut callers = Vec::new();
    for _ in 0..queries_count {
        callers.push((sim.at_ms(), sim.send_request()));
        sim.advance(every_ms);
    }
    sim.advance(1_000);
    let (mut in_goal, mut utility) = (0.0, 0.0);
    for (sent_at_ms, caller) in callers {
        let (at_ms, response) = sim.response(caller).expect("no response");
        if let HttpResponse::Merged { missing_count, .. } = response
            && at_ms - sent_at_ms <= front.goal_ms
        {
            in_goal += 1.0;
            utility += (1.0 - f64::from(*missing_count) / 20.0).powi(2);
        }
    }
    let queries = queries_count as f64;
    LoadResult {
        in_goal_ratio: in_goal / queries,
        utility_ratio: utility / queries,
        calls_ratio: sim.attempts.len() as f64 / (queries * 20.0),
    }
}

#[test]
fn hedges_hide_pauses_of_targets_at_few_extra_calls() {
    let hedged = simulate_load(2, 20, targets(None, true));
    let unhedged = simulate_load(1, 20, targets(None, true));
    assert!(
        hedged.utility_ratio > 0.97,
        "{hedged:?}, without hedges {unhedged:?}"
    );
    assert!(
        hedged.utility_ratio > unhedged.utility_ratio,
        "{hedged:?} {unhedged:?}"
    );
    assert!(hedged.in_goal_ratio > 0.99, "{hedged:?}");
    assert!(hedged.calls_ratio < 1.12, "{hedged:?}");
}

#[test]
fn slow_target_of_every_service_is_avoided() {
    let result = simulate_load(2, 20, targets(Some(("/a", 8.0)), false));
    assert!(result.in_goal_ratio > 0.97, "{result:?}");
    assert!(result.utility_ratio > 0.95, "{result:?}");
}

#[test]
fn tight_goal_is_met_despite_pauses_and_slow_targets() {
    // The goal leaves 36 ms, and an attempt takes 8 to 16 ms. Targets 3/a and 13/a take 26 to 58 ms,
    // so their two services of 20 cannot reply in time while their other target pauses, which is 4.4%
    // of the time. That costs 0.9% of the utility; all other effects may cost a third as much.
    let result = simulate_load_with_goal(50, 2, 20, targets(Some(("3/a", 4.0)), true));
    assert!(result.utility_ratio > 0.988, "{result:?}");
    assert!(result.calls_ratio < 1.15, "{result:?}");
}

#[test]
fn load_near_the_capacity_of_the_targets_is_served() {
    // With four slots per service and 10 ms per request, the capacity is a query every 2.5 ms.
    let result = simulate_load(2, 4, targets(None, false));
    assert!(result.utility_ratio > 0.9, "{result:?}");
    assert!(result.calls_ratio < 1.2, "{result:?}");
}

#[test]
fn only_target_of_a_service_catches_up_after_pauses() {
    // Every service has lost one of two targets, which leaves the other one 5/6 busy.
    let front = FrontSpec {
        targets_per_service: 1,
        goal_ms: 80,
        ..gathering_front(20)
    };
    let result = simulate_load_of_front(&front, 6, targets(None, true));
    // A target pauses for 4.4% of the time, and as many parts again may miss the goal while it
    // catches up. That leaves 0.912 of the parts and a utility of 0.83.
    assert!(result.utility_ratio > 0.83, "{result:?}");
    assert!(result.in_goal_ratio > 0.99, "{result:?}");
}
