//! The HTTP requests that callers send to instances and targets.

use std::{net::SocketAddr, time::Duration};

use awc::Client;
use model::{NotRunReason, Outcome, ReplyStatus, UnknownReason, variant_from_name};
use serde_json::Value;

use crate::caller::Event;

/// Timeout that a caller states for an order, in milliseconds.
pub const ORDER_TIMEOUT_MS: &str = "1000";
/// Time after which a caller stops waiting for a reply and drops its connection.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1500);

/// Fetches one ticket from an instance.
pub async fn fetch_ticket(client: &Client, instance: SocketAddr) -> Event {
    let url = format!("http://{instance}/v1/tickets?count=1");
    let Ok(mut response) = client.post(url).timeout(REPLY_TIMEOUT).send().await else {
        return Event::Ticket(None);
    };
    let Ok(body) = response.json::<Value>().await else {
        return Event::Ticket(None);
    };
    let ticket = body["tickets"][0].as_str();
    Event::Ticket(ticket.map(str::to_owned))
}

/// Sends an order with its ticket to an instance.
pub async fn send_to_instance(
    client: &Client,
    instance: SocketAddr,
    ticket: &str,
    priority: &str,
    body: &str,
) -> Event {
    let request = client
        .post(format!("http://{instance}/v1/fronts/parts/query"))
        .timeout(REPLY_TIMEOUT)
        .insert_header(("balsam-timeout-ms", ORDER_TIMEOUT_MS))
        .insert_header(("balsam-priority", priority))
        .insert_header(("balsam-ticket", ticket));
    let Ok(mut response) = request.send_body(body.to_owned()).await else {
        return Event::NoReply;
    };
    let Ok(answer) = response.json::<Value>().await else {
        return Event::NoReply;
    };
    match serde_json::from_value(answer["outcome"].clone()) {
        Ok(outcome) => Event::Answered(outcome),
        Err(_) => Event::NoReply,
    }
}

/// Sends an order directly to a target, without a ticket.
pub async fn send_to_target(
    client: &Client,
    target: SocketAddr,
    call_id: &str,
    body: &str,
) -> Event {
    let request = client
        .post(format!("http://{target}/v1/call"))
        .timeout(REPLY_TIMEOUT)
        .insert_header(("balsam-call-id", call_id))
        .insert_header(("balsam-request-id", call_id))
        .insert_header(("balsam-timeout-ms", ORDER_TIMEOUT_MS))
        .insert_header(("balsam-idempotent", "false"));
    let Ok(response) = request.send_body(body.to_owned()).await else {
        return Event::NoReply;
    };
    let status = response.headers().get("balsam-status");
    let status = status.and_then(|word| variant_from_name(word.to_str().ok()?));
    Event::Answered(match status {
        Some(ReplyStatus::Done | ReplyStatus::Failed) => Outcome::Ran,
        Some(status) if status.is_confirmed_unexecuted() => Outcome::NotRun(NotRunReason::Declined),
        _ => Outcome::Unknown(UnknownReason::ConnectionLost),
    })
}
