//! Tests of the command line, of exit codes, and of what logs say about a request.

use bpaf::{Args, Parser};
use note::Difference;
use rstest::rstest;
use serde_json::{Value, json};

use crate::{
    commands::invocation,
    exit::Exit,
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
fn the_command_line_is_checked(#[case] line: &str, #[case] is_right: bool) {
    let words: Vec<&str> = line.split(' ').collect();
    let parsed = invocation()
        .to_options()
        .run_inner(Args::from(words.as_slice()));
    assert_eq!(parsed.is_ok(), is_right, "{parsed:?}");
}

#[rstest]
#[case::complete(answer("ran", 2), Exit::Success)]
#[case::partial(answer("ran", 1), Exit::Partial)]
#[case::refused(answer("not-run", 0), Exit::NotReady)]
#[case::unknown(answer("unknown", 0), Exit::Unknown)]
#[case::findings(json!({"list": []}), Exit::Findings)]
fn an_answer_decides_the_exit_code(#[case] answer: Value, #[case] expected: Exit) {
    assert_eq!(query::exit(&answer), expected);
}

#[rstest]
#[case::ready(json!([{"is_ready": true}]), Exit::Success)]
#[case::not_ready(json!([{"is_ready": true}, {"is_ready": false}]), Exit::NotReady)]
#[case::unreachable(json!([{"is_ready": false}, {"error": "refused"}]), Exit::Unreachable)]
fn rows_decide_the_exit_code(#[case] rows: Value, #[case] expected: Exit) {
    let rows = rows.as_array().expect("the case is a list");
    assert_eq!(status::exit(rows), expected);
}

#[test]
fn a_difference_is_one_line_for_each_path() {
    let difference = Difference {
        added: vec!["service/a".to_owned()],
        changed: vec!["zone/b".to_owned()],
        withdrawn: vec!["front/c".to_owned()],
    };
    let expected = "+ service/a\n~ zone/b\n- front/c\n";
    assert_eq!(notes::render(&difference), expected);
}

fn answer(state: &str, answered_count: u32) -> Value {
    json!({
        "outcome": {"state": state},
        "coverage": {"answered_count": answered_count, "total_count": 2},
    })
}

/// Logs of two instances: one hands a query over, the other one runs it.
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
fn a_request_is_explained_by_its_lines_and_what_was_known_at_its_end() {
    let logs = logs();
    let explanation = explain("r1", &logs);
    let times = |lines: &[Line<'_>]| -> Vec<(String, String)> {
        let shown = lines.iter().map(|line| {
            let time = &line.text["ts=2026-01-01T00:00:".len()..][..4];
            (line.log.to_owned(), time.to_owned())
        });
        shown.collect()
    };
    let expected = |lines: &[(&str, &str)]| -> Vec<(String, String)> {
        let owned = lines.iter();
        owned
            .map(|&(log, time)| (log.to_owned(), time.to_owned()))
            .collect()
    };
    let own = expected(&[("larger", "05.1"), ("small", "05.3")]);
    assert_eq!(times(&explanation.own), own);
    let beliefs = [("small", "01.0"), ("larger", "01.0"), ("larger", "04.0")];
    assert_eq!(times(&explanation.beliefs), expected(&beliefs));
}

#[test]
fn a_request_that_no_log_names_has_no_explanation() {
    assert_eq!(explain("r", &logs()), Explanation::default());
}
