//! An instance whose thread is busy: each event takes time, so timers fire late and answers wait
//! before they leave.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use model::{
    AttemptKey, AttemptReply, CallerKey, Effect, HttpRequest, HttpResponse, ReplyStatus,
    TargetReport, Timer,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slotmap::SlotMap;

use super::fixture::{CallResult, FrontSpec, gathering_front, record, simulation};
use crate::{Gateway, on_attempt_reply, on_exchange_timer, on_request};

const GOAL_MS: u64 = 80;
const SERVICES_COUNT: usize = 110;
const QUERIES_COUNT: usize = 60;
/// Time between two pairs of queries, and between the two of a pair: four fifths of the thread are
/// used.
const QUERY_INTERVAL: Duration = Duration::from_millis(140);
const PAIR_INTERVAL: Duration = Duration::from_millis(15);
/// Time of the thread for sending a part, for a reply, and for sending an answer.
const SEND_TIME: Duration = Duration::from_micros(100);
const REPLY_TIME: Duration = Duration::from_micros(250);
const ANSWER_TIME: Duration = Duration::from_millis(3);
/// Share of the replies that come too late for any goal, as from a target that pauses.
const STRAGGLER_RATIO: f64 = 0.02;
/// Time of an answer on its way to the caller.
const WAY_TIME: Duration = Duration::from_millis(3);

enum Event {
    Query,
    Reply(AttemptKey),
    Timer(Timer),
    /// The task that sends an answer has its turn.
    Answer(CallerKey, HttpResponse),
}

struct Instance {
    gateway: Gateway,
    events: BTreeMap<(Instant, u64), Event>,
    last_number: u64,
    rng: ChaCha8Rng,
    sent_at: SlotMap<CallerKey, Instant>,
    /// Time until each answer reached its caller, and whether it was a success.
    answers: Vec<(Duration, bool)>,
}

fn schedule(instance: &mut Instance, at: Instant, event: Event) {
    instance.last_number += 1;
    instance.events.insert((at, instance.last_number), event);
}

/// Handles an event and returns the time of the thread that it takes.
fn handle(instance: &mut Instance, now: Instant, arrived_at: Instant, event: Event) -> Duration {
    let mut out = Vec::new();
    let gateway = &mut instance.gateway;
    let mut took = Duration::from_micros(50);
    match event {
        Event::Query => {
            let caller = instance.sent_at.insert(arrived_at);
            let request = HttpRequest {
                request_id: "r".to_owned(),
                method: "GET".to_owned(),
                host: "parts.example".to_owned(),
                path: "/x".to_owned(),
                timeout: Some(Duration::from_millis(400)),
                ..HttpRequest::default()
            };
            on_request(gateway, now, caller, Arc::new(request), &mut out);
        }
        Event::Reply(attempt) => {
            took = REPLY_TIME;
            let reply = AttemptReply {
                status: ReplyStatus::Done,
                code: 200,
                proof: Some("proof"),
                headers: Vec::new().into(),
                body: Bytes::from(record(1)),
                report: TargetReport::default(),
            };
            on_attempt_reply(gateway, now, attempt, &reply, &mut out);
        }
        Event::Timer(Timer::Exchange(key)) => on_exchange_timer(gateway, now, key, &mut out),
        Event::Timer(_) => {}
        Event::Answer(caller, response) => {
            took = ANSWER_TIME;
            let received_at = now + ANSWER_TIME + WAY_TIME;
            let is_success = matches!(response, HttpResponse::Merged { .. });
            instance
                .answers
                .push((received_at - instance.sent_at[caller], is_success));
        }
    }
    for effect in out {
        match effect {
            Effect::Attempt(call) => {
                took += SEND_TIME;
                let reply_ms = match instance.rng.random_bool(STRAGGLER_RATIO) {
                    true => 250,
                    false => instance.rng.random_range(4..9),
                };
                let at = now + took + Duration::from_millis(reply_ms);
                schedule(instance, at, Event::Reply(call.attempt));
            }
            Effect::SetTimer { timer, after } => {
                schedule(instance, now + after, Event::Timer(timer));
            }
            Effect::Respond { caller, response } => {
                schedule(instance, now + took, Event::Answer(caller, *response));
            }
            _ => {}
        }
    }
    took
}

#[test]
fn busy_instance_answers_inside_the_goal() {
    let front = FrontSpec {
        goal_ms: GOAL_MS,
        least_ratio: 0.9,
        attempts_max_count: 1,
        ..gathering_front(SERVICES_COUNT)
    };
    let sim = simulation(&front, |_, _| (0, CallResult::NoReply));
    let (gateway, start) = (sim.gateway, sim.start);
    let mut instance = Instance {
        gateway,
        events: BTreeMap::new(),
        last_number: 0,
        rng: ChaCha8Rng::seed_from_u64(3),
        sent_at: SlotMap::with_key(),
        answers: Vec::new(),
    };
    for number in 0..QUERIES_COUNT {
        let pair_at = start + QUERY_INTERVAL * (number as u32 / 2);
        let at = pair_at + PAIR_INTERVAL * (number as u32 % 2);
        schedule(&mut instance, at, Event::Query);
    }
    let mut free_at = start;
    while let Some(((at, _), event)) = instance.events.pop_first() {
        let now = free_at.max(at);
        free_at = now + handle(&mut instance, now, at, event);
    }
    assert_eq!(instance.answers.len(), QUERIES_COUNT);
    let goal = Duration::from_millis(GOAL_MS);
    // The first queries show the instance how late its timers are.
    let later = &instance.answers[QUERIES_COUNT / 4..];
    let in_goal = later
        .iter()
        .filter(|&&(took, is_success)| is_success && took <= goal);
    let in_goal_ratio = in_goal.count() as f64 / later.len() as f64;
    assert!(in_goal_ratio >= 0.9, "{in_goal_ratio}: {later:?}");
}
