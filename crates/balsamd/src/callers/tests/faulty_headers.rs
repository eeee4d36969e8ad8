//! Faulty headers, headers of others, and arbitrary header values.

use actix_web::http::header::{HeaderMap, HeaderName, HeaderValue};
use findings::Findings;
use proptest::{
    collection::vec,
    prelude::{ProptestConfig, any, proptest},
    sample::select,
    test_runner::RngSeed,
};
use rstest::rstest;

use crate::callers::{KNOWN_HEADERS, read_headers};

/// Skips names and values that HTTP does not permit.
fn headers(pairs: &[(&str, &[u8])]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in pairs {
        let name = HeaderName::from_bytes(name.as_bytes());
        let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(value)) else {
            continue;
        };
        headers.append(name, value);
    }
    headers
}

fn as_bytes<'a>(pairs: &[(&'a str, &'a str)]) -> Vec<(&'a str, &'a [u8])> {
    let pairs = pairs.iter();
    pairs
        .map(|(name, value)| (*name, value.as_bytes()))
        .collect()
}

#[rstest]
#[case::none(&[], "balsam-timeout-ms: expected a whole number")]
#[case::zero(&[("balsam-timeout-ms", "0")], "balsam-timeout-ms: expected a whole number")]
#[case::too_long(&[("balsam-timeout-ms", "3600001")], "from 1 to 3600000")]
#[case::not_text(
    &[("balsam-timeout-ms", "1"), ("balsam-request-id", "\u{ff}")],
    "balsam-request-id: not a visible ASCII text"
)]
#[case::unknown(&[("balsam-timeout-ms", "1"), ("balsam-x", "1")], "balsam-x: unknown header")]
#[case::doubled(
    &[("balsam-timeout-ms", "1"), ("balsam-service", "a"), ("balsam-service", "b")],
    "balsam-service: the header is given more than once"
)]
#[case::priority(
    &[("balsam-timeout-ms", "1"), ("balsam-priority", "URGENT")],
    "balsam-priority: expected urgent, normal or deferrable"
)]
fn finding_names_the_faulty_header(#[case] pairs: &[(&str, &str)], #[case] expected: &str) {
    let mut findings = Findings::default();
    read_headers(&headers(&as_bytes(pairs)), &mut findings);
    assert!(findings.to_string().contains(expected), "{findings}");
}

#[test]
fn headers_without_own_prefix_are_ignored() {
    let mut findings = Findings::default();
    let pairs = [
        ("balsam-timeout-ms", "250"),
        ("accept", "a"),
        ("accept", "b"),
    ];
    let read = read_headers(&headers(&as_bytes(&pairs)), &mut findings);
    assert_eq!(read.map(|headers| headers.timeout.as_millis()), Some(250));
    assert!(findings.is_empty(), "{findings}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(14),
        failure_persistence: None,
        cases: 512,
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_values_are_read_or_found_faulty(
        pairs in vec((select(&KNOWN_HEADERS[..]), vec(any::<u8>(), 0..12)), 0..6),
    ) {
        let pairs: Vec<(&str, &[u8])> = pairs.iter().map(|(name, value)| (*name, &value[..])).collect();
        let mut findings = Findings::default();
        let read = read_headers(&headers(&pairs), &mut findings);
        assert!(read.is_some() || !findings.is_empty());
    }
}
