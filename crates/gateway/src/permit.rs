//! Requests of capped organisations: they are held until there is a permit, and start with it.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use model::{
    CallerKey, Counter, Effect, FrontKey, HttpRequest, Message, NotRunReason, PermitAnswer,
    PermitQuestion, PermitReturn, Timer,
};
use organisation::KeyHash;
use quota::{Output, Permit, Refusal};
use serde::Serialize;

use crate::{Exchange, Gateway, request::start, respond::refuse_after};

/// Longest wait for a permit: longer than questions to the issuers of three zones take, and short
/// against the goals of callers.
const WAIT_MAX: Duration = Duration::from_millis(60);
/// Part of the time until the goal that a request waits for a permit at most.
const WAIT_GOAL_DIVISOR: u32 = 4;
/// Interval at which a waiting request is looked at again: the time that an issuer has to answer.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// What entitles a request to start.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Clearance {
    /// Hash of the caller's key; `None` without one.
    pub key_hash: Option<KeyHash>,
    /// The permit, if the organisation has a cap.
    pub permit: Option<Permit>,
    /// Time for which the request has waited for the permit.
    pub waited: Duration,
}

/// A request that waits for a permit.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Held {
    /// The request, authenticated.
    #[serde(skip)]
    pub request: Arc<HttpRequest>,
    /// Its arrival.
    #[serde(skip)]
    pub arrived_at: Instant,
    /// When it is refused at the latest.
    #[serde(skip)]
    pub wait_until: Instant,
    /// Hash of the caller's key.
    #[serde(skip)]
    pub key_hash: Option<KeyHash>,
    /// Hash of the request's content, see [`crate::fingerprint`].
    pub fingerprint: u64,
    /// Whether the request has been quarantined since.
    pub is_quarantined: bool,
}

/// Starts a request if its organisation has no cap, or else once there is a permit.
pub(crate) fn start_when_permitted(
    gateway: &mut Gateway,
    now: Instant,
    caller: CallerKey,
    front: FrontKey,
    (request, key_hash): (Arc<HttpRequest>, Option<KeyHash>),
    out: &mut Vec<Effect>,
) {
    let unheld = Clearance {
        key_hash,
        ..Clearance::default()
    };
    let Some(organisation) = request.organisation.clone() else {
        return start(gateway, now, caller, &request, unheld, out);
    };
    let wait_max = wait_max(gateway, front, &request);
    let mut outputs = Vec::new();
    let quota = &mut gateway.quota;
    if !quota::request(quota, now, &organisation, caller, wait_max, &mut outputs) {
        return start(gateway, now, caller, &request, unheld, out);
    }
    let held = Held {
        fingerprint: crate::fingerprint(&request),
        request,
        key_hash,
        arrived_at: now,
        wait_until: now + wait_max,
        is_quarantined: false,
    };
    gateway.held.insert(caller, held);
    process(gateway, now, outputs, out);
    set_timer(gateway, now, caller, out);
}

/// Has a request that waits looked at again, at its limit at the latest.
fn set_timer(gateway: &Gateway, now: Instant, caller: CallerKey, out: &mut Vec<Effect>) {
    let Some(held) = gateway.held.get(&caller) else {
        return;
    };
    let left = held.wait_until.saturating_duration_since(now);
    out.push(Effect::SetTimer {
        timer: Timer::Permit(caller),
        after: CHECK_INTERVAL.min(left),
    });
}

fn wait_max(gateway: &Gateway, front: FrontKey, request: &HttpRequest) -> Duration {
    let front = &gateway.catalog.fronts[front];
    let timeout = request.timeout.unwrap_or(front.timeout);
    let timeout = timeout.min(front.timeout);
    let goal = front.latency_goal.map_or(timeout, |goal| goal.min(timeout));
    WAIT_MAX.min(goal / WAIT_GOAL_DIVISOR)
}

/// Handles the timer of a waiting request.
pub fn on_permit_timer(
    gateway: &mut Gateway,
    now: Instant,
    caller: CallerKey,
    out: &mut Vec<Effect>,
) {
    let mut outputs = Vec::new();
    if quota::on_wait_timer(&mut gateway.quota, now, caller, &mut outputs) {
        set_timer(gateway, now, caller, out);
    }
    process(gateway, now, outputs, out);
}

/// Forgets a waiting request whose caller has disconnected.
pub(crate) fn forget(gateway: &mut Gateway, caller: CallerKey) {
    gateway.held.remove(&caller);
    quota::forget(&mut gateway.quota, caller);
}

/// Refuses all waiting requests before the process exits.
pub(crate) fn refuse_all(gateway: &mut Gateway, now: Instant, out: &mut Vec<Effect>) {
    let mut outputs = Vec::new();
    quota::refuse_all_waiting(&mut gateway.quota, &mut outputs);
    process(gateway, now, outputs, out);
}

/// Puts the permit of a request that was not sent back into the pool.
pub(crate) fn give_back(gateway: &mut Gateway, now: Instant, exchange: &Exchange) {
    if let (Some(permit), Some(name)) = (exchange.permit, &exchange.request.organisation) {
        quota::give_back(&mut gateway.quota, now, name, permit);
    }
}

/// Does what the caps have decided: sends messages, one for each instance and kind, and starts or
/// refuses requests.
pub fn process(gateway: &mut Gateway, now: Instant, outputs: Vec<Output>, out: &mut Vec<Effect>) {
    let mut questions: BTreeMap<_, Vec<PermitQuestion>> = BTreeMap::new();
    let mut answers: BTreeMap<_, Vec<PermitAnswer>> = BTreeMap::new();
    let mut returns: BTreeMap<_, Vec<PermitReturn>> = BTreeMap::new();
    for output in outputs {
        match output {
            Output::Ask { issuer, question } => {
                questions.entry(issuer).or_default().push(question);
            }
            Output::Unanswered { issuer } => {
                gateway.unanswered_peers.insert(issuer);
            }
            Output::Answer { holder, answer } => answers.entry(holder).or_default().push(answer),
            Output::Return { issuer, permits } => returns.entry(issuer).or_default().push(permits),
            Output::Admitted { caller, permit } => admit(gateway, now, caller, permit, out),
            Output::Refused { caller, refusal } => refuse(gateway, caller, refusal, out),
        }
    }
    let own = gateway.settings.peers;
    let questions = questions.into_iter().map(|(address, questions)| {
        let reply_to = own;
        let message = Message::PermitsWanted {
            reply_to,
            questions,
        };
        Effect::Send { address, message }
    });
    let answers = answers.into_iter().map(|(address, answers)| {
        let answered_by = own;
        let message = Message::PermitsGranted {
            answered_by,
            answers,
        };
        Effect::Send { address, message }
    });
    let returns = returns.into_iter().map(|(address, returns)| {
        let returned_by = own;
        let message = Message::PermitsReturned {
            returned_by,
            returns,
        };
        Effect::Send { address, message }
    });
    out.extend(questions.chain(answers).chain(returns));
}

fn admit(
    gateway: &mut Gateway,
    now: Instant,
    caller: CallerKey,
    permit: Option<Permit>,
    out: &mut Vec<Effect>,
) {
    let Some(held) = gateway.held.remove(&caller) else {
        return;
    };
    if held.is_quarantined {
        if let (Some(permit), Some(name)) = (permit, &held.request.organisation) {
            quota::give_back(&mut gateway.quota, now, name, permit);
        }
        let reason = NotRunReason::Quarantined;
        return refuse_after(gateway, caller, &held.request, reason, None, out);
    }
    let clearance = Clearance {
        key_hash: held.key_hash,
        permit,
        waited: now.saturating_duration_since(held.arrived_at),
    };
    start(gateway, now, caller, &held.request, clearance, out);
}

fn refuse(gateway: &mut Gateway, caller: CallerKey, refusal: Refusal, out: &mut Vec<Effect>) {
    let Some(held) = gateway.held.remove(&caller) else {
        return;
    };
    let (reason, wait, counter) = match refusal {
        Refusal::OverCap(wait) => (NotRunReason::OverCap, Some(wait), Counter::OverCapRefusals),
        Refusal::Unreachable => (
            NotRunReason::NoPermitIssuer,
            None,
            Counter::NoPermitIssuerRefusals,
        ),
    };
    out.push(Effect::Count {
        counter,
        amount_count: 1,
    });
    refuse_after(gateway, caller, &held.request, reason, wait, out);
}
