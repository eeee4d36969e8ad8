//! Tests of the quoting of values.

use rstest::rstest;

use crate::layout::push_pair;

#[rstest]
#[case::word("7", "revision=7")]
#[case::empty("", "revision=\"\"")]
#[case::space("a b", "revision=\"a b\"")]
#[case::quote("a\"b", "revision=\"a\\\"b\"")]
#[case::equals("a=b", "revision=\"a=b\"")]
#[case::line_break("a\nevent=forged", "revision=\"a\\nevent=forged\"")]
fn value_is_quoted_and_stays_on_one_line(#[case] value: &str, #[case] expected: &str) {
    let mut text = String::new();
    push_pair(&mut text, "revision", value);
    assert_eq!(text, expected);
}
