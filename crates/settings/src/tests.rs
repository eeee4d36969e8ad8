//! Tests of the settings reader.

mod documented_defaults;

use findings::Findings;
use proptest::{
    prelude::{ProptestConfig, any, prop, proptest},
    test_runner::RngSeed,
};
use rstest::rstest;

use crate::read;

const COMPLETE: &str = r#"{
    "instance": {"name": "kranj-1", "zone": "kranj"},
    "listen": {"callers": "127.0.0.1:1", "operators": "127.0.0.1:2", "peers": "127.0.0.1:3"},
    "platform": {"address": "127.0.0.1:4", "watch_timeout_ms": 5000},
    "fleet": {"suspect_after_ms": 2000, "gone_after_ms": 9000}
}"#;

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(12),
        failure_persistence: None,
        cases: 512,
        ..ProptestConfig::default()
    }
}

#[test]
fn absent_settings_get_defaults() {
    let mut findings = Findings::default();
    let settings = read(COMPLETE, &mut findings).expect("no findings");
    assert_eq!(settings.fleet.gone_after.as_millis(), 9000);
    assert_eq!(settings.query, crate::Query::default());
}

/// Guards against an instance behind a port forwarding that states the address that it binds to the
/// others, who cannot reach it there.
#[test]
fn bound_address_is_apart_from_the_stated_one() {
    let peers = r#""peers": "127.0.0.1:3""#;
    let document = COMPLETE.replace(
        peers,
        r#""peers": "127.0.0.1:3", "peers_bind": "127.0.0.2:3""#,
    );
    let settings = read(&document, &mut Findings::default()).expect("no findings");
    assert_eq!(settings.listen.peers, ([127, 0, 0, 1], 3).into());
    assert_eq!(settings.listen.peers_bind, Some(([127, 0, 0, 2], 3).into()));
    let settings = read(COMPLETE, &mut Findings::default()).expect("no findings");
    assert_eq!(settings.listen.peers_bind, None);
}

#[rstest]
#[case::unknown_section("\"fleet\"", "\"fleat\"", "5:5: $.fleat: unknown or repeated field")]
#[case::unknown_key("gone_after_ms", "gone_after", "5:41: $.fleet.gone_after: unknown")]
#[case::no_port("127.0.0.1:4", "127.0.0.1", "is not an IP address with a port")]
#[case::host_name("127.0.0.1:4", "platform:4", "is not an IP address with a port")]
#[case::negative("5000", "-1", "$.platform.watch_timeout_ms: expected a whole number")]
#[case::fraction("5000", "1.5", "$.platform.watch_timeout_ms: expected a whole number")]
#[case::too_long("5000", "3600001", "from 1 to 3600000")]
#[case::wrong_order("9000", "1000", "must be longer than `suspect_after_ms`")]
#[case::same_port(
    "127.0.0.1:2",
    "127.0.0.1:1",
    "$.listen.operators: is the same address"
)]
#[case::empty_name("kranj-1", "", "$.instance.name: must not be empty")]
fn invalid_setting_is_reported_with_position(
    #[case] right: &str,
    #[case] wrong: &str,
    #[case] expected: &str,
) {
    let document = COMPLETE.replacen(right, wrong, 1);
    let mut findings = Findings::default();
    assert_eq!(read(&document, &mut findings), None);
    let shown = findings.to_string();
    assert!(shown.contains(expected), "{shown}");
}

#[test]
fn all_findings_are_reported_together() {
    let document = COMPLETE.replace("5000", "0").replace("127.0.0.1:3", "x");
    let mut findings = Findings::default();
    assert_eq!(read(&document, &mut findings), None);
    assert_eq!(findings.list.len(), 2, "{findings}");
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn arbitrary_text_does_not_panic(document in any::<String>()) {
        assert_eq!(read(&document, &mut Findings::default()), None);
    }

    #[test]
    fn replaced_character_gives_settings_or_findings(
        position in any::<prop::sample::Index>(),
        replacement in any::<char>(),
    ) {
        let mut document: Vec<char> = COMPLETE.chars().collect();
        let position = position.index(document.len());
        document[position] = replacement;
        let document: String = document.into_iter().collect();
        let mut findings = Findings::default();
        let is_read = read(&document, &mut findings).is_some();
        assert_eq!(is_read, findings.is_empty());
    }
}
