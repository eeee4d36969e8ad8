//! Requests: validation, admission and deadline.

use std::time::{Duration, Instant};

use admit::{AdmissionDecision, Candidate};
use model::{
    CallerKey, Counter, Effect, ExecutionKind, NotRunReason, Outcome, QueryKey, RequestView,
    Requester, ServiceKey,
};
use query::FinishedQuery;
use route::Front;

use crate::{State, capacity, completion, late_call, quarantine, shutdown, ticket};

/// Validates a request, then starts, queues or refuses it.
pub(crate) fn on_request(
    state: &mut State,
    now: Instant,
    requester: Requester,
    request: &RequestView<'_>,
    out: &mut Vec<Effect>,
) {
    out.push(Effect::Count {
        counter: Counter::Requests,
        amount_count: 1,
    });
    shutdown::record_activity(state, now);
    let ticket = match request.kind {
        ExecutionKind::Idempotent => None,
        ExecutionKind::Once { ticket } => Some(ticket),
    };
    if let Some(ticket) = ticket
        && !ticket::redeem(state, now, requester, request, ticket, out)
    {
        return;
    }
    if let Err(reason) = validate(state, now, request) {
        refuse(state, requester, request.request_id, ticket, reason, out);
        return;
    }
    let key = query::accept(
        &mut state.queries,
        &state.settings.query,
        now,
        requester,
        request,
        out,
    );
    if ticket.is_some() {
        pin_service(state, key);
    }
    let candidate = Candidate {
        key,
        front: request.front,
        priority: request.priority,
        deadline: state.queries.queries[key].deadline,
    };
    match admit::decide(&mut state.admission, &state.settings.admit, now, &candidate) {
        AdmissionDecision::Start => {
            let finished = query::start(&mut state.queries, &mut state.routes, now, key, out);
            completion::complete_queries(state, now, finished, out);
        }
        AdmissionDecision::Queue => {}
        AdmissionDecision::QueueAndEvict(evicted) => {
            refuse_query(state, evicted, NotRunReason::Overloaded, out)
        }
        AdmissionDecision::Refuse => refuse_query(state, key, NotRunReason::Overloaded, out),
    }
}

/// Ends a queued or running query whose deadline has passed or whose caller has disconnected.
pub(crate) fn end_query(state: &mut State, now: Instant, key: QueryKey, out: &mut Vec<Effect>) {
    let Some(query) = state.queries.queries.get(key) else {
        return;
    };
    if query.is_running {
        late_call::track_in_flight(state, key);
        let finished = query::on_deadline(&mut state.queries, &mut state.routes, now, key, out);
        completion::complete_queries(state, now, finished, out);
        return;
    }
    admit::remove_queued(&mut state.admission, &query.front, key, query.priority);
    refuse_query(state, key, NotRunReason::Overloaded, out);
}

/// Removes a query that was not started and answers it as refused.
pub(crate) fn refuse_query(
    state: &mut State,
    key: QueryKey,
    reason: NotRunReason,
    out: &mut Vec<Effect>,
) {
    let Some(query) = state.queries.queries.remove(key) else {
        return;
    };
    let ticket = query.ticket.as_deref();
    refuse(
        state,
        query.requester,
        &query.request_id,
        ticket,
        reason,
        out,
    );
}

/// Ends the query of a caller that has disconnected.
///
/// A request with a ticket continues, because the caller can ask for its outcome later.
pub(crate) fn on_caller_gone(
    state: &mut State,
    now: Instant,
    caller: CallerKey,
    out: &mut Vec<Effect>,
) {
    let requester = Requester::Caller(caller);
    let queries = state.queries.queries.iter();
    let mut cancellable =
        queries.filter(|(_, query)| query.requester == requester && query.ticket.is_none());
    let Some((key, _)) = cancellable.next() else {
        return;
    };
    end_query(state, now, key, out);
}

/// Sends hedged calls for those calls of a query that have taken unusually long.
///
/// These are not the calls of the `late_call` module, which outlive their query.
pub(crate) fn on_hedge_timer(
    state: &mut State,
    now: Instant,
    key: QueryKey,
    out: &mut Vec<Effect>,
) {
    let Some(query) = state.queries.queries.get(key) else {
        return;
    };
    let is_overloaded = admit::has_queue(&state.admission, &query.front);
    query::on_hedge_timer(
        &mut state.queries,
        &mut state.routes,
        now,
        key,
        is_overloaded,
        out,
    );
}

/// Runs the periodic work on targets and queries, and updates the concurrency limits.
pub(crate) fn tick(state: &mut State, now: Instant, out: &mut Vec<Effect>) {
    route::tick(&mut state.routes, now, out);
    query::tick(&mut state.queries, &mut state.routes, now, out);
    completion::complete_queries(state, now, None, out);
    capacity::update_concurrency_limits(state, now, out);
}

/// Refuses a request; if it has a ticket, the refusal is stored as its outcome.
pub(crate) fn refuse(
    state: &mut State,
    requester: Requester,
    request_id: &str,
    ticket: Option<&str>,
    reason: NotRunReason,
    out: &mut Vec<Effect>,
) {
    out.push(Effect::Count {
        counter: Counter::Refusals,
        amount_count: 1,
    });
    let finished = FinishedQuery {
        requester,
        ticket: ticket.map(str::to_owned),
        front: String::new(),
        run_time: Duration::ZERO,
        answer: ticket::answer_without_results(request_id, Outcome::NotRun(reason)),
    };
    completion::answer_query(state, finished, out);
}

fn validate(state: &State, now: Instant, request: &RequestView<'_>) -> Result<(), NotRunReason> {
    if state.fleet.note.is_none() {
        return Err(NotRunReason::NoConfiguration);
    }
    let Some(front) = state.routes.fronts.get(request.front) else {
        return Err(NotRunReason::UnknownFront);
    };
    if front.is_once_only && request.kind == ExecutionKind::Idempotent {
        return Err(NotRunReason::TicketRequired);
    }
    if request.timeout <= state.settings.query.answer_reserve {
        return Err(NotRunReason::DeadlinePassed);
    }
    if quarantine::is_request_quarantined(state, now, request) {
        return Err(NotRunReason::Quarantined);
    }
    let Some(wanted) = request.service else {
        return match request.kind {
            ExecutionKind::Once { .. } if sole_service(front).is_none() => {
                Err(NotRunReason::ServiceRequired)
            }
            _ => Ok(()),
        };
    };
    let mut services = front.shard_maps.iter().flat_map(|map| map.services.iter());
    let is_known = services.any(|&service| {
        state
            .routes
            .services
            .get(service)
            .is_some_and(|service| &*service.name == wanted)
    });
    if is_known {
        Ok(())
    } else {
        Err(NotRunReason::UnknownService)
    }
}

/// Pins an at-most-once request to its service, so that a shard map change while the request is
/// queued cannot turn it into several calls.
fn pin_service(state: &mut State, key: QueryKey) {
    let Some(query) = state.queries.queries.get_mut(key) else {
        return;
    };
    if query.service.is_some() {
        return;
    }
    let front = state.routes.fronts.get(&query.front);
    let service = front.and_then(sole_service);
    let service = service.and_then(|service| state.routes.services.get(service));
    query.service = service.map(|service| service.name.to_string());
}

/// Returns a front's service if all its shard maps together name exactly one.
fn sole_service(front: &Front) -> Option<ServiceKey> {
    let mut services = front.shard_maps.iter().flat_map(|map| map.services.iter());
    let &first = services.next()?;
    services.all(|&service| service == first).then_some(first)
}
