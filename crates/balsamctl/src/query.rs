//! `balsamctl query`: sends a query and shows its answer.

use std::{net::SocketAddr, time::Duration};

use awc::Client;
use comfy_table::{Table, presets::UTF8_FULL_CONDENSED};
use serde_json::Value;

use crate::{
    client::{REPLY_TIMEOUT, parse_json, send_request},
    error::CommandError,
    exit::ExitStatus,
};

/// A query and where to send it.
#[derive(Clone, Debug)]
pub struct Query {
    /// Callers' port of an instance.
    pub instance: SocketAddr,
    /// Timeout in milliseconds.
    pub timeout_ms: u64,
    /// Priority under overload: `urgent`, `normal` or `deferrable`.
    pub priority: String,
    /// The only service that receives the query; all services of the front if absent.
    pub service: Option<String>,
    /// Whether to fetch a ticket and run the query at most once under it.
    pub is_once: bool,
    /// Name of the front.
    pub front: String,
    /// The query, a JSON document.
    pub body: String,
}

/// Sends a query and prints its answer.
///
/// # Errors
///
/// Returns an error if there is no reply, it is not JSON, or no ticket could be fetched.
pub async fn run(query: &Query, is_json: bool) -> Result<ExitStatus, CommandError> {
    let client = Client::default();
    let url = format!("http://{}/v1/fronts/{}/query", query.instance, query.front);
    let mut request = client
        .post(&url)
        .insert_header(("balsam-timeout-ms", query.timeout_ms.to_string()))
        .insert_header(("balsam-priority", query.priority.as_str()));
    if let Some(service) = &query.service {
        request = request.insert_header(("balsam-service", service.as_str()));
    }
    if query.is_once {
        request = request.insert_header(("balsam-ticket", fetch_ticket(&client, query).await?));
    }
    let timeout = Duration::from_millis(query.timeout_ms) + REPLY_TIMEOUT;
    let reply = send_request(request, &url, query.body.clone(), timeout).await?;
    let answer = parse_json(&url, &reply.body)?;
    if is_json {
        println!("{answer:#}");
    } else {
        println!("{}", render(&answer));
    }
    Ok(exit_status(&answer))
}

/// Requests one ticket from the instance that receives the query.
async fn fetch_ticket(client: &Client, query: &Query) -> Result<String, CommandError> {
    let url = format!("http://{}/v1/tickets?count=1", query.instance);
    let reply = send_request(client.post(&url), &url, String::new(), REPLY_TIMEOUT).await?;
    let error = || CommandError::ErrorStatus(url.clone(), reply.status, reply.body.clone());
    if reply.status != 200 {
        return Err(error());
    }
    let tickets = parse_json(&url, &reply.body)?;
    let ticket = tickets["tickets"][0].as_str();
    ticket.map(str::to_owned).ok_or_else(error)
}

/// Returns the exit code for an answer.
pub(crate) fn exit_status(answer: &Value) -> ExitStatus {
    let coverage = &answer["coverage"];
    match answer["outcome"]["state"].as_str() {
        Some("ran") if coverage["answered_count"] == coverage["total_count"] => ExitStatus::Success,
        Some("ran") => ExitStatus::Partial,
        Some("unknown") => ExitStatus::Unknown,
        Some(_) => ExitStatus::NotReady,
        None => ExitStatus::Findings,
    }
}

/// Formats an answer as text; a reply without an outcome, such as an error, stays JSON.
fn render(answer: &Value) -> String {
    let Some(outcome) = answer["outcome"]["state"].as_str() else {
        return format!("{answer:#}");
    };
    let mut text = format!("outcome   {outcome}");
    if let Some(message) = answer["message"].as_str() {
        text.push_str(&format!(": {message}"));
    }
    let coverage = &answer["coverage"];
    text.push_str(&format!("\nsnapshot  {}", answer["snapshot"]));
    text.push_str(&format!(
        "\ncoverage  {} of {} services",
        coverage["answered_count"], coverage["total_count"]
    ));
    let mut table = Table::new();
    table.load_style(UTF8_FULL_CONDENSED);
    table.set_header(["service", "result"]);
    for result in items(&answer["results"]) {
        table.add_row([text_or_dash(&result["service"]), result["body"].to_string()]);
    }
    for missing in items(&coverage["missing"]) {
        let reason = format!("missing: {}", text_or_dash(&missing["reason"]));
        table.add_row([text_or_dash(&missing["service"]), reason]);
    }
    format!("{text}\n{table}")
}

fn items(list: &Value) -> impl Iterator<Item = &Value> {
    list.as_array().into_iter().flatten()
}

fn text_or_dash(value: &Value) -> String {
    value.as_str().unwrap_or("-").to_owned()
}
