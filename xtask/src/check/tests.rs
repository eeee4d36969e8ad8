//! Tests of the reading of known faults.

use rstest::rstest;

use super::{known_red_tests, names_in};

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

#[test]
fn a_name_of_the_platform_is_found_in_whatever_case() {
    let names = "Ab-Cd\nEf\n";
    let found: Vec<&str> = names_in("const HEADER: &str = \"ab-cd\";", names).collect();
    assert_eq!(found, ["Ab-Cd"]);
    assert_eq!(names_in("nothing here", names).count(), 0);
}
