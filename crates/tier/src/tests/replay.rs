//! Replay of a recorded event log.

use std::time::{Duration, Instant};

use model::Event;

use super::fixture::{caller, calls, done, feed, fixture, note, request, settings};
use crate::{new_state, reduce};

/// One record of the log: time since the start, and event.
type Record<'a> = (Duration, Event<'a>);

#[test]
fn replaying_a_log_yields_identical_effects() {
    let mut first = fixture(2);
    feed(
        &mut first,
        Event::Request {
            caller: caller(1),
            request: request("parts"),
        },
    );
    let running = calls(&first.out);
    let note = note(1, 2);
    let targets: Vec<_> = first.state.routes.targets.keys().collect();
    let mut events = vec![
        Event::Started,
        Event::PlatformNote {
            version: 1,
            body: note.as_bytes(),
        },
    ];
    let report = super::fixture::report(1);
    events.extend(
        targets
            .into_iter()
            .map(|target| Event::Load { target, report }),
    );
    events.push(Event::Request {
        caller: caller(1),
        request: request("parts"),
    });
    events.extend(running.iter().map(|call| done(call.call, b"[1]")));
    events.push(Event::ShutdownRequested);

    let log: Vec<Vec<u8>> = events
        .into_iter()
        .zip(0..)
        .map(|(event, index)| {
            let record: Record<'_> = (Duration::from_millis(index), event);
            postcard::to_stdvec(&record).expect("events can be encoded")
        })
        .collect();
    let recorded = replay(&log);
    assert!(recorded.len() > log.len());
    assert_eq!(recorded, replay(&log));
}

fn replay(log: &[Vec<u8>]) -> Vec<u8> {
    let origin = Instant::now();
    let mut state = new_state(settings(), 7, 1);
    let mut out = Vec::new();
    for record in log {
        let (after, event): Record<'_> =
            postcard::from_bytes(record).expect("the log can be decoded");
        reduce(&mut state, origin + after, event, &mut out);
    }
    postcard::to_stdvec(&out).expect("effects can be encoded")
}
