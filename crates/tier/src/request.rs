//! A caller's request: checks, admission and deadline.

use std::time::Instant;

use admit::Verdict;
use model::{
    Answer, CallerKey, Counter, Coverage, Effect, Kind, NotRunReason, Outcome, QueryKey,
    RequestView, Requester,
};
use query::Finished;

use crate::{State, settle};

/// Checks a request, then starts it, queues it or refuses it.
pub(crate) fn offered(
    state: &mut State,
    now: Instant,
    caller: CallerKey,
    request: &RequestView<'_>,
    out: &mut Vec<Effect>,
) {
    out.push(Effect::Count {
        counter: Counter::Requests,
        amount_count: 1,
    });
    let requester = Requester::Caller(caller);
    if let Err(reason) = check(state, request) {
        refuse(requester, request.request_id, reason, out);
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
    let admission = &mut state.admission;
    match admit::offer(admission, &state.settings.admit, key, request.priority) {
        Verdict::Start => {
            let finished = query::start(&mut state.queries, &mut state.routes, now, key, out);
            settle::settle(state, now, finished, out);
        }
        Verdict::Wait => {}
        Verdict::Refuse => {
            state.queries.queries.remove(key);
            refuse(requester, request.request_id, NotRunReason::Overloaded, out);
        }
    }
}

/// Ends a query at its deadline, whether it waits or runs.
pub(crate) fn deadline(state: &mut State, now: Instant, key: QueryKey, out: &mut Vec<Effect>) {
    let Some(query) = state.queries.queries.get(key) else {
        return;
    };
    if query.is_running {
        let finished = query::deadline(&mut state.queries, &mut state.routes, now, key, out);
        settle::settle(state, now, finished, out);
        return;
    }
    admit::withdrawn(&mut state.admission, key, query.priority);
    refuse(
        query.requester,
        &query.request_id,
        NotRunReason::Overloaded,
        out,
    );
    state.queries.queries.remove(key);
    settle::exit_if_idle(state, out);
}

/// Answers a request that does not run.
pub(crate) fn refuse(
    requester: Requester,
    request_id: &str,
    reason: NotRunReason,
    out: &mut Vec<Effect>,
) {
    out.push(Effect::Count {
        counter: Counter::Refusals,
        amount_count: 1,
    });
    let answer = Answer {
        request_id: request_id.to_owned(),
        outcome: Outcome::NotRun(reason),
        snapshot: None,
        coverage: Coverage::default(),
        results: Vec::new(),
    };
    settle::answer(
        Finished {
            requester,
            ticket: None,
            answer,
        },
        out,
    );
}

fn check(state: &State, request: &RequestView<'_>) -> Result<(), NotRunReason> {
    if state.fleet.note.is_none() {
        return Err(NotRunReason::NoConfiguration);
    }
    let Some(front) = state.routes.fronts.get(request.front) else {
        return Err(NotRunReason::UnknownFront);
    };
    if request.timeout <= state.settings.query.answer_reserve {
        return Err(NotRunReason::DeadlinePassed);
    }
    if let Kind::Once { .. } = request.kind {
        return Err(NotRunReason::BadTicket);
    }
    let Some(wanted) = request.service else {
        return Ok(());
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
