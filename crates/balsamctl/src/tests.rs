//! Tests of the command line and of exit codes.

use bpaf::{Args, Parser};
use note::Difference;
use rstest::rstest;
use serde_json::{Value, json};

use crate::{commands::invocation, exit::Exit, notes, query, status};

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
