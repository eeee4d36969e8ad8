//! How many queries of each front may run, from the capacity of its targets.

use std::time::Instant;

use model::Effect;

use crate::{State, settle};

/// Sets the limit of every front and starts the queries that this allows.
pub(crate) fn update(state: &mut State, now: Instant, out: &mut Vec<Effect>) {
    let routes = &state.routes;
    let lanes = &mut state.admission.lanes;
    lanes.retain(|front, lane| routes.fronts.contains_key(front) || !admit::is_idle(lane));
    let fronts: Vec<String> = routes.fronts.keys().cloned().collect();
    for front in fronts {
        let limit_count = route::running_limit(&state.routes, &front);
        admit::set_limit(
            &mut state.admission,
            &state.settings.admit,
            &front,
            limit_count,
        );
        settle::start_waiting(state, now, &front, out);
    }
}
