//! The callers' HTTP port: queries and tickets.

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
    http::{self, CloseSignal, ConnectionTracker},
    shell::{CallerGone, CallerRequest, IssueTickets, Shell},
};

const REQUEST_ID_HEADER: &str = "balsam-request-id";
const TIMEOUT_HEADER: &str = "balsam-timeout-ms";
const PRIORITY_HEADER: &str = "balsam-priority";
const SERVICE_HEADER: &str = "balsam-service";
const TICKET_HEADER: &str = "balsam-ticket";
const KIND_HEADER: &str = "balsam-kind";
const HEADER_PREFIX: &str = "balsam-";
const KNOWN_HEADERS: [&str; 6] = [
    REQUEST_ID_HEADER,
    TIMEOUT_HEADER,
    PRIORITY_HEADER,
    SERVICE_HEADER,
    TICKET_HEADER,
    KIND_HEADER,
];

/// Upper limit of the timeout header.
const TIMEOUT_MAX_MS: u64 = 3_600_000;

/// Upper limit of the number of tickets per request.
const TICKETS_MAX_COUNT: u32 = 1000;

#[derive(Clone)]
struct AppState {
    shell: Addr<Shell>,
    body_max_bytes: usize,
    is_draining: Arc<AtomicBool>,
}

/// Opens the callers' port and serves it until the close signal.
///
/// # Errors
///
/// Returns an error if the port cannot be opened.
pub async fn spawn(
    shell: Addr<Shell>,
    address: SocketAddr,
    limits: &settings::Query,
    is_draining: Arc<AtomicBool>,
    close_signal: CloseSignal,
    connections: ConnectionTracker,
) -> Result<(), StartError> {
    let app_state = AppState {
        shell,
        body_max_bytes: limits.body_max_bytes as usize,
        is_draining,
    };
    let listener = http::bind("callers", address).await?;
    let app = App::new()
        .app_data(web::PayloadConfig::new(app_state.body_max_bytes))
        .app_data(web::Data::new(app_state))
        .route("/v1/fronts/{front}/query", web::post().to(query))
        .route("/v1/tickets", web::post().to(issue_tickets));
    http::serve(
        listener,
        map_config(app, |()| AppConfig::default()),
        close_signal,
        connections,
    )
    .await;
    Ok(())
}

async fn query(
    app_state: web::Data<AppState>,
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
    let mut guard = CallerGuard::new(app_state.shell.clone());
    let request = CallerRequest {
        front: front.into_inner(),
        headers,
        body,
        reply,
        key: guard.key(),
    };
    app_state.shell.do_send(request);
    let answer = answer.await;
    guard.disarm();
    let response = match answer {
        Ok(answer) => build_response(&answer),
        Err(_) => HttpResponse::InternalServerError().body("the instance has stopped\n"),
    };
    close_if_draining(&app_state, response)
}

/// Closes the connection after this response while the instance drains its callers, so that the
/// caller's next request goes to another instance.
fn close_if_draining(app_state: &AppState, mut response: HttpResponse) -> HttpResponse {
    if app_state.is_draining.load(Ordering::Relaxed) {
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
    }
    response
}

/// Reports [`CallerGone`] when dropped, unless it was disarmed: the server drops the future of a
/// request whose connection has closed.
pub struct CallerGuard {
    shell: Addr<Shell>,
    key: Arc<OnceLock<CallerKey>>,
    is_answered: bool,
}

impl CallerGuard {
    /// Returns an armed guard for a request that is about to be sent to the shell.
    pub fn new(shell: Addr<Shell>) -> CallerGuard {
        CallerGuard {
            shell,
            key: Arc::default(),
            is_answered: false,
        }
    }

    /// Returns the cell that the shell sets to the caller's key.
    pub fn key(&self) -> Arc<OnceLock<CallerKey>> {
        self.key.clone()
    }

    /// Disarms the guard, once the shell has answered.
    pub fn disarm(&mut self) {
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
    #[serde(default = "default_tickets_count")]
    count: u32,
}

#[derive(Serialize)]
struct TicketsBody {
    tickets: Vec<String>,
}

fn default_tickets_count() -> u32 {
    1
}

async fn issue_tickets(
    app_state: web::Data<AppState>,
    query: web::Query<TicketsQuery>,
) -> HttpResponse {
    let count = query.count;
    if !(1..=TICKETS_MAX_COUNT).contains(&count) {
        let mut findings = Findings::default();
        let message = format!("expected a whole number from 1 to {TICKETS_MAX_COUNT}");
        findings.add("count", message);
        return HttpResponse::BadRequest().json(findings);
    }
    let (reply, tickets) = oneshot::channel();
    app_state.shell.do_send(IssueTickets { count, reply });
    let response = match tickets.await {
        Ok(tickets) if !tickets.is_empty() => HttpResponse::Ok().json(TicketsBody { tickets }),
        _ => HttpResponse::ServiceUnavailable().body("no tickets: the instance is shutting down\n"),
    };
    close_if_draining(&app_state, response)
}

/// Request parameters from the `balsam-` headers.
#[derive(Clone, Debug)]
pub struct Headers {
    /// Identifier that the answer repeats; empty if the header is absent.
    pub request_id: String,
    /// Time limit for the answer.
    pub timeout: Duration,
    /// Priority in admission and load shedding; normal if the header is absent.
    pub priority: Priority,
    /// The only service to query; absent to query all services of the front.
    pub service: Option<String>,
    /// Ticket of a request that runs at most once; absent for an idempotent request.
    pub ticket: Option<String>,
}

/// Parses the `balsam-` headers; returns `None` with a finding if priority or timeout is invalid.
/// Other findings do not keep it from returning a value.
fn read_headers(headers: &HeaderMap, findings: &mut Findings) -> Option<Headers> {
    report_unknown(headers, findings);
    let request_id = header_text(headers, REQUEST_ID_HEADER, findings).unwrap_or_default();
    let service = header_text(headers, SERVICE_HEADER, findings);
    let ticket = header_text(headers, TICKET_HEADER, findings);
    check_kind(
        header_text(headers, KIND_HEADER, findings),
        ticket.is_some(),
        findings,
    );
    let priority = match header_text(headers, PRIORITY_HEADER, findings) {
        None => Priority::Normal,
        Some(word) => match word {
            "urgent" => Priority::Urgent,
            "normal" => Priority::Normal,
            "deferrable" => Priority::Deferrable,
            _ => {
                findings.add(PRIORITY_HEADER, "expected urgent, normal or deferrable");
                return None;
            }
        },
    };
    let timeout_ms =
        header_text(headers, TIMEOUT_HEADER, findings).and_then(|text| text.parse().ok());
    let Some(timeout_ms) = timeout_ms.filter(|ms| (1..=TIMEOUT_MAX_MS).contains(ms)) else {
        findings.add(
            TIMEOUT_HEADER,
            format!("expected a whole number from 1 to {TIMEOUT_MAX_MS}"),
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

/// Checks the kind that the caller declares against the ticket: `once` needs one, `idempotent` must
/// have none. The ticket decides if no kind is declared.
fn check_kind(kind: Option<&str>, has_ticket: bool, findings: &mut Findings) {
    let message = match (kind, has_ticket) {
        (None, _) | (Some("once"), true) | (Some("idempotent"), false) => return,
        (Some("once"), false) => {
            "a request that runs once needs a balsam-ticket, see POST /v1/tickets"
        }
        (Some("idempotent"), true) => "an idempotent request needs no ticket",
        (Some(_), _) => "expected once or idempotent",
    };
    findings.add(KIND_HEADER, message);
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

fn header_text<'a>(headers: &'a HeaderMap, name: &str, findings: &mut Findings) -> Option<&'a str> {
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

fn build_response(answer: &Answer) -> HttpResponse {
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
        message: reason_text(&answer.outcome),
        snapshot: answer.snapshot,
        coverage: &answer.coverage,
        results: results.collect(),
    };
    HttpResponse::build(status_code(&answer.outcome)).json(body)
}

fn reason_text(outcome: &Outcome) -> Option<String> {
    match outcome {
        Outcome::Ran => None,
        Outcome::NotRun(reason) => Some(reason.to_string()),
        Outcome::Unknown(reason) => Some(reason.to_string()),
    }
}

fn status_code(outcome: &Outcome) -> StatusCode {
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
            NotRunReason::Unauthenticated => StatusCode::UNAUTHORIZED,
            NotRunReason::OverCap => StatusCode::TOO_MANY_REQUESTS,
            NotRunReason::NoConfiguration
            | NotRunReason::Overloaded
            | NotRunReason::NoTarget
            | NotRunReason::Declined
            | NotRunReason::Leaving
            | NotRunReason::CutOff
            | NotRunReason::RateLimited => StatusCode::SERVICE_UNAVAILABLE,
        },
    }
}

#[cfg(test)]
mod tests;
