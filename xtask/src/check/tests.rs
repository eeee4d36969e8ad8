//! Tests of the reading of known faults.

use rstest::rstest;

use super::known_red_tests;

#[rstest]
#[case::no_file("", &[])]
#[case::comment("# nothing is listed\n", &[])]
#[case::empty_name("test:\n", &[])]
#[case::two(
    "test: a::b\nseed: 1\n\ntest:  c::d \nissue: 4\n",
    &["a::b", "c::d"],
)]
fn lists_the_named_tests(#[case] known_red: &str, #[case] expected: &[&str]) {
    assert_eq!(known_red_tests(known_red), expected);
}
