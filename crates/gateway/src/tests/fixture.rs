//! Simulation of a gateway with its targets and callers on a virtual clock.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use model::{
    AttemptCall, AttemptKey, AttemptReply, CallFailure, CallerKey, Configuration, Destination,
    Effect, ExchangeKey, FrontEntry, HttpRequest, HttpResponse, Message, Registration, ReplyStatus,
    ServiceEntry, SlotLoad, StoreRecord, TargetReport, Timer,
};
use slotmap::SlotMap;

use crate::{
    Gateway, new_state, on_attempt_failure, on_attempt_reply, on_caller_gone, on_exchange_timer,
    on_request, tick,
};

/// Simulated result of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum CallResult {
    /// The target executes the request and replies with this body.
    Done(Vec<u8>),
    /// The target replies with this status and no body.
    Status(ReplyStatus),
    /// The same, and states something about itself.
    Stated(ReplyStatus, TargetReport),
    /// The attempt fails without a reply.
    Failure(CallFailure),
    /// The attempt gets no reply and stays in flight until the gateway drops it.
    NoReply,
}

/// A scheduled event.
#[derive(Clone, Debug)]
enum Event {
    Timer(Timer),
    End(AttemptKey, CallResult),
}

/// An attempt that the gateway has started.
#[derive(Clone, Debug)]
pub(crate) struct ObservedAttempt {
    /// Time since the start of the simulation.
    pub at_ms: u64,
    /// Identifier of the target.
    pub target: String,
}

/// A gateway with simulated targets and callers.
///
/// `call_result` returns the duration of an attempt in milliseconds and its result, given the
/// attempt and the time since the start in milliseconds.
pub(crate) struct Simulation<F> {
    pub gateway: Gateway,
    pub start: Instant,
    pub now: Instant,
    pub call_result: F,
    pub callers: SlotMap<CallerKey, u64>,
    /// Responses by caller, with the time since the start in milliseconds.
    pub responses: HashMap<CallerKey, (u64, HttpResponse)>,
    pub attempts: Vec<ObservedAttempt>,
    pub dropped_attempts: Vec<AttemptKey>,
    /// Messages sent to other instances, oldest first.
    pub peer_messages: Vec<Message>,
    events: BTreeMap<(Instant, u64), Event>,
    last_number: u64,
}

/// The only front of a simulation, and the targets of its services.
#[derive(Clone, Debug)]
pub(crate) struct FrontSpec {
    pub services: Vec<String>,
    pub targets_per_service: u16,
    pub goal_ms: u64,
    pub timeout_ms: u64,
    pub least_ratio: f64,
    pub is_idempotent: bool,
    pub attempts_max_count: u32,
    /// Whether the front gathers; otherwise it splits with equal weights.
    pub is_gathering: bool,
}

/// Returns the exchange that waits for the reply to a relayed query.
pub(crate) fn relayed_exchange(gateway: &Gateway, number: u64) -> Option<ExchangeKey> {
    pending::accept(&gateway.relays, None, number).copied()
}

/// Returns a front that gathers from a number of services with two targets each.
pub(crate) fn gathering_front(services_count: usize) -> FrontSpec {
    FrontSpec {
        services: (0..services_count).map(|n| format!("shard-{n}")).collect(),
        targets_per_service: 2,
        goal_ms: 100,
        timeout_ms: 500,
        least_ratio: 0.75,
        is_idempotent: true,
        attempts_max_count: 2,
        is_gathering: true,
    }
}

/// Returns a front that sends all requests to one service with two targets.
pub(crate) fn single_service_front(is_idempotent: bool) -> FrontSpec {
    FrontSpec {
        is_idempotent,
        is_gathering: false,
        ..gathering_front(1)
    }
}

/// Returns the store records of a front: its configuration, and its targets `SERVICE/a`, `SERVICE/b`
/// and so on.
pub(crate) fn records(front: &FrontSpec) -> Vec<StoreRecord> {
    let destination = match front.is_gathering {
        true => Destination::Gather {
            services: front.services.clone(),
            records_count: 3,
            least_ratio: front.least_ratio,
        },
        false => Destination::Split(front.services.iter().map(|s| (s.clone(), 1.0)).collect()),
    };
    let mut records = vec![StoreRecord::Configuration(Configuration {
        organisations: Vec::new(),
        version: 1,
        fronts: vec![FrontEntry {
            is_public: false,
            name: "search".to_owned(),
            host: "parts.example".to_owned(),
            prefix: "/".to_owned(),
            is_idempotent: front.is_idempotent,
            timeout: Duration::from_millis(front.timeout_ms),
            goal: Some(Duration::from_millis(front.goal_ms)),
            rank: 1,
            attempts_max_count: front.attempts_max_count,
            destination,
        }],
        services: front
            .services
            .iter()
            .map(|name| ServiceEntry {
                name: name.clone(),
                connections_max_count: 26,
                cold_max_per_s: 0.0,
            })
            .collect(),
    })];
    for (index, service) in front.services.iter().enumerate() {
        for number in 0..front.targets_per_service {
            let letter = char::from(b'a' + number as u8);
            records.push(StoreRecord::Target {
                target_id: format!("{service}/{letter}"),
                registration: Some(registration(service, index as u16, number)),
            });
        }
    }
    records
}

/// Returns the registration of a target with two slots that is neither cold nor draining.
pub(crate) fn registration(service: &str, index: u16, number: u16) -> Registration {
    Registration {
        service: service.to_owned(),
        address: ([10, 0, number as u8, 1], 1000 + index).into(),
        zone: "kranj".to_owned(),
        slots_count: 2,
        is_draining: false,
        cold_for: Duration::ZERO,
        born_ms: 1,
    }
}

/// Returns gateway settings with a retry budget of 20% and 60 calls.
pub(crate) fn settings() -> settings::Gateway {
    settings::Gateway {
        retry_ratio: 0.2,
        retry_constant_count: 60,
        cold_constant_count: 5,
        ..settings::Gateway::default()
    }
}

/// Returns a simulation whose gateway knows its configuration and targets, and has no other
/// instances to share limits with.
pub(crate) fn simulation<F>(front: &FrontSpec, call_result: F) -> Simulation<F>
where
    F: FnMut(&AttemptCall, u64) -> (u64, CallResult),
{
    let start = Instant::now();
    let mut gateway = new_state(&settings(), 1);
    gateway.sync.targets.is_known = true;
    gateway.share_ratio = Some(1.0);
    for record in records(front) {
        catalog::apply(&mut gateway.catalog, start, &record);
    }
    Simulation {
        gateway,
        start,
        now: start,
        call_result,
        callers: SlotMap::with_key(),
        responses: HashMap::new(),
        attempts: Vec::new(),
        dropped_attempts: Vec::new(),
        peer_messages: Vec::new(),
        events: BTreeMap::new(),
        last_number: 0,
    }
}

impl<F> Simulation<F>
where
    F: FnMut(&AttemptCall, u64) -> (u64, CallResult),
{
    /// Sends a request from a new caller.
    pub(crate) fn send_request(&mut self) -> CallerKey {
        self.send_request_to("/x")
    }

    /// Sends a request for a path from a new caller.
    pub(crate) fn send_request_to(&mut self, path: &str) -> CallerKey {
        self.last_number += 1;
        let caller = self.callers.insert(self.last_number);
        let request = HttpRequest {
            request_id: format!("r{}", self.last_number),
            method: "GET".to_owned(),
            host: "parts.example".to_owned(),
            path: path.to_owned(),
            ..HttpRequest::default()
        };
        let mut out = Vec::new();
        on_request(
            &mut self.gateway,
            self.now,
            caller,
            Arc::new(request),
            &mut out,
        );
        self.apply_effects(out);
        caller
    }

    /// Disconnects a caller.
    pub(crate) fn disconnect(&mut self, caller: CallerKey) {
        let mut out = Vec::new();
        on_caller_gone(&mut self.gateway, self.now, caller, &mut out);
        self.apply_effects(out);
    }

    /// Runs the gateway's periodic work.
    pub(crate) fn tick(&mut self) {
        let mut out = Vec::new();
        tick(&mut self.gateway, self.now, &mut out);
        self.apply_effects(out);
    }

    /// Advances the clock by `ms` and handles the events that fall due.
    pub(crate) fn advance(&mut self, ms: u64) {
        let end = self.now + Duration::from_millis(ms);
        while let Some(entry) = self.events.first_entry() {
            let (at, _) = *entry.key();
            if at > end {
                break;
            }
            let event = entry.remove();
            self.now = self.now.max(at);
            self.on_event(event);
        }
        self.now = end;
    }

    /// Returns a caller's response with the time since the start in milliseconds.
    pub(crate) fn response(&self, caller: CallerKey) -> Option<&(u64, HttpResponse)> {
        self.responses.get(&caller)
    }

    /// Returns the time since the start in milliseconds.
    pub(crate) fn at_ms(&self) -> u64 {
        (self.now - self.start).as_millis() as u64
    }

    /// Applies effects of the gateway to the simulation.
    pub(crate) fn apply_effects(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Attempt(call) => {
                    let at_ms = self.at_ms();
                    self.attempts.push(ObservedAttempt {
                        at_ms,
                        target: call.target_id.to_string(),
                    });
                    let (after_ms, result) = (self.call_result)(&call, at_ms);
                    let after = Duration::from_millis(after_ms);
                    self.schedule(after, Event::End(call.attempt, result));
                }
                Effect::SetTimer { timer, after } => self.schedule(after, Event::Timer(timer)),
                Effect::Respond { caller, response } => {
                    let before = self.responses.insert(caller, (self.at_ms(), *response));
                    assert!(before.is_none(), "caller has got a second response");
                }
                Effect::DropAttempt { attempt, .. } => self.dropped_attempts.push(attempt),
                Effect::Send { message, .. } => self.peer_messages.push(message),
                _ => {}
            }
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.last_number += 1;
        self.events
            .insert((self.now + after, self.last_number), event);
    }

    fn on_event(&mut self, event: Event) {
        let (gateway, now) = (&mut self.gateway, self.now);
        let mut out = Vec::new();
        match event {
            Event::Timer(Timer::Exchange(key)) => on_exchange_timer(gateway, now, key, &mut out),
            Event::Timer(_) => {}
            Event::End(attempt, _) if self.dropped_attempts.contains(&attempt) => {}
            Event::End(attempt, CallResult::Done(body)) => {
                let reply = reply(ReplyStatus::Done, 200, body);
                on_attempt_reply(gateway, now, attempt, &reply, &mut out);
            }
            Event::End(attempt, CallResult::Status(status)) => {
                let reply = reply(status, status_code(status), Vec::new());
                on_attempt_reply(gateway, now, attempt, &reply, &mut out);
            }
            Event::End(attempt, CallResult::Stated(status, report)) => {
                let reply = AttemptReply {
                    report,
                    ..reply(status, status_code(status), Vec::new())
                };
                on_attempt_reply(gateway, now, attempt, &reply, &mut out);
            }
            Event::End(attempt, CallResult::Failure(failure)) => {
                on_attempt_failure(gateway, now, attempt, failure, &mut out);
            }
            Event::End(_, CallResult::NoReply) => {}
        }
        self.apply_effects(out);
    }
}

fn status_code(status: ReplyStatus) -> u16 {
    match status {
        ReplyStatus::Done => 200,
        ReplyStatus::Failed => 500,
        _ => 503,
    }
}

fn reply(status: ReplyStatus, code: u16, body: Vec<u8>) -> AttemptReply<'static> {
    AttemptReply {
        status,
        code,
        proof: Some("proof"),
        headers: Vec::new().into(),
        body: Bytes::from(body),
        report: TargetReport {
            load: Some(SlotLoad {
                running_count: 1,
                waiting_count: 0,
                slots_count: 2,
                work_percent: None,
            }),
            ..TargetReport::default()
        },
    }
}

/// Returns a record with the given first byte; the others are zero.
pub(crate) fn record(first: u8) -> Vec<u8> {
    let mut record = vec![0; 16];
    record[0] = first;
    record
}
