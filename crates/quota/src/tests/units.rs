//! Numbers at their bounds, and single permits.

use std::time::{Duration, Instant};

use model::{CallerKey, PermitAnswer, UsageCap};
use rstest::rstest;

use crate::{
    Candidate, FleetView, Output, Quota, Refusal, limits, new_state, on_answer, on_question,
    on_return, on_unreachable, on_wait_timer, request, set_caps, set_view, tick,
};

const OWN: ([u8; 4], u16) = ([127, 0, 0, 1], 1);
const OTHER: ([u8; 4], u16) = ([127, 0, 0, 1], 2);
const WAIT: Duration = Duration::from_millis(60);

pub(crate) fn alone(now: Instant, cap: UsageCap) -> Quota {
    let mut quota = new_state(OWN.into(), 1);
    let zones = ["north".to_owned()];
    let candidate = Candidate {
        name: "a",
        zone: "north",
        address: OWN.into(),
        capacity_millicores: 0,
    };
    let view = FleetView {
        own_name: "a",
        own_zone: "north",
        zones: &zones,
        started_at: now,
        is_alone: true,
        has_heard: false,
        candidates: &[candidate],
    };
    set_view(&mut quota, now, &view);
    set_caps(
        &mut quota,
        now,
        [("acme", cap)].into_iter(),
        &mut Vec::new(),
    );
    quota
}

/// Guards against arithmetic that panics or yields no number, and against parts that together
/// exceed the bound.
#[rstest]
#[case(1e300, 1e300)]
#[case(f64::MAX, f64::MAX)]
#[case(0.001, 0.0)]
#[case(5e-324, 5e-324)]
#[case(0.5, 1.0)]
#[case(40.0, 0.0)]
fn extreme_caps_have_finite_parts(#[case] per_s: f64, #[case] burst_count: f64) {
    let cap = UsageCap { per_s, burst_count };
    for parts_count in 1..=8 {
        let limits = limits(&cap, parts_count);
        assert!(limits.per_s.is_finite() && limits.per_s > 0.0);
        assert!(limits.bucket_max_count >= 1.0 && limits.bucket_max_count.is_finite());
        let parts = parts_count as f64;
        let (per_s, burst) = (per_s.clamp(1e-6, 1e9), burst_count.min(1e9));
        let held = parts * (limits.bucket_max_count + f64::from(limits.reserve_count));
        // What is issued in a window and may be in transit or held at its start.
        let worst = 5.5 * per_s + held;
        assert!(
            worst <= 1.25 * (5.0 * per_s + burst) + 20.0,
            "{parts_count}: {worst}"
        );
    }
    let now = Instant::now();
    let mut quota = alone(now, cap);
    for step in 0..3 {
        let mut out = Vec::new();
        let now = now + Duration::from_secs(step * 100_000);
        request(
            &mut quota,
            now,
            "acme",
            CallerKey::default(),
            WAIT,
            &mut out,
        );
        tick(&mut quota, now, Duration::ZERO, &mut out);
        assert_eq!(out.len(), 1);
    }
}

/// Guards against a refusal that does not say when to come back, and against one that asks again.
#[test]
fn a_refusal_states_when_there_is_a_permit() {
    let now = Instant::now();
    let cap = UsageCap {
        per_s: 2.0,
        burst_count: 0.0,
    };
    let mut quota = alone(now, cap);
    let mut out = Vec::new();
    request(
        &mut quota,
        now,
        "acme",
        CallerKey::default(),
        WAIT,
        &mut out,
    );
    let refusal = Refusal::OverCap(Duration::from_millis(500));
    let caller = CallerKey::default();
    assert_eq!(out, [Output::Refused { caller, refusal }]);
    out.clear();
    let now = now + Duration::from_millis(500);
    request(&mut quota, now, "acme", caller, WAIT, &mut out);
    assert!(matches!(
        out[..],
        [Output::Admitted {
            permit: Some(_),
            ..
        }]
    ));
    out.clear();
    assert!(!request(&mut quota, now, "unknown", caller, WAIT, &mut out));
}

/// Guards against a permit that is counted twice: an answer that arrives twice, late, from another
/// sender, or with more permits than were asked for.
#[test]
fn an_answer_counts_once() {
    let start = Instant::now();
    let cap = UsageCap {
        per_s: 1.0,
        burst_count: 5.0,
    };
    for (delay_ms, from, expected_count) in [(10, OTHER, 1), (10, OWN, 0), (500, OTHER, 0)] {
        let mut holder = with_issuer(start, cap);
        let mut out = Vec::new();
        let caller = CallerKey::default();
        request(&mut holder, start, "acme", caller, WAIT, &mut out);
        let [Output::Ask { question, .. }] = &out[..] else {
            panic!("no question: {out:?}");
        };
        let answer = PermitAnswer {
            question_id: question.question_id,
            granted_count: 100,
            prefetched_count: 100,
            grant_id: 7,
            wait: Duration::ZERO,
            is_issuer: true,
        };
        out.clear();
        let now = start + Duration::from_millis(delay_ms);
        on_answer(&mut holder, now, from.into(), &answer, &mut out);
        on_answer(&mut holder, now, from.into(), &answer, &mut out);
        let admitted = out.iter().filter(|o| matches!(o, Output::Admitted { .. }));
        assert_eq!(admitted.count(), expected_count);
        out.clear();
        // Nothing is left over for another request.
        request(&mut holder, now, "acme", caller, WAIT, &mut out);
        assert!(!out.iter().any(|o| matches!(o, Output::Admitted { .. })));
    }
}

fn with_issuer(now: Instant, cap: UsageCap) -> Quota {
    let mut quota = alone(now, cap);
    let zones = ["north".to_owned()];
    let issuer = Candidate {
        name: "b",
        zone: "north",
        address: OTHER.into(),
        capacity_millicores: 0,
    };
    let view = FleetView {
        own_name: "a",
        own_zone: "north",
        zones: &zones,
        started_at: now,
        is_alone: false,
        has_heard: true,
        candidates: &[issuer],
    };
    set_view(&mut quota, now, &view);
    quota
}

/// Guards against returned permits that are put back twice, or more than were granted.
#[test]
fn a_grant_is_returned_once() {
    let start = Instant::now();
    let cap = UsageCap {
        per_s: 1e-6,
        burst_count: 10.0,
    };
    let mut quota = alone(start, cap);
    let now = start + Duration::from_secs(10);
    let question = |wanted_count, prefetch_count| model::PermitQuestion {
        question_id: 1,
        organisation: "acme".to_owned(),
        wanted_count,
        prefetch_count,
    };
    let ask = |quota: &mut Quota, wanted_count, prefetch_count| {
        let mut out = Vec::new();
        let question = question(wanted_count, prefetch_count);
        on_question(quota, now, OTHER.into(), &question, &mut out);
        match out.remove(0) {
            Output::Answer { answer, .. } => answer,
            output => panic!("no answer: {output:?}"),
        }
    };
    assert_eq!(ask(&mut quota, 1, 0).granted_count, 0);
    let faster = UsageCap { per_s: 2.0, ..cap };
    set_caps(
        &mut quota,
        now,
        [("acme", faster)].into_iter(),
        &mut Vec::new(),
    );
    let now = now + Duration::from_secs(100);
    let mut out = Vec::new();
    on_question(&mut quota, now, OTHER.into(), &question(0, 5), &mut out);
    let Some(Output::Answer { answer, .. }) = out.pop() else {
        panic!("no answer");
    };
    assert_eq!(answer.prefetched_count, 5);
    let permits = model::PermitReturn {
        grant_id: answer.grant_id,
        unused_count: 50,
    };
    on_return(&mut quota, now, OWN.into(), &permits);
    on_return(&mut quota, now, OTHER.into(), &permits);
    on_return(&mut quota, now, OTHER.into(), &permits);
    on_question(&mut quota, now, OTHER.into(), &question(1_000, 0), &mut out);
    let Some(Output::Answer { answer, .. }) = out.pop() else {
        panic!("no answer");
    };
    assert_eq!(answer.granted_count, 11);
}

/// Guards against a refusal whose wait rounds to zero: the issuer would ask its own bucket again
/// without an end, and another holder would repeat its question at once.
#[test]
fn a_refusal_always_has_a_wait() {
    let start = Instant::now();
    let cap = UsageCap {
        per_s: 10.0,
        burst_count: 0.0,
    };
    let mut quota = alone(start, cap);
    let question = model::PermitQuestion {
        question_id: 1,
        organisation: "acme".to_owned(),
        wanted_count: 1,
        prefetch_count: 0,
    };
    // Ten times a tenth of a permit adds up to slightly less than one.
    for step in 0..=10 {
        let now = start + Duration::from_millis(10) * step;
        let mut out = Vec::new();
        on_question(&mut quota, now, OTHER.into(), &question, &mut out);
        let Some(Output::Answer { answer, .. }) = out.pop() else {
            panic!("no answer");
        };
        assert!(answer.granted_count > 0 || answer.wait > Duration::ZERO);
    }
}

/// Guards against a bucket that is full again whenever the number of known members changes.
#[test]
fn a_bucket_stays_as_it_is_when_others_join_or_are_forgotten() {
    let start = Instant::now();
    let cap = UsageCap {
        per_s: 1.0,
        burst_count: 9.0,
    };
    let mut quota = alone(start, cap);
    let member = |name, port| Candidate {
        name,
        zone: "north",
        address: ([127, 0, 0, 1], port).into(),
        capacity_millicores: 1,
    };
    let own = Candidate {
        capacity_millicores: 1_000_000,
        ..member("a", 1)
    };
    let others = ["b", "c", "d", "e"].map(|name| member(name, 2));
    let now = start + Duration::from_secs(100);
    let mut granted_count = 0;
    for others_count in [1, 2, 3, 4, 0] {
        let mut candidates = others[..others_count].to_vec();
        candidates.push(own);
        let zones = ["north".to_owned()];
        let view = FleetView {
            own_name: "a",
            own_zone: "north",
            zones: &zones,
            started_at: start,
            is_alone: false,
            has_heard: true,
            candidates: &candidates,
        };
        // The last view comes after those that departed are forgotten.
        set_view(&mut quota, now, &view);
        if others_count == 0 {
            let later = now + Duration::from_secs(601);
            set_view(&mut quota, later, &view);
        }
        let question = model::PermitQuestion {
            question_id: 1,
            organisation: "acme".to_owned(),
            wanted_count: 100,
            prefetch_count: 0,
        };
        let mut out = Vec::new();
        on_question(&mut quota, now, OTHER.into(), &question, &mut out);
        let Some(Output::Answer { answer, .. }) = out.pop() else {
            panic!("no answer");
        };
        assert!(answer.is_issuer);
        granted_count += answer.granted_count;
    }
    assert_eq!(granted_count, 10);
}

/// Guards against a new issuer that starts with what would have accrued before it was the issuer.
#[test]
fn an_issuer_that_takes_over_without_a_departure_starts_empty() {
    let start = Instant::now();
    let cap = UsageCap {
        per_s: 1.0,
        burst_count: 9.0,
    };
    let mut quota = alone(start, cap);
    let zones = ["north".to_owned()];
    for (at_s, capacity_millicores, expected) in [
        (100, 1_000_000, None),
        (101, 1, None),
        (104, 1, Some(0)),
        (106, 1, Some(2)),
    ] {
        let now = start + Duration::from_secs(at_s);
        let candidates = [("a", 1, 1_000), ("b", 2, capacity_millicores)];
        let candidates = candidates.map(|(name, port, capacity_millicores)| Candidate {
            name,
            zone: "north",
            address: ([127, 0, 0, 1], port).into(),
            capacity_millicores,
        });
        let view = FleetView {
            own_name: "a",
            own_zone: "north",
            zones: &zones,
            started_at: start,
            is_alone: false,
            has_heard: true,
            candidates: &candidates,
        };
        set_view(&mut quota, now, &view);
        let question = model::PermitQuestion {
            question_id: 1,
            organisation: "acme".to_owned(),
            wanted_count: 100,
            prefetch_count: 0,
        };
        let mut out = Vec::new();
        on_question(&mut quota, now, OTHER.into(), &question, &mut out);
        let Some(Output::Answer { answer, .. }) = out.pop() else {
            panic!("no answer");
        };
        let granted_count = answer.is_issuer.then_some(answer.granted_count);
        assert_eq!(granted_count, expected, "at {at_s} s");
    }
}

/// Guards against a request that is refused while an issuer that answers late may still grant its
/// permit within the time that the request can wait, and against one that waits for an issuer that
/// is known to be unreachable.
#[test]
fn a_request_waits_its_time_for_a_late_answer() {
    let start = Instant::now();
    let cap = UsageCap {
        per_s: 1.0,
        burst_count: 5.0,
    };
    let caller = CallerKey::default();
    let at = |ms| start + Duration::from_millis(ms);
    let asked = || {
        let mut holder = with_issuer(start, cap);
        let mut out = Vec::new();
        request(&mut holder, start, "acme", caller, WAIT, &mut out);
        let Some(Output::Ask { question, .. }) = out.pop() else {
            panic!("no question");
        };
        assert!(on_wait_timer(&mut holder, at(20), caller, &mut out));
        assert!(on_wait_timer(&mut holder, at(40), caller, &mut out));
        let issuer = OTHER.into();
        assert_eq!(out, [Output::Unanswered { issuer }]);
        (holder, question)
    };
    let refused = Output::Refused {
        caller,
        refusal: Refusal::Unreachable,
    };

    let (mut holder, question) = asked();
    let answer = PermitAnswer {
        question_id: question.question_id,
        granted_count: 1,
        prefetched_count: 0,
        grant_id: 0,
        wait: Duration::ZERO,
        is_issuer: true,
    };
    let mut out = Vec::new();
    on_answer(&mut holder, at(50), OTHER.into(), &answer, &mut out);
    assert!(matches!(out[..], [Output::Admitted { .. }]), "{out:?}");

    let (mut holder, _) = asked();
    let mut out = Vec::new();
    assert!(!on_wait_timer(&mut holder, at(60), caller, &mut out));
    assert_eq!(out, std::slice::from_ref(&refused));
    // The issuer has not answered; the next request does not wait for it.
    let mut out = Vec::new();
    request(&mut holder, at(61), "acme", caller, WAIT, &mut out);
    assert_eq!(out, std::slice::from_ref(&refused));

    let (mut holder, _) = asked();
    let mut out = Vec::new();
    on_unreachable(&mut holder, at(45), OTHER.into(), &mut out);
    assert_eq!(out, [refused]);
}

/// Guards against a refusal for the cap before any issuer has said that it is used up, where the
/// time that a request can wait is shorter than the time that an issuer has to answer.
#[test]
fn a_request_without_an_answer_is_not_refused_for_its_cap() {
    let now = Instant::now();
    let cap = UsageCap {
        per_s: 1.0,
        burst_count: 5.0,
    };
    let mut holder = with_issuer(now, cap);
    let caller = CallerKey::default();
    let wait = Duration::from_millis(10);
    let mut out = Vec::new();
    request(&mut holder, now, "acme", caller, wait, &mut out);
    out.clear();
    assert!(!on_wait_timer(&mut holder, now + wait, caller, &mut out));
    let refusal = Refusal::Unreachable;
    assert_eq!(out, [Output::Refused { caller, refusal }]);
}

/// Guards against each organisation's requests spending their short wait on an instance that has
/// just shown, for another organisation, that it is gone or issues nothing yet.
#[test]
fn an_unavailable_instance_is_asked_for_no_organisation() {
    let start = Instant::now();
    let cap = UsageCap {
        per_s: 1.0,
        burst_count: 5.0,
    };
    let mut holder = with_issuer(start, cap);
    let caps = [("acme", cap), ("other", cap)];
    set_caps(&mut holder, start, caps.into_iter(), &mut Vec::new());
    let mut out = Vec::new();
    let caller = CallerKey::default();
    request(&mut holder, start, "acme", caller, WAIT, &mut out);
    let [Output::Ask { question, .. }] = &out[..] else {
        panic!("no question: {out:?}");
    };
    let answer = PermitAnswer {
        question_id: question.question_id,
        granted_count: 0,
        prefetched_count: 0,
        grant_id: 0,
        wait: Duration::ZERO,
        is_issuer: false,
    };
    on_answer(&mut holder, start, OTHER.into(), &answer, &mut out);
    out.clear();
    let now = start + Duration::from_millis(300);
    request(&mut holder, now, "other", caller, WAIT, &mut out);
    assert!(!out.iter().any(|o| matches!(o, Output::Ask { .. })));
    out.clear();
    let now = start + Duration::from_millis(501);
    request(&mut holder, now, "other", caller, WAIT, &mut out);
    assert!(out.iter().any(|o| matches!(o, Output::Ask { .. })));
}
