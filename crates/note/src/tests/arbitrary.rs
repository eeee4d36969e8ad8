//! The readers of notes and changes do not panic on any document.

use findings::Findings;
use proptest::{
    prelude::{ProptestConfig, any, prop, proptest},
    test_runner::RngSeed,
};

use super::fixture::note;
use crate::{read, read_change};

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(15),
        failure_persistence: None,
        cases: 512,
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_text_gives_findings(document in any::<String>()) {
        let mut findings = Findings::default();
        assert_eq!(read(&document, &mut findings), None);
        assert!(!findings.is_empty());
        read_change(&document, &mut findings);
    }

    #[test]
    fn replaced_character_gives_note_or_findings(
        position in any::<prop::sample::Index>(),
        replacement in any::<char>(),
    ) {
        let document = serde_json::to_string(&note(3)).expect("notes can be encoded");
        let mut document: Vec<char> = document.chars().collect();
        let position = position.index(document.len());
        document[position] = replacement;
        let document: String = document.into_iter().collect();
        let mut findings = Findings::default();
        let is_read = read(&document, &mut findings).is_some();
        assert_eq!(is_read, findings.is_empty());
    }
}
