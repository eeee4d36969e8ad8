//! Tests of the format of results and of their insertion into a page.

use rstest::rstest;

use crate::{
    page,
    results::{self, Results, format_value},
};

#[rstest]
#[case(0.0, "0")]
#[case(1e-17, "0")]
#[case(0.012_345, "0.0123")]
#[case(1.0, "1")]
#[case(10.04, "10")]
#[case(1234.0, "1230")]
#[case(999.9, "1000")]
#[case(-4.567, "-4.57")]
fn value_has_three_significant_digits(#[case] value: f64, #[case] expected: &str) {
    assert_eq!(format_value(value), expected);
}

#[test]
fn results_round_trip() {
    let mut results = Results::default();
    results::add(&mut results, "reducer.us_per_query.at_5", 4.25);
    results::add(&mut results, "memory.state_bytes.gradient", 735.4);
    assert_eq!(results::parse(&results.to_string()), results);
}

#[test]
fn linked_results_are_updated() {
    let mut results = Results::default();
    results::add(&mut results, "a.b", 4.25);
    let page = "[other](x.md) [?](slopes/results.txt#a.b) µs, [1](slopes/results.txt#a.b).";
    let expected =
        "[other](x.md) [4.25](slopes/results.txt#a.b) µs, [4.25](slopes/results.txt#a.b).";
    assert_eq!(page::update_links(page, &results), Ok(expected.to_owned()));
}

#[test]
fn links_to_unknown_results_are_reported() {
    let page = "[1](slopes/results.txt#a.b) [2](slopes/results.txt#c)";
    let unknown = vec!["a.b".to_owned(), "c".to_owned()];
    assert_eq!(page::update_links(page, &Results::default()), Err(unknown));
}
