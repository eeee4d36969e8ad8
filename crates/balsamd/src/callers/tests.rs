//! Tests of the request headers.

mod faulty_headers;

use actix_web::http::header::{HeaderMap, HeaderName, HeaderValue};
use findings::Findings;
use rstest::rstest;

use super::{KIND_HEADER, TICKET_HEADER, read_headers};

/// Returns the headers with a valid timeout added.
fn headers(fields: &[(&'static str, &'static str)]) -> HeaderMap {
    let fields = fields.iter().chain(&[("balsam-timeout-ms", "500")]);
    let fields = fields.map(|&(name, value)| {
        let name = HeaderName::from_static(name);
        (name, HeaderValue::from_static(value))
    });
    fields.collect()
}

#[rstest]
#[case(&[], true)]
#[case(&[(TICKET_HEADER, "t")], true)]
#[case(&[(KIND_HEADER, "idempotent")], true)]
#[case(&[(KIND_HEADER, "once"), (TICKET_HEADER, "t")], true)]
#[case(&[(KIND_HEADER, "once")], false)]
#[case(&[(KIND_HEADER, "idempotent"), (TICKET_HEADER, "t")], false)]
#[case(&[(KIND_HEADER, "twice")], false)]
#[case(&[("balsam-tikcet", "t")], false)]
fn contradicting_kind_and_ticket_or_unknown_header_is_rejected(
    #[case] fields: &[(&'static str, &'static str)],
    #[case] is_accepted: bool,
) {
    let mut findings = Findings::default();
    read_headers(&headers(fields), &mut findings);
    assert_eq!(findings.is_empty(), is_accepted, "{findings}");
}
