//! The dump of an instance's state for operators.

use serde::Serialize;

use crate::State;

/// The whole state in a form that can be encoded.
#[derive(Debug)]
#[derive(Serialize)]
pub struct Dump<'a> {
    /// Settings in force.
    pub settings: &'a settings::Settings,
    /// Configuration and membership.
    pub fleet: &'a fleet::FleetState,
    /// Fronts, services and targets.
    pub routes: &'a route::Routes,
    /// Queries that wait or run.
    pub queries: &'a query::Queries,
    /// The queue.
    pub admission: &'a admit::Admission,
    /// Callers' HTTP requests by host and path.
    pub gateway: Option<&'a gateway::Gateway>,
    /// Tickets and their outcomes.
    pub once: &'a once::OnceState,
}

/// Returns a view of the whole state.
pub fn dump(state: &State) -> Dump<'_> {
    Dump {
        settings: &state.settings,
        fleet: &state.fleet,
        routes: &state.routes,
        queries: &state.queries,
        admission: &state.admission,
        gateway: state.gateway.as_ref(),
        once: &state.once,
    }
}
