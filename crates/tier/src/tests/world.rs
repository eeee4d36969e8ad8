//! Several instances and recording targets whose messages wait until a schedule delivers them.
//!
//! Nothing happens by itself: a schedule picks the next thing that happens out of all that could,
//! so any order, delay, loss, doubling and crash can be expressed.

use std::{
    borrow::Cow,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use model::{
    Answer, CallFailure, CallKey, CallerKey, Effect, Event, InstanceId, Kind, MemberRow, Message,
    Outcome, ReplyStatus, ReplyView, RequestView, TargetCall, Timer,
};

use super::fixture::{caller, note, report, request, settings};
use crate::{State, open, reduce};

const FIRST_PORT: u16 = 40_000;
/// Instances that know each other, whether a world has them or not.
const INSTANCES_MAX_COUNT: usize = 3;

/// One thing that could happen next.
#[derive(Clone, Debug)]
pub(crate) enum Pending {
    /// A message is on its way to whichever run of an instance is there when it arrives.
    Message(usize, Message),
    /// A call is on its way to its target.
    Call(Origin, TargetCall),
    /// A reply is on its way to the run that sent the call.
    Reply(Origin, CallKey, ReplyStatus, Vec<u8>),
    /// A run is about to learn that a connection is lost.
    Lost(Origin, CallKey),
    /// A timer of a run is due.
    Timer(Origin, Timer),
}

/// A run of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Origin {
    pub(crate) index: usize,
    pub(crate) run: u64,
}

/// What a schedule does with a call, a message or a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fate {
    /// It arrives, and a call is executed.
    Arrive,
    /// It arrives, and stays in place to arrive once more; a call or timer only arrives.
    ArriveTwice,
    /// It is lost; a call's connection is lost before execution.
    Lose,
    /// A call is executed and its connection lost; anything else is lost.
    ExecuteAndLose,
    /// A call is declined; anything else arrives.
    Decline,
}

/// The instances, the targets' ledger, and what the callers were told.
#[derive(Clone)]
pub(crate) struct World {
    pub(crate) states: Vec<State>,
    runs: Vec<u64>,
    pub(crate) now: Instant,
    pub(crate) pending: Vec<Pending>,
    /// Executions by order, as the targets recorded them.
    pub(crate) ledger: BTreeMap<String, u32>,
    /// Orders of which a caller was told that they were not run.
    told_not_run: BTreeSet<String>,
    /// Requests by caller that wait for an answer, and the instance's run.
    pub(crate) open_requests: BTreeMap<CallerKey, (String, Origin)>,
    /// Answers by outcome.
    pub(crate) answered: BTreeMap<&'static str, u32>,
    callers_count: u64,
}

/// Returns instances that accepted the same note, with nothing in flight.
pub(crate) fn world(instances_count: usize) -> World {
    let now = Instant::now();
    World {
        states: (0..instances_count)
            .map(|index| run_state(index, 1, now))
            .collect(),
        runs: vec![1; instances_count],
        now,
        pending: Vec::new(),
        ledger: BTreeMap::new(),
        told_not_run: BTreeSet::new(),
        open_requests: BTreeMap::new(),
        answered: BTreeMap::new(),
        callers_count: 0,
    }
}

/// Returns a ticket of an instance.
pub(crate) fn issue(world: &mut World, index: usize) -> String {
    let state = &mut world.states[index];
    once::issue(&mut state.once, world.now, 1).remove(0)
}

/// Sends an order, or an idempotent request if there is no ticket, through an instance.
pub(crate) fn ask(world: &mut World, index: usize, order: &str, ticket: Option<&str>) {
    world.callers_count += 1;
    let caller = caller(world.callers_count);
    let origin = origin(world, index);
    world
        .open_requests
        .insert(caller, (order.to_owned(), origin));
    let kind = match ticket {
        Some(ticket) => Kind::Once { ticket },
        None => Kind::Idempotent,
    };
    let request = RequestView {
        request_id: order,
        service: Some("parts-0"),
        kind,
        body: order.as_bytes(),
        ..request("parts")
    };
    step(world, index, Event::Request { caller, request });
}

/// Ends a run without warning and starts the next one, which knows nothing.
pub(crate) fn restart(world: &mut World, index: usize) {
    world.runs[index] += 1;
    world.states[index] = run_state(index, world.runs[index], world.now);
    world
        .open_requests
        .retain(|_, (_, origin)| origin.index != index);
}

/// Lets an instance learn that another one cannot be reached.
pub(crate) fn lose_peer(world: &mut World, index: usize, other: usize) {
    let address = address(other);
    step(world, index, Event::PeerUnreachable { address });
}

/// Lets one pending thing happen.
pub(crate) fn happen(world: &mut World, position: usize, fate: Fate) {
    world.now += Duration::from_millis(1);
    let pending = world.pending.remove(position);
    match pending {
        Pending::Message(index, message) => match fate {
            Fate::Lose | Fate::ExecuteAndLose => {}
            Fate::ArriveTwice => {
                world.pending.push(Pending::Message(index, message.clone()));
                message_arrives(world, index, &message);
            }
            Fate::Arrive | Fate::Decline => message_arrives(world, index, &message),
        },
        Pending::Call(origin, call) => call_arrives(world, origin, &call, fate),
        Pending::Reply(origin, call, status, body) => {
            if matches!(fate, Fate::Lose | Fate::ExecuteAndLose) {
                world.pending.push(Pending::Lost(origin, call));
                return;
            }
            let reply = ReplyView {
                status,
                snapshot: 1,
                body: &body,
                load: None,
            };
            if fate == Fate::ArriveTwice {
                step_run(world, origin, Event::Reply { call, reply });
            }
            step_run(world, origin, Event::Reply { call, reply });
        }
        Pending::Lost(origin, call) => {
            let failure = CallFailure::ConnectionLost;
            step_run(world, origin, Event::CallFailed { call, failure });
        }
        Pending::Timer(origin, timer) => step_run(world, origin, Event::Timer(timer)),
    }
}

/// Lets everything happen that is pending, messages first and timers last.
pub(crate) fn drain(world: &mut World) {
    while !world.pending.is_empty() {
        let is_timer = |pending: &Pending| matches!(pending, Pending::Timer(..));
        let position = world.pending.iter().position(|pending| !is_timer(pending));
        happen(world, position.unwrap_or(0), Fate::Arrive);
    }
    assert!(
        world.open_requests.is_empty(),
        "unanswered: {:?}",
        world.open_requests
    );
}

fn call_arrives(world: &mut World, origin: Origin, call: &TargetCall, fate: Fate) {
    let key = call.call;
    let order = String::from_utf8(call.body.to_vec()).expect("a text");
    match fate {
        Fate::Lose => world.pending.push(Pending::Lost(origin, key)),
        Fate::Decline => {
            let status = ReplyStatus::Shed;
            world
                .pending
                .push(Pending::Reply(origin, key, status, Vec::new()));
        }
        Fate::ExecuteAndLose => {
            execute(world, &order, call.is_idempotent);
            world.pending.push(Pending::Lost(origin, key));
        }
        Fate::Arrive | Fate::ArriveTwice => {
            execute(world, &order, call.is_idempotent);
            let body = format!("\"done {order}\"").into_bytes();
            let status = ReplyStatus::Done;
            world
                .pending
                .push(Pending::Reply(origin, key, status, body));
        }
    }
}

fn execute(world: &mut World, order: &str, is_idempotent: bool) {
    if is_idempotent {
        return;
    }
    assert!(
        !world.told_not_run.contains(order),
        "{order} runs after a caller was told that it did not"
    );
    let runs_count = world.ledger.entry(order.to_owned()).or_default();
    *runs_count += 1;
    assert_eq!(*runs_count, 1, "{order} ran twice");
}

fn message_arrives(world: &mut World, index: usize, message: &Message) {
    let message = Cow::Borrowed(message);
    step(world, index, Event::Peer { message });
}

fn step_run(world: &mut World, origin: Origin, event: Event<'_>) {
    if world.runs[origin.index] == origin.run {
        step(world, origin.index, event);
    }
}

fn step(world: &mut World, index: usize, event: Event<'_>) {
    let mut out = Vec::new();
    reduce(&mut world.states[index], world.now, event, &mut out);
    let origin = origin(world, index);
    for effect in out {
        match effect {
            Effect::Call(call) => world.pending.push(Pending::Call(origin, call)),
            Effect::Send { address, message } if is_carried(&message) => {
                let index = usize::from(address.port() - FIRST_PORT);
                if index < world.states.len() {
                    world.pending.push(Pending::Message(index, message));
                }
            }
            Effect::SetTimer { timer, .. } if is_request_timer(timer) => {
                world.pending.push(Pending::Timer(origin, timer));
            }
            Effect::Answer { caller, answer } => answered(world, caller, &answer),
            _ => {}
        }
    }
}

fn answered(world: &mut World, caller: CallerKey, answer: &Answer) {
    let (order, _) = world
        .open_requests
        .remove(&caller)
        .expect("each request is answered once");
    assert_eq!(answer.request_id, order, "the answer to another request");
    for result in &answer.results {
        assert_eq!(&result.body[..], format!("\"done {order}\"").as_bytes());
    }
    let word = match answer.outcome {
        Outcome::Ran => "ran",
        Outcome::NotRun(_) => {
            assert!(!world.ledger.contains_key(&order), "{order} did run");
            world.told_not_run.insert(order);
            "not run"
        }
        Outcome::Unknown(_) => "unknown",
    };
    *world.answered.entry(word).or_default() += 1;
}

fn is_carried(message: &Message) -> bool {
    matches!(
        message,
        Message::Forward(_) | Message::ForwardAnswer { .. } | Message::Digest(_)
    )
}

fn is_request_timer(timer: Timer) -> bool {
    matches!(timer, Timer::Deadline(_) | Timer::Wait(_) | Timer::Hedge(_))
}

fn origin(world: &World, index: usize) -> Origin {
    let run = world.runs[index];
    Origin { index, run }
}

fn address(index: usize) -> SocketAddr {
    let port = FIRST_PORT + u16::try_from(index).expect("the world is small");
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn run_state(index: usize, run: u64, now: Instant) -> State {
    let mut settings = settings();
    settings.listen.peers = address(index);
    settings.instance.name = format!("north-{index}");
    let seed = run * 100 + index as u64;
    let mut state = open(settings, run, seed);
    for other in (0..INSTANCES_MAX_COUNT).filter(|&other| other != index) {
        let row = MemberRow {
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
