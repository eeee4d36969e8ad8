//! HTTP client for instances and for the directly called target.

use std::{net::SocketAddr, time::Duration};

use awc::{Client, Connector};
use bytes::Bytes;
use model::{Outcome, Priority, variant_name};
use serde::{Deserialize, de::IgnoredAny};

use crate::{
    event::{AnswerSummary, CallCounters, OutgoingRequest},
    options::Options,
    prometheus,
};

/// Time beyond a request's own timeout after which the client gives up on its answer.
const ANSWER_GRACE: Duration = Duration::from_secs(2);
/// Timeout of reading counters and of fetching tickets.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Limit on the size of an answer; a larger one counts as a failure.
const MAX_ANSWER_BYTES: usize = 16 * 1_048_576;

#[derive(Deserialize)]
struct AnswerBody {
    outcome: Outcome,
    coverage: CoverageBody,
    #[serde(default)]
    results: Vec<ResultBody>,
}

#[derive(Deserialize)]
struct CoverageBody {
    answered_count: u32,
    total_count: u32,
    #[serde(default)]
    missing: Vec<IgnoredAny>,
}

#[derive(Deserialize)]
struct ResultBody {
    body: EchoBody,
}

#[derive(Default)]
#[derive(Deserialize)]
#[serde(default)]
struct EchoBody {
    query: QueryBody,
}

#[derive(Default)]
#[derive(Deserialize)]
#[serde(default)]
struct QueryBody {
    number: Option<u64>,
}

#[derive(Deserialize)]
struct TicketsBody {
    tickets: Vec<String>,
}

/// Creates a client without a connection limit: with one, arrivals would wait for earlier answers.
pub fn create() -> Client {
    Client::builder()
        .connector(Connector::new().limit(0))
        .disable_redirects()
        .disable_timeout()
        .finish()
}

/// Sends a request and returns a summary of its answer, or nothing if no answer can be read.
pub async fn send(
    client: Client,
    options: Options,
    outgoing: OutgoingRequest,
) -> Option<AnswerSummary> {
    let address = options.instances[outgoing.instance];
    let front = &options.fronts[outgoing.front];
    let number = outgoing.number;
    let mut request = client
        .post(format!("http://{address}/v1/fronts/{front}/query"))
        .timeout(options.timeout + ANSWER_GRACE)
        .insert_header((
            "balsam-request-id",
            format!("load-{}-{number}", options.seed),
        ))
        .insert_header(("balsam-timeout-ms", options.timeout.as_millis().to_string()));
    if outgoing.priority != Priority::Normal {
        request = request.insert_header(("balsam-priority", variant_name(&outgoing.priority)));
    }
    if let Some(ticket) = outgoing.ticket {
        request = request.insert_header(("balsam-ticket", ticket));
        if let Some(service) = &options.service {
            request = request.insert_header(("balsam-service", service.as_str()));
        }
    }
    let mut response = request.send_body(body(number)).await.ok()?;
    let bytes = response.body().limit(MAX_ANSWER_BYTES).await.ok()?;
    let answer: AnswerBody = serde_json::from_slice(&bytes).ok()?;
    let mismatched = answer
        .results
        .iter()
        .filter(|result| options.is_echo_checked && result.body.query.number != Some(number));
    Some(AnswerSummary {
        outcome: answer.outcome,
        is_coverage_consistent: is_coverage_consistent(&answer),
        answered_count: answer.coverage.answered_count,
        total_count: answer.coverage.total_count,
        mixed_up_count: u32::try_from(mismatched.count()).unwrap_or(u32::MAX),
    })
}

/// Returns whether the counts of an answer match its results and its list of missing services.
fn is_coverage_consistent(answer: &AnswerBody) -> bool {
    let coverage = &answer.coverage;
    let missing_count = coverage.total_count.checked_sub(coverage.answered_count);
    answer.results.len() == coverage.answered_count as usize
        && missing_count.is_some_and(|count| count as usize == coverage.missing.len())
}

/// Calls a target directly and returns whether it executed the call.
pub async fn call_direct(
    client: Client,
    address: SocketAddr,
    timeout: Duration,
    number: u64,
) -> bool {
    let request = client
        .post(format!("http://{address}/v1/call"))
        .timeout(timeout)
        .insert_header(("balsam-call-id", format!("load:0:{number}")))
        .insert_header(("balsam-idempotent", "true"))
        .insert_header(("balsam-timeout-ms", timeout.as_millis().to_string()));
    let Ok(mut response) = request.send_body(body(number)).await else {
        return false;
    };
    let status = response.headers().get("balsam-status");
    let is_done = status.is_some_and(|status| status == "done");
    is_done && response.body().await.is_ok()
}

/// Fetches tickets from an instance; returns none if it refuses or does not answer.
pub async fn fetch_tickets(client: Client, address: SocketAddr, count: u32) -> Vec<String> {
    let url = format!("http://{address}/v1/tickets?count={count}");
    let request = client.post(url).timeout(READ_TIMEOUT);
    let Ok(mut response) = request.send().await else {
        return Vec::new();
    };
    match response.json::<TicketsBody>().await {
        Ok(body) => body.tickets,
        Err(_) => Vec::new(),
    }
}

/// Reads an instance's call counters from its metrics.
pub async fn read_counters(client: Client, address: SocketAddr) -> Option<CallCounters> {
    let request = client.get(format!("http://{address}/metrics"));
    let mut response = request.timeout(READ_TIMEOUT).send().await.ok()?;
    let text = response.body().limit(MAX_ANSWER_BYTES).await.ok()?;
    Some(prometheus::parse_counters(std::str::from_utf8(&text).ok()?))
}

fn body(number: u64) -> Bytes {
    format!("{{\"number\":{number}}}").into()
}
