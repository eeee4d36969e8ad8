//! The printed form of figures, and their way into the page.

use rstest::rstest;

use crate::{
    figures::{self, Figures, shown},
    page,
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
fn shows_three_digits(#[case] value: f64, #[case] expected: &str) {
    assert_eq!(shown(value), expected);
}

#[test]
fn reads_back_what_it_prints() {
    let mut figures = Figures::default();
    figures::add(&mut figures, "reducer.us_per_query.at_5", 4.25);
    figures::add(&mut figures, "memory.state_bytes.gradient", 735.4);
    assert_eq!(figures::read(&figures.to_string()), figures);
}

#[test]
fn fills_in_the_figures_of_a_page() {
    let mut figures = Figures::default();
    figures::add(&mut figures, "a.b", 4.25);
    let page = "[other](x.md) [?](slopes/results.txt#a.b) µs, [1](slopes/results.txt#a.b).";
    let expected =
        "[other](x.md) [4.25](slopes/results.txt#a.b) µs, [4.25](slopes/results.txt#a.b).";
    assert_eq!(page::filled(page, &figures), Ok(expected.to_owned()));
}

#[test]
fn names_the_figures_of_a_page_that_were_not_measured() {
    let page = "[1](slopes/results.txt#a.b) [2](slopes/results.txt#c)";
    let unknown = vec!["a.b".to_owned(), "c".to_owned()];
    assert_eq!(page::filled(page, &Figures::default()), Err(unknown));
}
