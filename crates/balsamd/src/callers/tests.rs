//! Tests of the request headers.

mod faulty_headers;

use actix_web::http::header::{HeaderMap, HeaderName, HeaderValue};
use findings::Findings;
use rstest::rstest;

use super::{KIND, TICKET, read_headers};

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
#[case(&[(TICKET, "t")], true)]
#[case(&[(KIND, "idempotent")], true)]
#[case(&[(KIND, "once"), (TICKET, "t")], true)]
#[case(&[(KIND, "once")], false)]
#[case(&[(KIND, "idempotent"), (TICKET, "t")], false)]
#[case(&[(KIND, "twice")], false)]
#[case(&[("balsam-tikcet", "t")], false)]
fn kind_and_ticket_must_agree_and_headers_be_known(
    #[case] fields: &[(&'static str, &'static str)],
    #[case] is_accepted: bool,
) {
    let mut findings = Findings::default();
    read_headers(&headers(fields), &mut findings);
    assert_eq!(findings.is_empty(), is_accepted, "{findings}");
}
