//! `balsamctl query`: one request and its answer.

use std::{net::SocketAddr, time::Duration};

use awc::Client;
use comfy_table::{Table, presets::UTF8_FULL_CONDENSED};
use serde_json::Value;

use crate::{
    client::{REPLY_TIMEOUT, exchange, parse},
    error::CommandError,
    exit::Exit,
};

/// A request.
#[derive(Clone, Debug)]
pub struct Query {
    /// Callers' port of an instance.
    pub instance: SocketAddr,
    /// Timeout in milliseconds.
    pub timeout_ms: u64,
    /// Importance under overload.
    pub priority: String,
    /// The only service to ask.
    pub service: Option<String>,
    /// Run at most once, under a ticket fetched first.
    pub is_once: bool,
    /// Name of the front.
    pub front: String,
    /// The query, a JSON document.
    pub body: String,
}

/// Sends a request and shows its answer.
///
/// # Errors
///
/// Returns an error if there is no answer.
pub async fn run(query: &Query, is_json: bool) -> Result<Exit, CommandError> {
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
        request = request.insert_header(("balsam-ticket", ticket(&client, query).await?));
    }
    let timeout = Duration::from_millis(query.timeout_ms) + REPLY_TIMEOUT;
    let reply = exchange(request, &url, query.body.clone(), timeout).await?;
    let answer = parse(&url, &reply.body)?;
    if is_json {
        println!("{answer:#}");
    } else {
        println!("{}", render(&answer));
    }
    Ok(exit(&answer))
}

/// Fetches one ticket.
async fn ticket(client: &Client, query: &Query) -> Result<String, CommandError> {
    let url = format!("http://{}/v1/tickets?count=1", query.instance);
    let reply = exchange(client.post(&url), &url, String::new(), REPLY_TIMEOUT).await?;
    let refused = || CommandError::Refused(url.clone(), reply.status, reply.body.clone());
    if reply.status != 200 {
        return Err(refused());
    }
    let tickets = parse(&url, &reply.body)?;
    let ticket = tickets["tickets"][0].as_str();
    ticket.map(str::to_owned).ok_or_else(refused)
}

/// Says by an exit code what an answer says.
pub(crate) fn exit(answer: &Value) -> Exit {
    let coverage = &answer["coverage"];
    match answer["outcome"]["state"].as_str() {
        Some("ran") if coverage["answered_count"] == coverage["total_count"] => Exit::Success,
        Some("ran") => Exit::Partial,
        Some("unknown") => Exit::Unknown,
        Some(_) => Exit::NotReady,
        None => Exit::Findings,
    }
}

/// Returns an answer as text.
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
    for result in rows(&answer["results"]) {
        table.add_row([text_of(&result["service"]), result["body"].to_string()]);
    }
    for missing in rows(&coverage["missing"]) {
        let reason = format!("missing: {}", text_of(&missing["reason"]));
        table.add_row([text_of(&missing["service"]), reason]);
    }
    format!("{text}\n{table}")
}

fn rows(list: &Value) -> impl Iterator<Item = &Value> {
    list.as_array().into_iter().flatten()
}

fn text_of(value: &Value) -> String {
    value.as_str().unwrap_or("-").to_owned()
}
