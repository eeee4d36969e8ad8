//! State dump for operators.

use serde::Serialize;

use crate::State;

/// Serializable view of the state.
#[derive(Debug)]
#[derive(Serialize)]
pub struct Dump<'a> {
    /// Settings in force.
    pub settings: &'a settings::Settings,
    /// Configuration and membership.
    pub fleet: &'a fleet::FleetState,
    /// Fronts, services, targets and connection shares.
    pub routes: &'a route::Routes,
    /// Queued and running queries.
    pub queries: &'a query::Queries,
    /// Admission queues and concurrency limits by front.
    pub admission: &'a admit::Admission,
    /// HTTP gateway, if configured.
    pub gateway: Option<&'a gateway::Gateway>,
    /// Tickets, their outcomes and the request quarantine.
    pub once: &'a once::OnceState,
}

/// Returns a serializable view of the state.
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
