//! Tests of known failures and of searching sources for protocol names.

use rstest::rstest;

use super::{
    FINDING_PREFIX, TEST_PREFIX, has_only_known_findings, parse_known_failures, wire_names_in,
};

#[rstest]
#[case::no_file("", &[])]
#[case::comment("# nothing is listed\n", &[])]
#[case::empty_name("test:\n", &[])]
#[case::two(
    "test: a::b\nseed: 1\n\ntest:  c::d \nissue: 4\n",
    &["a::b", "c::d"],
)]
fn parses_names_of_known_failures(#[case] known_failures: &str, #[case] expected: &[&str]) {
    assert_eq!(parse_known_failures(known_failures, TEST_PREFIX), expected);
}

#[test]
fn tests_and_findings_are_listed_apart() {
    let known_failures = "test: a::b\nsoak finding: late\n";
    assert_eq!(
        parse_known_failures(known_failures, FINDING_PREFIX),
        ["late"]
    );
}

/// `late` is the only known finding.
#[rstest]
#[case::known("seed 1: 3 faults, 1 findings\n  g1-2: late\n", true)]
#[case::two_known("seed 1: 3 faults, 2 findings\n  g1-2: late\n  g1-3: late\n", true)]
#[case::one_unknown("seed 1: 3 faults, 2 findings\n  g1-2: late\n  g1-3: lost\n", false)]
#[case::longer_text("seed 1: 3 faults, 1 findings\n  g1-2: late twice\n", false)]
#[case::not_all_listed("seed 1: 3 faults, 12 findings\n  g1-2: late\n", false)]
#[case::no_finding("seed 1: 3 faults, 0 findings\n", false)]
#[case::no_report("", false)]
fn only_listed_findings_are_known(#[case] report: &str, #[case] expected: bool) {
    assert_eq!(has_only_known_findings(report, &["late"]), expected);
}

#[test]
fn finds_wire_names_ignoring_case() {
    let names = "Ab-Cd\nEf\n";
    let found: Vec<&str> = wire_names_in("const HEADER: &str = \"ab-cd\";", names).collect();
    assert_eq!(found, ["Ab-Cd"]);
    assert_eq!(wire_names_in("nothing here", names).count(), 0);
}
