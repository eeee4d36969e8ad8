//! Tests of the document reader.

use proptest::{
    prelude::{ProptestConfig, any, proptest},
    test_runner::RngSeed,
};
use rstest::rstest;

use crate::{Findings, with_document};

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        cases: 512,
        ..ProptestConfig::default()
    }
}

#[rstest]
#[case::missing("{}", "1:1: $: the field `name` is missing\n")]
#[case::repeated(
    "{\"name\": \"a\",\n \"name\": \"b\"}",
    "2:2: $.name: unknown or repeated field\n"
)]
#[case::unknown(
    "{\"name\": \"a\", \"x\": 1}",
    "1:15: $.x: unknown or repeated field\n"
)]
#[case::two_faults(
    "{\"name\": \"\",\n\"x\": 1}",
    "1:10: $.name: must not be empty\n2:1: $.x: unknown or repeated field\n"
)]
#[case::list("[]", "1:1: $: expected an object\n")]
fn findings_are_reported_with_position(#[case] document: &str, #[case] expected: &str) {
    let mut findings = Findings::default();
    with_document(document, &mut findings, |root, findings| {
        let mut fields = root.fields(findings)?;
        let name = fields.required("name", findings);
        let name = name.and_then(|node| node.non_empty_string(findings).map(str::to_owned));
        fields.report_unread(findings);
        name
    });
    assert_eq!(findings.to_string(), expected);
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn arbitrary_text_does_not_panic(document in any::<String>()) {
        read_all(&document);
    }

    #[test]
    fn deep_nesting_does_not_panic(depth in 0_usize..2000, open in "[\\[{\":,]{1,4}") {
        read_all(&open.repeat(depth));
    }

    #[test]
    fn inserted_character_does_not_panic(offset in 0_usize..60, inserted in any::<char>()) {
        let valid = "{\"name\": [1, 2.5e3, true, null, \"\\u00e9\"], \"b\": {\"c\": {}}}";
        let (head, tail) = valid.split_at(offset.min(valid.len()));
        read_all(&format!("{head}{inserted}{tail}"));
    }
}

/// Reads a document's root as several types. No value is of all these types, so there is always a
/// finding.
fn read_all(document: &str) {
    let mut findings = Findings::default();
    with_document(document, &mut findings, |root, findings| {
        root.items(findings);
        root.string(findings);
        root.boolean(findings);
        root.number(0..=u64::MAX, findings);
        root.address(findings);
        let fields = root.fields(findings)?;
        fields.report_unread(findings);
        Some(())
    });
    assert!(!findings.is_empty());
}
