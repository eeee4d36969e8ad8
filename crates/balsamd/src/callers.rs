//! The callers' HTTP port.

use std::{
    net::SocketAddr,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use actix::Addr;
use actix_service::map_config;
use actix_web::{
    App, HttpRequest, HttpResponse,
    dev::AppConfig,
    http::{ConnectionType, StatusCode, header::HeaderMap},
    web,
};
use bytes::Bytes;
use findings::Findings;
use model::{Answer, CallerKey, NotRunReason, Outcome, Priority};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use tokio::sync::oneshot;

use crate::{
    error::StartError,
    http::{self, Closing},
    shell::{CallerGone, CallerRequest, Shell, TicketsWanted},
};

const REQUEST_ID: &str = "balsam-request-id";
const TIMEOUT: &str = "balsam-timeout-ms";
const PRIORITY: &str = "balsam-priority";
const SERVICE: &str = "balsam-service";
const TICKET: &str = "balsam-ticket";
const KIND: &str = "balsam-kind";
const HEADER_PREFIX: &str = "balsam-";
const KNOWN_HEADERS: [&str; 6] = [REQUEST_ID, TIMEOUT, PRIORITY, SERVICE, TICKET, KIND];

/// Longest timeout that a header can state.
const MAX_TIMEOUT_MS: u64 = 3_600_000;

/// Most tickets that one request can ask for.
const TICKETS_MAX_COUNT: u32 = 1000;

#[derive(Clone)]
struct Context {
    shell: Addr<Shell>,
    body_max_bytes: usize,
    turns_away: Arc<AtomicBool>,
}

/// Serves the callers' port until the process ends.
///
/// # Errors
///
/// Returns an error if the port cannot be opened.
pub async fn spawn(
    shell: Addr<Shell>,
    address: SocketAddr,
    limits: &settings::Query,
    turns_away: Arc<AtomicBool>,
    closing: Closing,
) -> Result<(), StartError> {
    let context = Context {
        shell,
        body_max_bytes: limits.body_max_bytes as usize,
        turns_away,
    };
    let listener = http::bind("callers", address).await?;
    let app = App::new()
        .app_data(web::PayloadConfig::new(context.body_max_bytes))
        .app_data(web::Data::new(context))
        .route("/v1/fronts/{front}/query", web::post().to(query))
        .route("/v1/tickets", web::post().to(tickets));
    http::serve(
        listener,
        map_config(app, |()| AppConfig::default()),
        closing,
    )
    .await;
    Ok(())
}

async fn query(
    context: web::Data<Context>,
    request: HttpRequest,
    front: web::Path<String>,
    body: Bytes,
) -> HttpResponse {
    let mut findings = Findings::default();
    let headers = read_headers(request.headers(), &mut findings);
    if let Err(error) = serde_json::from_slice::<&RawValue>(&body) {
        findings.add("body", format!("not a JSON document: {error}"));
    }
    let Some(headers) = headers.filter(|_| findings.is_empty()) else {
        return HttpResponse::BadRequest().json(findings);
    };
    let (reply, answer) = oneshot::channel();
    let mut guard = CallerGuard::new(context.shell.clone());
    let request = CallerRequest {
        front: front.into_inner(),
        headers,
        body,
        reply,
        key: guard.key(),
    };
    context.shell.do_send(request);
    let answer = answer.await;
    guard.answered();
    let response = match answer {
        Ok(answer) => respond(&answer),
        Err(_) => HttpResponse::InternalServerError().body("the instance has stopped\n"),
    };
    close_if_leaving(&context, response)
}

/// Closes the connection after its response if the instance shuts down, so that the caller's next
/// request goes to another instance.
fn close_if_leaving(context: &Context, mut response: HttpResponse) -> HttpResponse {
    if context.turns_away.load(Ordering::Relaxed) {
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
    }
    response
}

/// Reports a caller as gone if its request is dropped before the answer.
pub struct CallerGuard {
    shell: Addr<Shell>,
    key: Arc<OnceLock<CallerKey>>,
    is_answered: bool,
}

impl CallerGuard {
    /// Returns a guard of a request that is handed to the shell.
    pub fn new(shell: Addr<Shell>) -> CallerGuard {
        CallerGuard {
            shell,
            key: Arc::default(),
            is_answered: false,
        }
    }

    /// Returns the cell that receives the key of the caller.
    pub fn key(&self) -> Arc<OnceLock<CallerKey>> {
        self.key.clone()
    }

    /// Notes that the shell has answered.
    pub fn answered(&mut self) {
        self.is_answered = true;
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if !self.is_answered {
            self.shell.do_send(CallerGone(self.key.clone()));
        }
    }
}

#[derive(Deserialize)]
struct TicketsQuery {
    #[serde(default = "one")]
    count: u32,
}

#[derive(Serialize)]
struct TicketsBody {
    tickets: Vec<String>,
}

fn one() -> u32 {
    1
}

async fn tickets(context: web::Data<Context>, wanted: web::Query<TicketsQuery>) -> HttpResponse {
    let count = wanted.count;
    if !(1..=TICKETS_MAX_COUNT).contains(&count) {
        let mut findings = Findings::default();
        let message = format!("expected a whole number from 1 to {TICKETS_MAX_COUNT}");
        findings.add("count", message);
        return HttpResponse::BadRequest().json(findings);
    }
    let (reply, tickets) = oneshot::channel();
    context.shell.do_send(TicketsWanted { count, reply });
    let response = match tickets.await {
        Ok(tickets) if !tickets.is_empty() => HttpResponse::Ok().json(TicketsBody { tickets }),
        _ => HttpResponse::ServiceUnavailable().body("no tickets: the instance is shutting down\n"),
    };
    close_if_leaving(&context, response)
}

/// The parameters of a request that its headers carry.
#[derive(Clone, Debug)]
pub struct Headers {
    /// Identifier that the answer repeats.
    pub request_id: String,
    /// Time that the caller is willing to wait.
    pub timeout: Duration,
    /// Importance under overload.
    pub priority: Priority,
    /// The only service to ask.
    pub service: Option<String>,
    /// Ticket of a request that runs at most once.
    pub ticket: Option<String>,
}

fn read_headers(headers: &HeaderMap, findings: &mut Findings) -> Option<Headers> {
    report_unknown(headers, findings);
    let request_id = text(headers, REQUEST_ID, findings).unwrap_or_default();
    let service = text(headers, SERVICE, findings);
    let ticket = text(headers, TICKET, findings);
    check_kind(text(headers, KIND, findings), ticket.is_some(), findings);
    let priority = match text(headers, PRIORITY, findings) {
        None => Priority::Normal,
        Some(word) => match word {
            "urgent" => Priority::Urgent,
            "normal" => Priority::Normal,
            "deferrable" => Priority::Deferrable,
            _ => {
                findings.add(PRIORITY, "expected urgent, normal or deferrable");
                return None;
            }
        },
    };
    let timeout_ms = text(headers, TIMEOUT, findings).and_then(|text| text.parse().ok());
    let Some(timeout_ms) = timeout_ms.filter(|ms| (1..=MAX_TIMEOUT_MS).contains(ms)) else {
        findings.add(
            TIMEOUT,
            format!("expected a whole number from 1 to {MAX_TIMEOUT_MS}"),
        );
        return None;
    };
    Some(Headers {
        request_id: request_id.to_owned(),
        timeout: Duration::from_millis(timeout_ms),
        priority,
        service: service.map(str::to_owned),
        ticket: ticket.map(str::to_owned),
    })
}

/// Checks that a request that its caller declares to run once has a ticket, and a read has none.
fn check_kind(kind: Option<&str>, has_ticket: bool, findings: &mut Findings) {
    let message = match (kind, has_ticket) {
        (None, _) | (Some("once"), true) | (Some("idempotent"), false) => return,
        (Some("once"), false) => {
            "a request that runs once needs a balsam-ticket, see POST /v1/tickets"
        }
        (Some("idempotent"), true) => "an idempotent request needs no ticket",
        (Some(_), _) => "expected once or idempotent",
    };
    findings.add(KIND, message);
}

fn report_unknown(headers: &HeaderMap, findings: &mut Findings) {
    for name in headers.keys() {
        let name = name.as_str();
        if name.starts_with(HEADER_PREFIX) && !KNOWN_HEADERS.contains(&name) {
            findings.add(name, "unknown header");
        }
        if name.starts_with(HEADER_PREFIX) && headers.get_all(name).count() > 1 {
            findings.add(name, "the header is given more than once");
        }
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str, findings: &mut Findings) -> Option<&'a str> {
    let value = headers.get(name)?;
    let Ok(text) = value.to_str() else {
        findings.add(name, "not a visible ASCII text");
        return None;
    };
    Some(text)
}

#[derive(Serialize)]
struct AnswerBody<'a> {
    request_id: &'a str,
    outcome: &'a Outcome,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<String>,
    snapshot: Option<u64>,
    coverage: &'a model::Coverage,
    results: Vec<ResultBody<'a>>,
}

#[derive(Serialize)]
struct ResultBody<'a> {
    service: &'a str,
    body: &'a RawValue,
}

fn respond(answer: &Answer) -> HttpResponse {
    let results = answer.results.iter().filter_map(|result| {
        let body = serde_json::from_slice(&result.body).ok()?;
        Some(ResultBody {
            service: &result.service,
            body,
        })
    });
    let body = AnswerBody {
        request_id: &answer.request_id,
        outcome: &answer.outcome,
        message: message(&answer.outcome),
        snapshot: answer.snapshot,
        coverage: &answer.coverage,
        results: results.collect(),
    };
    HttpResponse::build(status(&answer.outcome)).json(body)
}

fn message(outcome: &Outcome) -> Option<String> {
    match outcome {
        Outcome::Ran => None,
        Outcome::NotRun(reason) => Some(reason.to_string()),
        Outcome::Unknown(reason) => Some(reason.to_string()),
    }
}

fn status(outcome: &Outcome) -> StatusCode {
    match outcome {
        Outcome::Ran => StatusCode::OK,
        Outcome::Unknown(_) => StatusCode::GATEWAY_TIMEOUT,
        Outcome::NotRun(reason) => match reason {
            NotRunReason::UnknownFront | NotRunReason::UnknownService => StatusCode::NOT_FOUND,
            NotRunReason::ServiceRequired
            | NotRunReason::TicketRequired
            | NotRunReason::BadTicket => StatusCode::BAD_REQUEST,
            NotRunReason::TicketExpired => StatusCode::GONE,
            NotRunReason::Quarantined => StatusCode::UNPROCESSABLE_ENTITY,
            NotRunReason::DeadlinePassed => StatusCode::REQUEST_TIMEOUT,
            NotRunReason::NoConfiguration
            | NotRunReason::Overloaded
            | NotRunReason::NoTarget
            | NotRunReason::Declined
            | NotRunReason::Leaving
            | NotRunReason::CutOff => StatusCode::SERVICE_UNAVAILABLE,
        },
    }
}

#[cfg(test)]
mod tests;
