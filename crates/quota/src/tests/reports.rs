//! Changes that operators see.

use std::time::{Duration, Instant};

use model::{CallerKey, UsageCap};

use super::units::alone;
use crate::{Change, Quota, changes, on_pause, request, set_caps};

fn ask(quota: &mut Quota, now: Instant) {
    let caller = CallerKey::default();
    let wait = Duration::from_millis(60);
    request(quota, now, "acme", caller, wait, &mut Vec::new());
}

/// Guards against changes that are not reported, reported twice, or reported at each refusal.
#[test]
fn each_change_is_reported_once() {
    let start = Instant::now();
    let cap = UsageCap {
        per_s: 1.0,
        burst_count: 0.0,
    };
    let mut quota = alone(start, cap);
    let mut seen = Vec::new();
    for at_s in 0..30 {
        let now = start + Duration::from_secs(at_s);
        if at_s < 5 {
            (0..3).for_each(|_| ask(&mut quota, now));
        }
        if at_s == 20 {
            on_pause(&mut quota, now);
        }
        for (name, change) in changes(&mut quota, now) {
            assert_eq!(&*name, "acme");
            seen.push((at_s, change));
        }
    }
    let expected = [
        (0, Change::IssuingStarted),
        (0, Change::RefusingStarted),
        (14, Change::RefusingEnded { refused_count: 11 }),
        (20, Change::IssuingStopped),
    ];
    assert_eq!(seen, expected);
}

/// Guards against a burst of log lines where one event concerns all organisations.
#[test]
fn changes_of_many_organisations_are_spread_over_calls() {
    let now = Instant::now();
    let cap = UsageCap {
        per_s: 1.0,
        burst_count: 0.0,
    };
    let mut quota = alone(now, cap);
    let names: Vec<String> = (0..23).map(|number| format!("name-{number}")).collect();
    let caps = names.iter().map(|name| (name.as_str(), cap));
    set_caps(&mut quota, now, caps, &mut Vec::new());
    let counts = [0; 6].map(|_| changes(&mut quota, now).len());
    assert_eq!(counts, [5, 5, 5, 5, 3, 0]);
}
