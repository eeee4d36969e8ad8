//! Tests of command-line parsing, exit codes, and the explanation of a request from logs.

use bpaf::{Args, Parser};
use note::Difference;
use rstest::rstest;
use serde_json::{Value, json};

use crate::{
    commands::invocation,
    exit::ExitStatus,
    explain::{Explanation, Line, explain},
    notes, query, status,
};

#[rstest]
#[case::status("status --instance 127.0.0.1:1 --json", true)]
#[case::several("status --instance 127.0.0.1:1 --instance 127.0.0.1:2", true)]
#[case::no_instance("status", false)]
#[case::name_for_address("status --instance localhost:1", false)]
#[case::query("query --instance 127.0.0.1:1 katalog {}", true)]
#[case::priority("query --instance 127.0.0.1:1 --priority soon katalog {}", false)]
#[case::once(
    "query --instance 127.0.0.1:1 --once --service katalog-01 katalog {}",
    true
)]
#[case::once_without_service("query --instance 127.0.0.1:1 --once katalog {}", false)]
#[case::wait("wait --instance 127.0.0.1:1 --revision 7", true)]
#[case::wait_too_long("wait --instance 127.0.0.1:1 --revision 7 --limit-s 61", false)]
#[case::dump("dump --instance 127.0.0.1:1", true)]
#[case::explain("explain 9c41d07be2a35f68 a.log b.log", true)]
#[case::explain_without_logs("explain 9c41d07be2a35f68", false)]
#[case::check("note check note.json --previous old.json", true)]
#[case::diff("note diff old.json note.json", true)]
#[case::compose("note compose old.json change.json", true)]
#[case::unknown("note publish note.json", false)]
fn command_lines_are_validated(#[case] line: &str, #[case] is_valid: bool) {
    let words: Vec<&str> = line.split(' ').collect();
    let parsed = invocation()
        .to_options()
        .run_inner(Args::from(words.as_slice()));
    assert_eq!(parsed.is_ok(), is_valid, "{parsed:?}");
}

#[rstest]
#[case::complete(answer("ran", 2), ExitStatus::Success)]
#[case::partial(answer("ran", 1), ExitStatus::Partial)]
#[case::refused(answer("not-run", 0), ExitStatus::NotReady)]
#[case::unknown(answer("unknown", 0), ExitStatus::Unknown)]
#[case::findings(json!({"list": []}), ExitStatus::Findings)]
fn the_outcome_and_coverage_of_an_answer_determine_the_exit_code(
    #[case] answer: Value,
    #[case] expected: ExitStatus,
) {
    assert_eq!(query::exit_status(&answer), expected);
}

#[rstest]
#[case::ready(json!([{"is_ready": true}]), ExitStatus::Success)]
#[case::not_ready(json!([{"is_ready": true}, {"is_ready": false}]), ExitStatus::NotReady)]
#[case::unreachable(json!([{"is_ready": false}, {"error": "refused"}]), ExitStatus::Unreachable)]
fn the_readiness_of_all_instances_determines_the_exit_code(
    #[case] rows: Value,
    #[case] expected: ExitStatus,
) {
    let rows = rows.as_array().expect("the case is a list");
    assert_eq!(status::exit_status(rows), expected);
}

#[test]
fn a_difference_is_printed_as_one_line_for_each_path() {
    let difference = Difference {
        added: vec!["service/a".to_owned()],
        changed: vec!["zone/b".to_owned()],
        withdrawn: vec!["front/c".to_owned()],
    };
    let expected = "+ service/a\n~ zone/b\n- front/c\n";
    assert_eq!(notes::render_difference(&difference), expected);
}

fn answer(state: &str, answered_count: u32) -> Value {
    json!({
        "outcome": {"state": state},
        "coverage": {"answered_count": answered_count, "total_count": 2},
    })
}

/// Logs of two instances: `small` relays the query `r1` to `larger`, which runs it.
fn logs() -> Vec<(String, String)> {
    let small = "\
ts=2026-01-01T00:00:01.0Z level=info event=listening gateway=10.0.0.1:80
ts=2026-01-01T00:00:05.3Z level=info event=request-ended request_id=r1 end=ended relay=10.0.0.2:90
";
    let larger = "\
ts=2026-01-01T00:00:01.0Z level=info event=store-lost area=targets
ts=2026-01-01T00:00:02.0Z level=info event=target-silent target=i-1 service=a silent_ms=300
ts=2026-01-01T00:00:04.0Z level=info event=target-unreachable target=i-1 service=a
ts=2026-01-01T00:00:04.5Z level=info event=target-silent target=i-9 service=c silent_ms=300
ts=2026-01-01T00:00:05.1Z level=info event=request-ended request_id=r1 end=ended missing=a:i-1,b:
ts=2026-01-01T00:00:05.2Z level=info event=request-ended request_id=r11 end=merged missing=c:i-9
ts=2026-01-01T00:00:06.0Z level=info event=target-changed target=i-1 service=a
";
    vec![
        ("small".to_owned(), small.to_owned()),
        ("larger".to_owned(), larger.to_owned()),
    ]
}

#[test]
fn an_explanation_holds_the_request_lines_and_the_state_when_it_ended() {
    let logs = logs();
    let explanation = explain("r1", &logs);
    let times = |lines: &[Line<'_>]| -> Vec<(String, String)> {
        let pairs = lines.iter().map(|line| {
            let time = &line.text["ts=2026-01-01T00:00:".len()..][..4];
            (line.log.to_owned(), time.to_owned())
        });
        pairs.collect()
    };
    let expected = |lines: &[(&str, &str)]| -> Vec<(String, String)> {
        let pairs = lines.iter();
        pairs
            .map(|&(log, time)| (log.to_owned(), time.to_owned()))
            .collect()
    };
    let request_lines = expected(&[("larger", "05.1"), ("small", "05.3")]);
    assert_eq!(times(&explanation.request_lines), request_lines);
    let state_lines = [("small", "01.0"), ("larger", "01.0"), ("larger", "04.0")];
    assert_eq!(times(&explanation.state_lines), expected(&state_lines));
}

/// Guards against a 401 whose cause is not said, and against a refused item that may hold the key
/// and is not shown.
#[rstest]
#[case::absent(
    "event=request-refused request_id=r1 version=4 reason=unauthenticated key=absent",
    "no key"
)]
#[case::malformed(
    "event=request-refused request_id=r1 version=4 reason=unauthenticated key=malformed",
    "Bearer KEY"
)]
#[case::unknown(
    "event=request-refused request_id=r1 version=4 reason=unauthenticated key=unknown",
    "no organisation of configuration 4"
)]
#[case::removed(
    "event=request-ended request_id=r1 version=4 end=ended reason=unauthenticated",
    "a newer configuration removed"
)]
fn an_explanation_of_a_missing_key_names_the_cause(#[case] line: &str, #[case] expected: &str) {
    let refused = "ts=2026-01-01T00:00:02.0Z level=warn event=item-unreadable key=configuration";
    let later = "ts=2026-01-01T00:00:09.0Z level=warn event=item-unreadable key=configuration";
    let line = format!("ts=2026-01-01T00:00:05.0Z level=info {line}");
    let logs = vec![("a".to_owned(), format!("{refused}\n{line}\n{later}\n"))];
    let explanation = explain("r1", &logs);
    let state_lines = explanation.state_lines.iter().map(|line| line.text);
    assert_eq!(state_lines.collect::<Vec<&str>>(), [refused]);
    let conclusion = explanation.conclusion.expect("the cause is known");
    assert!(conclusion.contains(expected), "{conclusion}");
}

#[test]
fn a_request_that_no_log_mentions_has_an_empty_explanation() {
    assert_eq!(explain("r", &logs()), Explanation::default());
}

/// Guards against an explanation that leaves operators to look up why a cap refused a request.
#[test]
fn a_refusal_by_a_cap_has_a_conclusion() {
    let text = "ts=1 event=request-refused request_id=r1 reason=over-cap organisation=acme\n";
    let logs = vec![("log".to_owned(), text.to_owned())];
    let explanation = explain("r1", &logs);
    let conclusion = explanation.conclusion;
    assert!(conclusion.is_some_and(|text| text.contains("acme had used up its cap")));
}
