//! A caller's request: checks, admission and deadline.

use std::time::{Duration, Instant};

use admit::{Candidate, Verdict};
use model::{
    CallerKey, Counter, Effect, Kind, NotRunReason, Outcome, QueryKey, RequestView, Requester,
    ServiceKey,
};
use query::Finished;
use route::Front;

use crate::{State, capacity, late, leave, poison, settle, ticket};

/// Checks a request, then starts it, queues it or refuses it.
pub(crate) fn offered(
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
    leave::note_activity(state, now);
    let ticket = match request.kind {
        Kind::Idempotent => None,
        Kind::Once { ticket } => Some(ticket),
    };
    if let Some(ticket) = ticket
        && !ticket::admit(state, now, requester, request, ticket, out)
    {
        return;
    }
    if let Err(reason) = check(state, now, request) {
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
        name_service(state, key);
    }
    let candidate = Candidate {
        key,
        front: request.front,
        priority: request.priority,
        deadline: state.queries.queries[key].deadline,
    };
    match admit::offer(&mut state.admission, &state.settings.admit, now, &candidate) {
        Verdict::Start => {
            let finished = query::start(&mut state.queries, &mut state.routes, now, key, out);
            settle::settle(state, now, finished, out);
        }
        Verdict::Wait => {}
        Verdict::WaitInsteadOf(evicted) => {
            refuse_query(state, evicted, NotRunReason::Overloaded, out)
        }
        Verdict::Refuse => refuse_query(state, key, NotRunReason::Overloaded, out),
    }
}

/// Ends a query at its deadline, whether it waits or runs.
pub(crate) fn deadline(state: &mut State, now: Instant, key: QueryKey, out: &mut Vec<Effect>) {
    let Some(query) = state.queries.queries.get(key) else {
        return;
    };
    if query.is_running {
        late::expect(state, key);
        let finished = query::deadline(&mut state.queries, &mut state.routes, now, key, out);
        settle::settle(state, now, finished, out);
        return;
    }
    admit::withdrawn(&mut state.admission, &query.front, key, query.priority);
    refuse_query(state, key, NotRunReason::Overloaded, out);
}

/// Ends a query that was not started.
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

/// Ends the queries that a caller no longer waits for; a request that runs once goes on.
pub(crate) fn caller_gone(
    state: &mut State,
    now: Instant,
    caller: CallerKey,
    out: &mut Vec<Effect>,
) {
    let gone = Requester::Caller(caller);
    let queries = state.queries.queries.iter();
    let mut unwanted =
        queries.filter(|(_, query)| query.requester == gone && query.ticket.is_none());
    let Some((key, _)) = unwanted.next() else {
        return;
    };
    deadline(state, now, key, out);
}

/// Hedges the late calls of a query.
pub(crate) fn hedge(state: &mut State, now: Instant, key: QueryKey, out: &mut Vec<Effect>) {
    let Some(query) = state.queries.queries.get(key) else {
        return;
    };
    let is_overloaded = admit::has_queue(&state.admission, &query.front);
    query::hedge(
        &mut state.queries,
        &mut state.routes,
        now,
        key,
        is_overloaded,
        out,
    );
}

/// Does the regular work on targets and queries.
pub(crate) fn tick(state: &mut State, now: Instant, out: &mut Vec<Effect>) {
    route::tick(&mut state.routes, now, out);
    query::tick(&mut state.queries, &mut state.routes, now, out);
    settle::settle(state, now, None, out);
    capacity::update(state, now, out);
}

/// Answers a request that does not run.
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
    let finished = Finished {
        requester,
        ticket: ticket.map(str::to_owned),
        front: String::new(),
        ran_for: Duration::ZERO,
        answer: ticket::bare(request_id, Outcome::NotRun(reason)),
    };
    settle::answer(state, finished, out);
}

fn check(state: &State, now: Instant, request: &RequestView<'_>) -> Result<(), NotRunReason> {
    if state.fleet.note.is_none() {
        return Err(NotRunReason::NoConfiguration);
    }
    let Some(front) = state.routes.fronts.get(request.front) else {
        return Err(NotRunReason::UnknownFront);
    };
    if front.is_once_only && request.kind == Kind::Idempotent {
        return Err(NotRunReason::TicketRequired);
    }
    if request.timeout <= state.settings.query.answer_reserve {
        return Err(NotRunReason::DeadlinePassed);
    }
    if poison::is_refused(state, now, request) {
        return Err(NotRunReason::Quarantined);
    }
    let Some(wanted) = request.service else {
        return match request.kind {
            Kind::Once { .. } if only_service(front).is_none() => {
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

/// Fixes the service of a request that runs once, so that a change of the shard map while the
/// request waits cannot turn it into several calls.
fn name_service(state: &mut State, key: QueryKey) {
    let Some(query) = state.queries.queries.get_mut(key) else {
        return;
    };
    if query.service.is_some() {
        return;
    }
    let front = state.routes.fronts.get(&query.front);
    let service = front.and_then(only_service);
    let service = service.and_then(|service| state.routes.services.get(service));
    query.service = service.map(|service| service.name.to_string());
}

/// Returns the service of a front that has had only one in every shard map.
fn only_service(front: &Front) -> Option<ServiceKey> {
    let mut services = front.shard_maps.iter().flat_map(|map| map.services.iter());
    let &first = services.next()?;
    services.all(|&service| service == first).then_some(first)
}
