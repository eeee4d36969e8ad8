//! Tests of parsing the list of known failures and of searching sources for protocol names.

use rstest::rstest;

use super::{parse_known_failures, wire_names_in};

#[rstest]
#[case::no_file("", &[])]
#[case::comment("# nothing is listed\n", &[])]
#[case::empty_name("test:\n", &[])]
#[case::two(
    "test: a::b\nseed: 1\n\ntest:  c::d \nissue: 4\n",
    &["a::b", "c::d"],
)]
fn parses_names_of_known_failures(#[case] known_failures: &str, #[case] expected: &[&str]) {
    assert_eq!(parse_known_failures(known_failures), expected);
}

#[test]
fn finds_wire_names_ignoring_case() {
    let names = "Ab-Cd\nEf\n";
    let found: Vec<&str> = wire_names_in("const HEADER: &str = \"ab-cd\";", names).collect();
    assert_eq!(found, ["Ab-Cd"]);
    assert_eq!(wire_names_in("nothing here", names).count(), 0);
}
