//! Tests of the form of a line.

use rstest::rstest;

use crate::layout::add_pair;

#[rstest]
#[case::word("7", "revision=7")]
#[case::empty("", "revision=\"\"")]
#[case::space("a b", "revision=\"a b\"")]
#[case::quote("a\"b", "revision=\"a\\\"b\"")]
#[case::equals("a=b", "revision=\"a=b\"")]
#[case::line_break("a\nevent=forged", "revision=\"a\\nevent=forged\"")]
fn a_value_stays_one_value_of_one_line(#[case] value: &str, #[case] expected: &str) {
    let mut text = String::new();
    add_pair(&mut text, "revision", value);
    assert_eq!(text, expected);
}
