//! Admission of callers' requests: routing to a front, creation of parts, and deadlines.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use catalog::{Front, Route};
use model::{
    CallerKey, Counter, Effect, ExchangeKey, FrontKey, HttpRequest, NotRunReason, Requester,
    ServiceKey,
};
use once::Evidence;
use rand::RngExt;

use crate::{
    Exchange, FrontStats, Gateway, Part, PartState, access, budget, fingerprint, isolation, relay,
    respond::{finish_if_decided, refuse},
    send::{send_first_attempts, send_or_queue},
    timer::{self, arm_timer},
};

/// Length of a window over which the longest timeout of callers is taken.
const TIMEOUT_WINDOW: Duration = Duration::from_secs(10);

/// Handles a caller's request: refuses it, relays it to a larger instance, or sends its parts.
pub fn on_request(
    gateway: &mut Gateway,
    now: Instant,
    caller: CallerKey,
    request: Arc<HttpRequest>,
    out: &mut Vec<Effect>,
) {
    out.push(Effect::Count {
        counter: Counter::Requests,
        amount_count: 1,
    });
    if !crate::is_known(gateway) {
        let reason = NotRunReason::NoConfiguration;
        return refuse(gateway, caller, &request, reason, out);
    }
    let front = catalog::find_front(&gateway.catalog, &request.host, &request.path);
    let request = match access::authenticate(gateway, front, request.clone()) {
        Ok(request) => request,
        Err(reason) => return refuse(gateway, caller, &request, reason, out),
    };
    let Some(front) = front else {
        let reason = NotRunReason::UnknownFront;
        return refuse(gateway, caller, &request, reason, out);
    };
    if gateway.is_isolated && !isolation::can_serve(gateway, now, &gateway.catalog.fronts[front]) {
        return refuse(gateway, caller, &request, NotRunReason::CutOff, out);
    }
    let new = NewExchange {
        requester: Requester::Caller(caller),
        front,
        request: &request,
        goal: GoalSource::Front,
        attempts_max_count: None,
    };
    let Some(key) = create_exchange(gateway, now, &new) else {
        let reason = NotRunReason::DeadlinePassed;
        return refuse(gateway, caller, &request, reason, out);
    };
    if relay::try_relay(gateway, now, key, out) {
        arm_timer(gateway, now, key, out);
    } else {
        run_locally(gateway, now, key, out);
    }
}

/// Runs an exchange on this instance by sending its parts to targets.
pub(crate) fn run_locally(
    gateway: &mut Gateway,
    now: Instant,
    key: ExchangeKey,
    out: &mut Vec<Effect>,
) {
    let exchange = &gateway.exchanges[key];
    match exchange.parts.iter().all(|part| part.sent_count == 0) {
        true => {
            record_request(gateway, now, key);
            send_first_attempts(gateway, now, key, out);
        }
        // A larger instance may have sent each part, and has then counted the request.
        false => (0..exchange.parts.len())
            .for_each(|part_index| send_or_queue(gateway, now, key, part_index, out)),
    }
    if !finish_if_decided(gateway, now, key, out) {
        arm_timer(gateway, now, key, out);
    }
}

/// Counts a request in the retry budget of each of its services.
fn record_request(gateway: &mut Gateway, now: Instant, key: ExchangeKey) {
    for part in &gateway.exchanges[key].parts {
        if let Some(budget) = gateway.retry_budgets.entry(part.service) {
            budget::record_request(budget.or_default(), now);
        }
    }
}

/// Input of [`create_exchange`].
pub(crate) struct NewExchange<'a> {
    /// Receiver of the response.
    pub requester: Requester,
    /// The front that matched host and path.
    pub front: FrontKey,
    /// The request.
    pub request: &'a Arc<HttpRequest>,
    /// Source of the latency goal.
    pub goal: GoalSource,
    /// Number of targets that each part may be sent to at first; `None` for the front's limit.
    pub attempts_max_count: Option<u32>,
}

/// Source of the latency goal of an exchange.
pub(crate) enum GoalSource {
    /// Computed here from the front's goal and the caller's timeout.
    Front,
    /// Set by the instance that the caller is connected to; `None` if it has no goal left.
    Relayed(Option<Instant>),
}

/// Creates an exchange; returns `None` if the timeout leaves no time for an answer or the front
/// has no service to send to.
pub(crate) fn create_exchange(
    gateway: &mut Gateway,
    now: Instant,
    new: &NewExchange<'_>,
) -> Option<ExchangeKey> {
    let (front_key, request) = (new.front, new.request);
    let is_relayed = matches!(new.requester, Requester::Peer { .. });
    // The instance that relayed the request has already subtracted its reserve.
    let reserve = match is_relayed {
        true => Duration::ZERO,
        false => gateway.settings.answer_reserve,
    };
    let answer_delay = timer::answer_delay(gateway);
    let stats = gateway.front_stats.entry(front_key)?.or_default();
    let front = &gateway.catalog.fronts[front_key];
    let timeout = request.timeout.unwrap_or(front.timeout);
    let goal_at = match new.goal {
        GoalSource::Relayed(goal_at) => {
            goal_at.and_then(|goal_at| goal_at.checked_sub(answer_delay))
        }
        GoalSource::Front => {
            let waited = prior_wait(stats, now, timeout);
            goal_at(front, now, waited, reserve + answer_delay)
        }
    };
    let (services, records_count, parts_min_count) = match &front.route {
        Route::Split(parts) => {
            let offset_ratio = gateway.rng.random_range(0.0..1.0);
            let service = pick_split_service(&mut stats.split_credits, parts, offset_ratio)?;
            (vec![service], None, 1)
        }
        Route::Gather {
            services,
            records_count,
            parts_min_count,
        } => (services.to_vec(), Some(*records_count), *parts_min_count),
    };
    let time_left = timeout.min(front.timeout).checked_sub(reserve)?;
    let parts: Vec<Part> = services.iter().copied().map(new_part).collect();
    let granted_count = new.attempts_max_count.unwrap_or(front.attempts_max_count);
    let attempts_max_count = granted_count.min(front.attempts_max_count);
    let exchange = Exchange {
        requester: new.requester,
        relay: None,
        relay_number: None,
        request: request.clone(),
        fingerprint: fingerprint(request),
        front: front_key,
        version: gateway.catalog.version,
        is_idempotent: front.is_idempotent,
        is_quarantined: false,
        is_rate_limited: false,
        attempts_max_count,
        attempts_withheld_count: front.attempts_max_count - attempts_max_count,
        records_count,
        parts_min_count,
        arrived_at: now,
        goal_at,
        deadline: now + time_left,
        due_at: None,
        pending_count: u32::try_from(parts.len()).unwrap_or(u32::MAX),
        parts,
        answered_count: 0,
        extra_count: 0,
        evidence: Evidence::default(),
        failure: None,
    };
    Some(gateway.exchanges.insert(exchange))
}

fn new_part(service: ServiceKey) -> Part {
    Part {
        service,
        state: PartState::Pending,
        tried: Vec::new(),
        sent_count: 0,
        in_flight: Vec::new(),
        hedge_at: None,
    }
}

/// Returns the latency goal; `None` if the front has none or it has passed.
fn goal_at(front: &Front, now: Instant, waited: Duration, reserve: Duration) -> Option<Instant> {
    let left = front
        .latency_goal?
        .checked_sub(waited)?
        .checked_sub(reserve)?;
    Some(now + left)
}

/// Estimates how long the caller has waited in earlier tries of the same request.
///
/// Callers of a front start with the same timeout and send the remaining time when they retry, so
/// the difference to the longest recent timeout is the time that has passed.
fn prior_wait(stats: &mut FrontStats, now: Instant, timeout: Duration) -> Duration {
    let window_start = *stats.window_start.get_or_insert(now);
    if now.saturating_duration_since(window_start) >= TIMEOUT_WINDOW {
        stats.timeouts_max = [Duration::ZERO, stats.timeouts_max[0]];
        stats.window_start = Some(now);
    }
    stats.timeouts_max[0] = stats.timeouts_max[0].max(timeout);
    stats.timeouts_max[0].max(stats.timeouts_max[1]) - timeout
}

/// Picks the service of a split by smooth weighted round robin.
///
/// `offset_ratio`, between 0 and 1, selects the service that comes first, so that instances do not
/// all start with the same one. Returns `None` for a split without services.
fn pick_split_service(
    credits: &mut Vec<f64>,
    parts: &[(ServiceKey, f64)],
    offset_ratio: f64,
) -> Option<ServiceKey> {
    let total: f64 = parts.iter().map(|(_, weight)| weight).sum();
    if credits.len() != parts.len() {
        *credits = vec![0.0; parts.len()];
        let mut cumulative = 0.0;
        for (credit, (_, weight)) in credits.iter_mut().zip(parts) {
            let share = if total > 0.0 { weight / total } else { 0.0 };
            let is_first = offset_ratio >= cumulative && offset_ratio < cumulative + share;
            *credit = if is_first { 1.0 } else { 0.0 };
            cumulative += share;
        }
    }
    for (credit, (_, weight)) in credits.iter_mut().zip(parts) {
        *credit += if total > 0.0 { weight / total } else { 0.0 };
    }
    let best = (0..parts.len()).max_by(|&a, &b| credits[a].total_cmp(&credits[b]))?;
    credits[best] -= 1.0;
    Some(parts[best].0)
}
