//! Choice of the snapshot that a query reads.

use model::{Event, LoadReport, MissingReason, ReplyStatus, ReplyView, RequestView};
use rstest::rstest;

use super::fixture::{Fixture, answers, caller, calls, feed, fixture, report, request};

/// Reports that the targets of a service serve the snapshots `oldest..=newest`.
fn report_snapshots(fixture: &mut Fixture, service: &str, oldest: u64, newest: u64) {
    let targets = fixture.state.routes.targets.iter();
    let of_service = targets.filter(|(_, target)| target.name.starts_with(service));
    let keys: Vec<_> = of_service.map(|(key, _)| key).collect();
    for target in keys {
        let report = LoadReport {
            oldest_snapshot: oldest,
            ..report(newest)
        };
        feed(fixture, Event::Load { target, report });
    }
}

#[rstest]
#[case::all_agree([(1, 2), (1, 2), (1, 2)], 2, 3)]
#[case::one_is_behind_and_the_others_still_serve_the_old_one([(1, 1), (1, 2), (1, 2)], 1, 3)]
#[case::one_is_behind_and_the_others_have_moved_on([(1, 1), (2, 2), (2, 2)], 2, 2)]
#[case::one_is_ahead([(3, 3), (2, 2), (2, 2)], 2, 2)]
fn reads_the_snapshot_with_the_widest_coverage(
    #[case] ranges: [(u64, u64); 3],
    #[case] expected_snapshot: u64,
    #[case] expected_count: u32,
) {
    let mut fixture = fixture(3);
    for (index, (oldest, newest)) in ranges.into_iter().enumerate() {
        report_snapshots(&mut fixture, &format!("parts-{index}"), oldest, newest);
    }
    let request = request("parts");
    let caller = caller(1);
    feed(&mut fixture, Event::Request { caller, request });
    let (snapshot, answered_count, missing) = reply_to_all(&mut fixture);
    assert_eq!(
        (snapshot, answered_count),
        (expected_snapshot, expected_count)
    );
    let is_snapshot_gone = |reason: &MissingReason| *reason == MissingReason::SnapshotGone;
    assert!(missing.iter().all(is_snapshot_gone));
}

#[test]
fn a_request_for_one_service_reads_the_newest_snapshot_of_that_service() {
    let mut fixture = fixture(2);
    report_snapshots(&mut fixture, "parts-0", 4, 4);
    let request = RequestView {
        service: Some("parts-0"),
        ..request("parts")
    };
    let caller = caller(1);
    feed(&mut fixture, Event::Request { caller, request });
    assert_eq!(reply_to_all(&mut fixture), (4, 1, Vec::new()));
}

/// Replies to every call; returns the answer's snapshot, answered count and missing reasons.
fn reply_to_all(fixture: &mut Fixture) -> (u64, u32, Vec<MissingReason>) {
    for call in calls(&fixture.out) {
        let reply = ReplyView {
            status: ReplyStatus::Done,
            snapshot: call
                .snapshot
                .expect("an idempotent call names its snapshot"),
            body: b"0",
            load: None,
        };
        let call = call.call;
        feed(fixture, Event::Reply { call, reply });
    }
    let (_, answer) = answers(&fixture.out).remove(0);
    let reasons = answer.coverage.missing.iter().map(|missing| missing.reason);
    (
        answer.snapshot.expect("the query is pinned to a snapshot"),
        answer.coverage.answered_count,
        reasons.collect(),
    )
}
