//! Tests of the measurements.

use std::time::{Duration, Instant};

use model::{NotRunReason, Outcome, UnknownReason};
use rstest::rstest;

use super::fixture::{new_state, options, process_event, sent_requests};
use crate::{
    event::{AnswerSummary, CallCounters, Effect, Event},
    prometheus,
};

const ANSWER: AnswerSummary = AnswerSummary {
    outcome: Outcome::Ran,
    answered_count: 20,
    total_count: 20,
    mixed_up_count: 0,
    is_coverage_consistent: true,
};

#[test]
fn latency_is_measured_from_the_scheduled_arrival() {
    let now = Instant::now();
    let mut state = new_state(&options(), now);
    let due = state.schedule.next_due_at;
    let late = due + Duration::from_millis(300);
    let request = sent_requests(&process_event(&mut state, late, Event::ArrivalDue))[0];
    let answered = late + Duration::from_millis(100);
    let event = Event::Answered {
        request,
        answer: ANSWER,
    };
    process_event(&mut state, answered, event);
    let latency_us = state.stats.latency.max();
    let service_us = state.stats.service_time.max();
    assert!((400_000..401_000).contains(&latency_us), "{latency_us}");
    assert!((100_000..101_000).contains(&service_us), "{service_us}");
}

#[rstest]
#[case::partial(AnswerSummary { answered_count: 19, ..ANSWER }, [0, 1, 0, 0])]
#[case::complete(ANSWER, [1, 0, 0, 0])]
#[case::refused(
    AnswerSummary { outcome: Outcome::NotRun(NotRunReason::Overloaded), ..ANSWER },
    [0, 0, 1, 0]
)]
#[case::unknown(
    AnswerSummary { outcome: Outcome::Unknown(UnknownReason::OwnerGone), ..ANSWER },
    [0, 0, 0, 1]
)]
fn answer_is_counted_exactly_once_by_outcome(
    #[case] answer: AnswerSummary,
    #[case] expected: [u64; 4],
) {
    let now = Instant::now();
    let mut state = new_state(&options(), now);
    let late = now + Duration::from_secs(1);
    let request = sent_requests(&process_event(&mut state, late, Event::ArrivalDue))[0];
    for _ in 0..2 {
        process_event(&mut state, late, Event::Answered { request, answer });
    }
    let stats = &state.stats;
    let counted = [
        stats.outcomes.complete_count,
        stats.outcomes.partial_count,
        stats.outcomes.refusals.values().sum(),
        stats.outcomes.unknowns.values().sum(),
    ];
    assert_eq!(counted, expected);
}

#[test]
fn load_finishes_once_after_the_last_request_has_ended() {
    let now = Instant::now();
    let mut state = new_state(&options(), now);
    let late = now + Duration::from_secs(2);
    let requests = sent_requests(&process_event(&mut state, late, Event::ArrivalDue));
    let mut ends = 0;
    for request in requests {
        let out = process_event(&mut state, late, Event::Failed { request });
        ends += out.iter().filter(|one| **one == Effect::Finish).count();
    }
    assert_eq!(ends, 1);
    assert_eq!(
        state.stats.outcomes.failed_count,
        state.schedule.arrivals_count
    );
}

#[test]
fn calls_of_a_second_are_the_increase_of_the_counters() {
    let text = "# HELP x\nbalsamd_primary_calls_total{otel_scope_name=\"balsamd\"} 200\n\
                balsamd_hedge_calls_total 3\nbalsamd_retry_calls_total 1\n";
    let after = prometheus::parse_counters(text);
    let before = CallCounters {
        primary_count: 100.0,
        ..CallCounters::default()
    };
    let now = Instant::now();
    let mut state = new_state(&options(), now);
    for counters in [before, after] {
        process_event(
            &mut state,
            now,
            Event::CountersRead {
                instance: 0,
                counters,
            },
        );
    }
    let calls = state.stats.seconds[0].calls;
    assert_eq!(
        (calls.primary_count, calls.hedge_count, calls.retry_count),
        (100.0, 3.0, 1.0)
    );
}
