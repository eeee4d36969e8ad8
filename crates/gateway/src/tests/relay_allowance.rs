//! Attempts of a query, summed over the instance that relays it and the one that runs it.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use model::{
    AttemptKey, AttemptReply, CallFailure, CallerKey, Effect, HttpRequest, HttpResponse, Message,
    Outcome, ReplyStatus, TargetReport, Timer,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use slotmap::SlotMap;

use super::fixture::{FrontSpec, gathering_front, record, records, relayed_exchange, settings};
use crate::{
    Gateway, RelayAnswer, new_state, on_attempt_failure, on_attempt_reply, on_exchange_timer,
    on_relay_accepted, on_relay_answer, on_relay_cancel, on_relay_granted, on_relay_request,
    on_relay_unreachable, on_request, tick,
};

/// Instances of a fleet: one small one, to which callers connect, and its relays.
const INSTANCES_COUNT: usize = 3;
const SERVICES_COUNT: usize = 30;
const QUERIES_COUNT: usize = 12;
const TICK: Duration = Duration::from_millis(200);

/// How messages between two instances travel.
#[derive(Clone, Copy, Debug)]
struct Link {
    delay_max_ms: u64,
    /// Share of the messages that are lost.
    loss_ratio: f64,
}

const GOOD: Link = Link {
    delay_max_ms: 1,
    loss_ratio: 0.0,
};
const CUT: Link = Link {
    delay_max_ms: 1,
    loss_ratio: 1.0,
};
const LATE: Link = Link {
    delay_max_ms: 60,
    loss_ratio: 0.0,
};
const LOSSY: Link = Link {
    delay_max_ms: 40,
    loss_ratio: 0.3,
};

#[derive(Clone, Debug)]
enum Event {
    Timer(usize, Timer),
    /// A target answers, or fails to.
    End(usize, AttemptKey, End),
    Message(usize, Message),
    /// A target receives a call.
    Arrival {
        request_id: String,
        target: String,
    },
    Unreachable(usize, SocketAddr),
    Tick,
}

#[derive(Clone, Copy, Debug)]
enum End {
    Done,
    Declined,
    Lost,
    Unreached,
}

struct Fleet {
    gateways: Vec<Gateway>,
    start: Instant,
    now: Instant,
    events: BTreeMap<(Instant, u64), Event>,
    last_number: u64,
    rng: ChaCha8Rng,
    to_relay: Link,
    from_relay: Link,
    /// Targets that have received a call, by request and service.
    reached: BTreeMap<(String, String), BTreeSet<String>>,
    /// Requests that a target has executed.
    executed: BTreeSet<String>,
    callers: SlotMap<CallerKey, String>,
    responses: BTreeMap<String, HttpResponse>,
}

fn address(index: usize) -> SocketAddr {
    let port = 7000 + u16::try_from(index).expect("a small fleet");
    ([10, 0, 0, 9], port).into()
}

fn fleet(front: &FrontSpec, seed: u64, to_relay: Link, from_relay: Link) -> Fleet {
    let start = Instant::now();
    let gateways = (0..INSTANCES_COUNT).map(|index| {
        let settings = settings::Gateway {
            peers: address(index),
            // The budget must not hide attempts beyond the front's limit.
            retry_constant_count: 10_000,
            ..settings()
        };
        let mut gateway = new_state(&settings, seed + index as u64);
        gateway.sync.targets.is_known = true;
        gateway.share_ratio = Some(1.0);
        for record in records(front) {
            catalog::apply(&mut gateway.catalog, start, &record);
        }
        gateway
    });
    let mut gateways: Vec<Gateway> = gateways.collect();
    gateways[0].relay_candidates = (1..INSTANCES_COUNT).map(address).collect();
    Fleet {
        gateways,
        start,
        now: start,
        events: BTreeMap::new(),
        last_number: 0,
        rng: ChaCha8Rng::seed_from_u64(seed),
        to_relay,
        from_relay,
        reached: BTreeMap::new(),
        executed: BTreeSet::new(),
        callers: SlotMap::with_key(),
        responses: BTreeMap::new(),
    }
}

fn schedule(fleet: &mut Fleet, after: Duration, event: Event) {
    fleet.last_number += 1;
    let at = fleet.now + after;
    fleet.events.insert((at, fleet.last_number), event);
}

fn send_query(fleet: &mut Fleet, number: usize) {
    let request_id = format!("r{number}");
    let caller = fleet.callers.insert(request_id.clone());
    let request = HttpRequest {
        request_id,
        method: "GET".to_owned(),
        host: "parts.example".to_owned(),
        path: format!("/{number}"),
        timeout: Some(Duration::from_millis(400)),
        ..HttpRequest::default()
    };
    let mut out = Vec::new();
    let now = fleet.now;
    on_request(
        &mut fleet.gateways[0],
        now,
        caller,
        Arc::new(request),
        &mut out,
    );
    apply(fleet, 0, out);
}

fn run_until(fleet: &mut Fleet, end: Instant) {
    while let Some(entry) = fleet.events.first_entry() {
        let (at, _) = *entry.key();
        if at > end {
            break;
        }
        let event = entry.remove();
        fleet.now = at;
        on_event(fleet, event);
    }
    fleet.now = end;
}

fn on_event(fleet: &mut Fleet, event: Event) {
    let now = fleet.now;
    let mut out = Vec::new();
    let index = match event {
        Event::Timer(index, Timer::Exchange(key)) => {
            on_exchange_timer(&mut fleet.gateways[index], now, key, &mut out);
            index
        }
        Event::Timer(..) => return,
        Event::End(index, attempt, end) => {
            let gateway = &mut fleet.gateways[index];
            match end {
                End::Done => {
                    let reply = reply(ReplyStatus::Done, 200);
                    on_attempt_reply(gateway, now, attempt, &reply, &mut out);
                }
                End::Declined => {
                    let reply = reply(ReplyStatus::Shed, 503);
                    on_attempt_reply(gateway, now, attempt, &reply, &mut out);
                }
                End::Lost => {
                    let failure = CallFailure::ConnectionLost;
                    on_attempt_failure(gateway, now, attempt, failure, &mut out);
                }
                End::Unreached => {
                    let failure = CallFailure::ConnectRefused;
                    on_attempt_failure(gateway, now, attempt, failure, &mut out);
                }
            }
            index
        }
        Event::Message(index, message) => {
            on_message(fleet, index, &message, &mut out);
            index
        }
        Event::Arrival { request_id, target } => {
            let service = target.split('/').next().unwrap_or_default().to_owned();
            fleet.executed.insert(request_id.clone());
            let targets = fleet.reached.entry((request_id, service)).or_default();
            targets.insert(target);
            return;
        }
        Event::Unreachable(index, address) => {
            on_relay_unreachable(&mut fleet.gateways[index], now, address, &mut out);
            index
        }
        Event::Tick => {
            for index in 0..INSTANCES_COUNT {
                let mut out = Vec::new();
                tick(&mut fleet.gateways[index], now, &mut out);
                apply(fleet, index, out);
            }
            return schedule(fleet, TICK, Event::Tick);
        }
    };
    apply(fleet, index, out);
}

fn on_message(fleet: &mut Fleet, index: usize, message: &Message, out: &mut Vec<Effect>) {
    let now = fleet.now;
    let gateway = &mut fleet.gateways[index];
    match message {
        Message::Relay(relayed) => on_relay_request(gateway, now, relayed, None, out),
        Message::RelayTaken { relay_id, .. } => {
            if let Some(key) = relayed_exchange(gateway, *relay_id) {
                on_relay_accepted(gateway, key, out);
            }
        }
        Message::RelayGranted { reply_to, relay_id } => {
            on_relay_granted(gateway, now, *reply_to, *relay_id, out);
        }
        Message::RelayCancel { reply_to, relay_id } => {
            on_relay_cancel(gateway, now, *reply_to, *relay_id, out);
        }
        Message::RelayAnswer {
            relay_id,
            answer,
            is_unsent,
            is_unexecuted,
            ..
        } => {
            let answer = RelayAnswer {
                merged: answer.as_ref(),
                is_unsent: *is_unsent,
                is_unexecuted: *is_unexecuted,
            };
            if let Some(key) = relayed_exchange(gateway, *relay_id) {
                on_relay_answer(gateway, now, key, &answer, out);
            }
        }
        _ => {}
    }
}

fn apply(fleet: &mut Fleet, index: usize, effects: Vec<Effect>) {
    for effect in effects {
        match effect {
            Effect::Attempt(call) => {
                let end = match fleet.rng.random_range(0..100) {
                    0..70 => End::Done,
                    70..80 => End::Declined,
                    80..90 => End::Lost,
                    _ => End::Unreached,
                };
                let took = Duration::from_millis(fleet.rng.random_range(1..90));
                if matches!(end, End::Done | End::Lost) {
                    let request_id = call.request.request_id.clone();
                    let target = call.target_id.to_string();
                    schedule(fleet, took / 2, Event::Arrival { request_id, target });
                }
                schedule(fleet, took, Event::End(index, call.attempt, end));
            }
            Effect::SetTimer { timer, after } => {
                schedule(fleet, after, Event::Timer(index, timer));
            }
            Effect::Respond { caller, response } => {
                let request_id = fleet.callers[caller].clone();
                let before = fleet.responses.insert(request_id, *response);
                assert!(before.is_none(), "caller has got a second response");
            }
            Effect::Send { address, message } => send(fleet, index, address, message),
            _ => {}
        }
    }
}

fn send(fleet: &mut Fleet, from: usize, to: SocketAddr, message: Message) {
    let link = if from == 0 {
        fleet.to_relay
    } else {
        fleet.from_relay
    };
    let delay = Duration::from_millis(fleet.rng.random_range(0..=link.delay_max_ms));
    if fleet.rng.random_bool(link.loss_ratio) {
        let is_noticed = fleet.rng.random_bool(0.3);
        if is_noticed {
            schedule(fleet, delay * 2, Event::Unreachable(from, to));
        }
        return;
    }
    let index = usize::from(to.port() - 7000);
    schedule(fleet, delay, Event::Message(index, message));
}

fn reply(status: ReplyStatus, code: u16) -> AttemptReply<'static> {
    AttemptReply {
        status,
        code,
        proof: Some("proof"),
        headers: Vec::new().into(),
        body: Bytes::from(record(1)),
        report: TargetReport::default(),
    }
}

#[rstest]
fn relayed_query_stays_within_the_attempts_of_its_front(
    #[values(GOOD, LATE, LOSSY, CUT)] to_relay: Link,
    #[values(GOOD, LATE, LOSSY, CUT)] from_relay: Link,
    #[values(1, 2, 3)] attempts_max_count: u32,
) {
    for seed in 0..20 {
        let front = FrontSpec {
            attempts_max_count,
            targets_per_service: 4,
            ..gathering_front(SERVICES_COUNT)
        };
        let mut fleet = fleet(&front, seed, to_relay, from_relay);
        schedule(&mut fleet, TICK, Event::Tick);
        for number in 0..QUERIES_COUNT {
            send_query(&mut fleet, number);
            let end = fleet.now + Duration::from_millis(150);
            run_until(&mut fleet, end);
        }
        let end = fleet.start + Duration::from_secs(8);
        run_until(&mut fleet, end);
        for ((request, service), targets) in &fleet.reached {
            assert!(
                targets.len() <= attempts_max_count as usize,
                "seed {seed}: {request} reached {targets:?} of {service}"
            );
        }
        assert_eq!(fleet.responses.len(), QUERIES_COUNT, "seed {seed}");
        for (request, response) in &fleet.responses {
            let is_refused = matches!(
                response,
                HttpResponse::Local {
                    outcome: Outcome::NotRun(_),
                    ..
                }
            );
            assert!(
                !(is_refused && fleet.executed.contains(request)),
                "seed {seed}: {request} was executed, but answered as not run"
            );
        }
    }
}
