//! Concurrency limit of each front, from the capacity of its targets.

use std::time::Instant;

use model::Effect;

use crate::{State, completion};

/// Updates every front's limit and starts the queued queries that fit.
///
/// Idle admission queues of fronts that no longer exist are removed.
pub(crate) fn update_concurrency_limits(state: &mut State, now: Instant, out: &mut Vec<Effect>) {
    let routes = &state.routes;
    let front_queues = &mut state.admission.front_queues;
    front_queues.retain(|front, front_queue| {
        routes.fronts.contains_key(front) || !admit::is_idle(front_queue)
    });
    let fronts: Vec<String> = routes.fronts.keys().cloned().collect();
    for front in fronts {
        let limit_count = route::query_concurrency_limit(&state.routes, &front);
        admit::set_limit(
            &mut state.admission,
            &state.settings.admit,
            &front,
            limit_count,
        );
        completion::start_queued_queries(state, now, &front, out);
    }
}
