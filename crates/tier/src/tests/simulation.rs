//! Simulation of several instances and targets, in which a schedule delivers every event.
//!
//! Nothing happens unless the schedule picks it from the pending events, so any order, delay, loss,
//! duplication and crash can be expressed. The targets record what they execute.

use std::{
    borrow::Cow,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use model::{
    Answer, CallFailure, CallKey, CallerKey, Effect, Event, ExecutionKind, InstanceId, MemberRow,
    Message, Outcome, ReplyStatus, ReplyView, RequestView, TargetCall, Timer,
};

use super::fixture::{caller, note, report, request, settings};
use crate::{State, new_state, reduce};

const FIRST_PORT: u16 = 40_000;
/// Members that each instance knows, whether the simulation contains them or not.
const INSTANCES_MAX_COUNT: usize = 3;

/// An event that the schedule can deliver next.
#[derive(Clone, Debug)]
pub(crate) enum Pending {
    /// A message to an instance, whichever run of it receives the message.
    Message(usize, Message),
    /// A call to a target.
    Call(InstanceRun, TargetCall),
    /// A target's reply to the run that sent the call.
    Reply(InstanceRun, CallKey, ReplyStatus, Vec<u8>),
    /// The loss of a call's connection, for the run that sent the call.
    Lost(InstanceRun, CallKey),
    /// A timer of a run.
    Timer(InstanceRun, Timer),
}

/// A run of an instance; a restart begins the next one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct InstanceRun {
    pub(crate) index: usize,
    pub(crate) run: u64,
}

/// What a schedule does with a pending event; timers and lost connections are always delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Delivery {
    /// The event is delivered; a call is executed.
    Deliver,
    /// A message is delivered and stays pending for a second delivery; a reply is delivered twice
    /// in a row; any other event as with `Deliver`.
    DeliverTwice,
    /// The event is lost; for a call or a reply, with its connection. A call is not executed.
    Lose,
    /// A call is executed and then lost with its connection; any other event as with `Lose`.
    ExecuteThenLose,
    /// A call is shed by its target; any other event as with `Deliver`.
    Shed,
}

/// The instances, the targets' executions and the answers to callers.
#[derive(Clone)]
pub(crate) struct Simulation {
    pub(crate) states: Vec<State>,
    runs: Vec<u64>,
    pub(crate) now: Instant,
    pub(crate) pending: Vec<Pending>,
    /// Number of executions by order, recorded by the targets.
    pub(crate) execution_counts: BTreeMap<String, u32>,
    /// Orders for which a caller got the answer "not run".
    reported_not_run: BTreeSet<String>,
    /// Unanswered requests by caller, with the run that received them.
    pub(crate) open_requests: BTreeMap<CallerKey, (String, InstanceRun)>,
    /// Number of answers by outcome.
    pub(crate) answer_counts: BTreeMap<&'static str, u32>,
    callers_count: u64,
}

/// Returns a simulation of instances that accepted the same note, with nothing pending.
pub(crate) fn simulation(instances_count: usize) -> Simulation {
    let now = Instant::now();
    Simulation {
        states: (0..instances_count)
            .map(|index| start_run(index, 1, now))
            .collect(),
        runs: vec![1; instances_count],
        now,
        pending: Vec::new(),
        execution_counts: BTreeMap::new(),
        reported_not_run: BTreeSet::new(),
        open_requests: BTreeMap::new(),
        answer_counts: BTreeMap::new(),
        callers_count: 0,
    }
}

/// Issues a ticket at an instance.
pub(crate) fn issue_ticket(sim: &mut Simulation, index: usize) -> String {
    let state = &mut sim.states[index];
    once::issue(&mut state.once, sim.now, 1).remove(0)
}

/// Sends an order through an instance; without a ticket, an idempotent request.
pub(crate) fn send_request(sim: &mut Simulation, index: usize, order: &str, ticket: Option<&str>) {
    sim.callers_count += 1;
    let caller = caller(sim.callers_count);
    let instance_run = instance_run(sim, index);
    sim.open_requests
        .insert(caller, (order.to_owned(), instance_run));
    let kind = match ticket {
        Some(ticket) => ExecutionKind::Once { ticket },
        None => ExecutionKind::Idempotent,
    };
    let request = RequestView {
        request_id: order,
        service: Some("parts-0"),
        kind,
        body: order.as_bytes(),
        ..request("parts")
    };
    step(sim, index, Event::Request { caller, request });
}

/// Crashes a run and starts the next one with a fresh state; its callers get no answer.
pub(crate) fn restart(sim: &mut Simulation, index: usize) {
    sim.runs[index] += 1;
    sim.states[index] = start_run(index, sim.runs[index], sim.now);
    sim.open_requests
        .retain(|_, (_, instance_run)| instance_run.index != index);
}

/// Reports to an instance that another one cannot be reached.
pub(crate) fn report_peer_unreachable(sim: &mut Simulation, index: usize, other: usize) {
    let address = address(other);
    step(sim, index, Event::PeerUnreachable { address });
}

/// Delivers or loses one pending event.
pub(crate) fn deliver(sim: &mut Simulation, position: usize, delivery: Delivery) {
    sim.now += Duration::from_millis(1);
    let pending = sim.pending.remove(position);
    match pending {
        Pending::Message(index, message) => match delivery {
            Delivery::Lose | Delivery::ExecuteThenLose => {}
            Delivery::DeliverTwice => {
                sim.pending.push(Pending::Message(index, message.clone()));
                deliver_message(sim, index, &message);
            }
            Delivery::Deliver | Delivery::Shed => deliver_message(sim, index, &message),
        },
        Pending::Call(instance_run, call) => deliver_call(sim, instance_run, &call, delivery),
        Pending::Reply(instance_run, call, status, body) => {
            if matches!(delivery, Delivery::Lose | Delivery::ExecuteThenLose) {
                sim.pending.push(Pending::Lost(instance_run, call));
                return;
            }
            let reply = ReplyView {
                status,
                snapshot: 1,
                body: &body,
                load: None,
            };
            if delivery == Delivery::DeliverTwice {
                step_if_current(sim, instance_run, Event::Reply { call, reply });
            }
            step_if_current(sim, instance_run, Event::Reply { call, reply });
        }
        Pending::Lost(instance_run, call) => {
            let failure = CallFailure::ConnectionLost;
            step_if_current(sim, instance_run, Event::CallFailed { call, failure });
        }
        Pending::Timer(instance_run, timer) => {
            step_if_current(sim, instance_run, Event::Timer(timer))
        }
    }
}

/// Delivers all pending events, timers last, and checks that every request was answered.
pub(crate) fn deliver_all(sim: &mut Simulation) {
    while !sim.pending.is_empty() {
        let is_timer = |pending: &Pending| matches!(pending, Pending::Timer(..));
        let position = sim.pending.iter().position(|pending| !is_timer(pending));
        deliver(sim, position.unwrap_or(0), Delivery::Deliver);
    }
    assert!(
        sim.open_requests.is_empty(),
        "unanswered: {:?}",
        sim.open_requests
    );
}

fn deliver_call(
    sim: &mut Simulation,
    instance_run: InstanceRun,
    call: &TargetCall,
    delivery: Delivery,
) {
    let key = call.call;
    let order = String::from_utf8(call.body.to_vec()).expect("a UTF-8 body");
    match delivery {
        Delivery::Lose => sim.pending.push(Pending::Lost(instance_run, key)),
        Delivery::Shed => {
            let status = ReplyStatus::Shed;
            sim.pending
                .push(Pending::Reply(instance_run, key, status, Vec::new()));
        }
        Delivery::ExecuteThenLose => {
            execute(sim, &order, call.is_idempotent);
            sim.pending.push(Pending::Lost(instance_run, key));
        }
        Delivery::Deliver | Delivery::DeliverTwice => {
            execute(sim, &order, call.is_idempotent);
            let body = format!("\"done {order}\"").into_bytes();
            let status = ReplyStatus::Done;
            sim.pending
                .push(Pending::Reply(instance_run, key, status, body));
        }
    }
}

fn execute(sim: &mut Simulation, order: &str, is_idempotent: bool) {
    if is_idempotent {
        return;
    }
    assert!(
        !sim.reported_not_run.contains(order),
        "{order} runs after a caller got the answer \"not run\""
    );
    let executions_count = sim.execution_counts.entry(order.to_owned()).or_default();
    *executions_count += 1;
    assert_eq!(*executions_count, 1, "{order} ran twice");
}

fn deliver_message(sim: &mut Simulation, index: usize, message: &Message) {
    let message = Cow::Borrowed(message);
    step(sim, index, Event::Peer { message });
}

fn step_if_current(sim: &mut Simulation, instance_run: InstanceRun, event: Event<'_>) {
    if sim.runs[instance_run.index] == instance_run.run {
        step(sim, instance_run.index, event);
    }
}

fn step(sim: &mut Simulation, index: usize, event: Event<'_>) {
    let mut out = Vec::new();
    reduce(&mut sim.states[index], sim.now, event, &mut out);
    let instance_run = instance_run(sim, index);
    for effect in out {
        match effect {
            Effect::Call(call) => sim.pending.push(Pending::Call(instance_run, call)),
            Effect::Send { address, message } if is_simulated_message(&message) => {
                let index = usize::from(address.port() - FIRST_PORT);
                if index < sim.states.len() {
                    sim.pending.push(Pending::Message(index, message));
                }
            }
            Effect::SetTimer { timer, .. } if is_request_timer(timer) => {
                sim.pending.push(Pending::Timer(instance_run, timer));
            }
            Effect::Answer { caller, answer } => record_answer(sim, caller, &answer),
            _ => {}
        }
    }
}

fn record_answer(sim: &mut Simulation, caller: CallerKey, answer: &Answer) {
    let (order, _) = sim
        .open_requests
        .remove(&caller)
        .expect("each request is answered once");
    assert_eq!(
        answer.request_id, order,
        "the answer belongs to another request"
    );
    for result in &answer.results {
        assert_eq!(&result.body[..], format!("\"done {order}\"").as_bytes());
    }
    let word = match answer.outcome {
        Outcome::Ran => "ran",
        Outcome::NotRun(_) => {
            assert!(
                !sim.execution_counts.contains_key(&order),
                "{order} was executed"
            );
            sim.reported_not_run.insert(order);
            "not run"
        }
        Outcome::Unknown(_) => "unknown",
    };
    *sim.answer_counts.entry(word).or_default() += 1;
}

fn is_simulated_message(message: &Message) -> bool {
    matches!(
        message,
        Message::Forward(_) | Message::ForwardAnswer { .. } | Message::Digest(_)
    )
}

fn is_request_timer(timer: Timer) -> bool {
    matches!(timer, Timer::Deadline(_) | Timer::Wait(_) | Timer::Hedge(_))
}

fn instance_run(sim: &Simulation, index: usize) -> InstanceRun {
    let run = sim.runs[index];
    InstanceRun { index, run }
}

fn address(index: usize) -> SocketAddr {
    let port = FIRST_PORT + u16::try_from(index).expect("the simulation is small");
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn start_run(index: usize, run: u64, now: Instant) -> State {
    let mut settings = settings();
    settings.listen.peers = address(index);
    settings.instance.name = format!("north-{index}");
    let seed = run * 100 + index as u64;
    let mut state = new_state(settings, run, seed);
    for other in (0..INSTANCES_MAX_COUNT).filter(|&other| other != index) {
        let row = MemberRow {
            understands_permits: true,
            id: InstanceId {
                name: format!("north-{other}"),
                incarnation: 0,
            },
            address: address(other),
            ..fleet::own_row(&state.fleet)
        };
        fleet::merge_row(&mut state.fleet, now, &row);
    }
    let mut out = Vec::new();
    let body = note(1, 1);
    let body = body.as_bytes();
    let published = Event::PlatformNote { version: 1, body };
    reduce(&mut state, now, published, &mut out);
    let targets: Vec<_> = state.routes.targets.keys().collect();
    for target in targets {
        let report = report(1);
        reduce(&mut state, now, Event::Load { target, report }, &mut out);
    }
    state
}
