//! Gateways, targets and callers on a virtual clock.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use model::{
    AttemptCall, AttemptKey, AttemptReply, CallFailure, CallerKey, Configuration, Destination,
    Effect, FrontEntry, HttpRequest, HttpResponse, Message, Record, Registration, ReplyStatus,
    ServiceEntry, SlotLoad, Timer,
};
use slotmap::SlotMap;

use crate::{Gateway, attempt_failed, attempt_replied, caller_gone, due, offered, open, tick};

/// What becomes of a request at a target.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Fate {
    /// It is executed and answered with this body.
    Done(Vec<u8>),
    /// The target vouches for this.
    Says(ReplyStatus),
    /// It ends without a reply.
    Fails(CallFailure),
    /// Nothing comes.
    Silence,
}

/// Something that will happen.
#[derive(Clone, Debug)]
enum Due {
    Timer(Timer),
    End(AttemptKey, Fate),
}

/// One attempt as its target sees it.
#[derive(Clone, Debug)]
pub(crate) struct Seen {
    /// Time since the start.
    pub at_ms: u64,
    /// Identifier of the target.
    pub target: String,
}

/// A gateway and its surroundings; `fate` says how long a target takes and what becomes of a call.
pub(crate) struct World<F> {
    pub gateway: Gateway,
    pub start: Instant,
    pub now: Instant,
    pub fate: F,
    pub callers: SlotMap<CallerKey, u64>,
    /// Responses by caller, with the time since the start in milliseconds.
    pub responses: HashMap<CallerKey, (u64, HttpResponse)>,
    pub seen: Vec<Seen>,
    pub dropped: Vec<AttemptKey>,
    /// Messages to other instances.
    pub sent: Vec<Message>,
    due: BTreeMap<(Instant, u64), Due>,
    number: u64,
}

/// What is different about the front of a world.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub services: Vec<String>,
    pub targets_per_service: u16,
    pub goal_ms: u64,
    pub timeout_ms: u64,
    pub least_ratio: f64,
    pub is_idempotent: bool,
    pub attempts_max_count: u32,
    /// A front that gathers, or one that splits with equal weights.
    pub is_gathering: bool,
}

/// Returns a front that gathers from so many services of two targets each.
pub(crate) fn plan(services_count: usize) -> Plan {
    Plan {
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

/// Returns a front with one service.
pub(crate) fn single(is_idempotent: bool) -> Plan {
    Plan {
        is_idempotent,
        is_gathering: false,
        ..plan(1)
    }
}

/// The records of a plan: its configuration and its targets, `SERVICE/a`, `SERVICE/b` and so on.
pub(crate) fn records(plan: &Plan) -> Vec<Record> {
    let destination = match plan.is_gathering {
        true => Destination::Gather {
            services: plan.services.clone(),
            records_count: 3,
            least_ratio: plan.least_ratio,
        },
        false => Destination::Split(plan.services.iter().map(|s| (s.clone(), 1.0)).collect()),
    };
    let mut records = vec![Record::Configuration(Configuration {
        version: 1,
        fronts: vec![FrontEntry {
            name: "search".to_owned(),
            host: "parts.example".to_owned(),
            prefix: "/".to_owned(),
            is_idempotent: plan.is_idempotent,
            timeout: Duration::from_millis(plan.timeout_ms),
            goal: Some(Duration::from_millis(plan.goal_ms)),
            rank: 1,
            attempts_max_count: plan.attempts_max_count,
            destination,
        }],
        services: plan
            .services
            .iter()
            .map(|name| ServiceEntry {
                name: name.clone(),
                connections_max_count: 26,
                cold_max_per_s: 0.0,
            })
            .collect(),
    })];
    for (index, service) in plan.services.iter().enumerate() {
        for number in 0..plan.targets_per_service {
            let letter = char::from(b'a' + number as u8);
            records.push(Record::Target {
                target_id: format!("{service}/{letter}"),
                registration: Some(registration(service, index as u16, number)),
            });
        }
    }
    records
}

/// A registration of a target.
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

/// Returns the settings of a gateway.
pub(crate) fn settings() -> settings::Gateway {
    settings::Gateway {
        retry_ratio: 0.2,
        retry_constant_count: 60,
        cold_constant_count: 5,
        ..settings::Gateway::default()
    }
}

/// Returns a world that knows its configuration and its targets.
pub(crate) fn world<F>(plan: &Plan, fate: F) -> World<F>
where
    F: FnMut(&AttemptCall, u64) -> (u64, Fate),
{
    let start = Instant::now();
    let mut gateway = open(&settings(), 1);
    gateway.sync.targets.is_known = true;
    gateway.share_ratio = Some(1.0);
    for record in records(plan) {
        catalog::apply(&mut gateway.catalog, start, &record);
    }
    World {
        gateway,
        start,
        now: start,
        fate,
        callers: SlotMap::with_key(),
        responses: HashMap::new(),
        seen: Vec::new(),
        dropped: Vec::new(),
        sent: Vec::new(),
        due: BTreeMap::new(),
        number: 0,
    }
}

impl<F> World<F>
where
    F: FnMut(&AttemptCall, u64) -> (u64, Fate),
{
    /// Sends a request with a new caller.
    pub(crate) fn ask(&mut self) -> CallerKey {
        self.ask_for("/x")
    }

    /// Sends a request for a path with a new caller.
    pub(crate) fn ask_for(&mut self, path: &str) -> CallerKey {
        self.number += 1;
        let caller = self.callers.insert(self.number);
        let request = HttpRequest {
            request_id: format!("r{}", self.number),
            method: "GET".to_owned(),
            host: "parts.example".to_owned(),
            path: path.to_owned(),
            ..HttpRequest::default()
        };
        let mut out = Vec::new();
        offered(
            &mut self.gateway,
            self.now,
            caller,
            Arc::new(request),
            &mut out,
        );
        self.run(out);
        caller
    }

    /// Lets a caller leave.
    pub(crate) fn leave(&mut self, caller: CallerKey) {
        let mut out = Vec::new();
        caller_gone(&mut self.gateway, self.now, caller, &mut out);
        self.run(out);
    }

    /// Runs the regular work.
    pub(crate) fn tick(&mut self) {
        let mut out = Vec::new();
        tick(&mut self.gateway, self.now, &mut out);
        self.run(out);
    }

    /// Lets time pass; what is due happens.
    pub(crate) fn pass(&mut self, ms: u64) {
        let end = self.now + Duration::from_millis(ms);
        while let Some(entry) = self.due.first_entry() {
            let (at, _) = *entry.key();
            if at > end {
                break;
            }
            let due_now = entry.remove();
            self.now = self.now.max(at);
            self.happen(due_now);
        }
        self.now = end;
    }

    /// Returns a caller's response and its time.
    pub(crate) fn response(&self, caller: CallerKey) -> Option<&(u64, HttpResponse)> {
        self.responses.get(&caller)
    }

    /// Returns the milliseconds since the start.
    pub(crate) fn at_ms(&self) -> u64 {
        (self.now - self.start).as_millis() as u64
    }

    /// Runs effects.
    pub(crate) fn run(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Attempt(call) => {
                    let at_ms = self.at_ms();
                    self.seen.push(Seen {
                        at_ms,
                        target: call.target_id.to_string(),
                    });
                    let (after_ms, fate) = (self.fate)(&call, at_ms);
                    let after = Duration::from_millis(after_ms);
                    self.schedule(after, Due::End(call.attempt, fate));
                }
                Effect::SetTimer { timer, after } => self.schedule(after, Due::Timer(timer)),
                Effect::Respond { caller, response } => {
                    let before = self.responses.insert(caller, (self.at_ms(), *response));
                    assert!(before.is_none(), "a second response");
                }
                Effect::DropAttempt { attempt, .. } => self.dropped.push(attempt),
                Effect::Send { message, .. } => self.sent.push(message),
                _ => {}
            }
        }
    }

    fn schedule(&mut self, after: Duration, what: Due) {
        self.number += 1;
        self.due.insert((self.now + after, self.number), what);
    }

    fn happen(&mut self, what: Due) {
        let (gateway, now) = (&mut self.gateway, self.now);
        let mut out = Vec::new();
        match what {
            Due::Timer(Timer::Exchange(key)) => due(gateway, now, key, &mut out),
            Due::Timer(_) => {}
            Due::End(attempt, _) if self.dropped.contains(&attempt) => {}
            Due::End(attempt, Fate::Done(body)) => {
                let reply = reply(ReplyStatus::Done, 200, body);
                attempt_replied(gateway, now, attempt, &reply, false, &mut out);
            }
            Due::End(attempt, Fate::Says(status)) => {
                let code = if status == ReplyStatus::Failed {
                    500
                } else {
                    503
                };
                let reply = reply(status, code, Vec::new());
                attempt_replied(gateway, now, attempt, &reply, false, &mut out);
            }
            Due::End(attempt, Fate::Fails(failure)) => {
                attempt_failed(gateway, now, attempt, failure, false, &mut out);
            }
            Due::End(_, Fate::Silence) => {}
        }
        self.run(out);
    }
}

fn reply(status: ReplyStatus, code: u16, body: Vec<u8>) -> AttemptReply<'static> {
    AttemptReply {
        status,
        code,
        proof: Some("proof"),
        headers: Vec::new().into(),
        body: Bytes::from(body),
        load: Some(SlotLoad {
            running_count: 1,
            waiting_count: 0,
            slots_count: 2,
        }),
    }
}

/// Returns a record that begins with a byte.
pub(crate) fn record(first: u8) -> Vec<u8> {
    let mut record = vec![0; 16];
    record[0] = first;
    record
}
