//! State of an instance.

use std::time::Instant;

use admit::Admission;
use fleet::FleetState;
use gateway::Gateway;
use model::Revision;
use once::{OnceState, Owner};
use query::Queries;
use route::{RouteSettings, Routes};
use settings::Settings;

use crate::store_era::{self, CatchUp};

/// State of an instance, changed only by [`reduce`](crate::reduce).
#[derive(Clone, Debug)]
pub struct State {
    /// Settings in force.
    pub settings: Settings,
    /// Configuration and membership.
    pub fleet: FleetState,
    /// Fronts, services, targets and connection shares.
    pub routes: Routes,
    /// Queued and running queries.
    pub queries: Queries,
    /// Admission queues and concurrency limits by front.
    pub admission: Admission,
    /// HTTP gateway, if configured.
    pub gateway: Option<Gateway>,
    /// When the shutdown started; `None` before it.
    pub leaving_since: Option<Instant>,
    /// Whether `Effect::Exit` has been emitted.
    pub is_exiting: bool,
    /// Whether the configuration that the store lists may be older than the one in force.
    pub catch_up: CatchUp,
    /// When the `Started` event was handled.
    pub started_at: Option<Instant>,
    /// Tickets, their outcomes and the request quarantine.
    pub once: OnceState,
    /// When every target of the accepted configuration was first found probed.
    pub targets_probed_at: Option<Instant>,
    /// Whether every target was probed and then either this instance's connection shares were in
    /// force or `fleet.join_limit` passed; never reset.
    pub can_call_targets: bool,
    /// When the last tick ran; after a detected pause, when the pause was detected.
    pub last_tick_at: Option<Instant>,
    /// When a request last arrived or was last seen in flight, or when the shutdown started.
    pub last_activity_at: Option<Instant>,
}

/// Returns the initial state of an instance.
///
/// `incarnation` must be greater than in every earlier run of the instance. `seed` determines all
/// random numbers; in production it must be unpredictable.
pub fn new_state(settings: Settings, incarnation: u64, seed: u64) -> State {
    let owner = Owner {
        address: settings.listen.peers,
        incarnation,
    };
    State {
        once: once::new_state(owner, seed),
        gateway: settings
            .gateway
            .as_ref()
            .map(|settings| gateway::new_state(settings, seed)),
        leaving_since: None,
        is_exiting: false,
        catch_up: CatchUp::default(),
        started_at: None,
        last_activity_at: None,
        targets_probed_at: None,
        can_call_targets: false,
        fleet: fleet::new_state(&settings, incarnation, seed),
        routes: Routes {
            settings: route_settings(&settings),
            ..Routes::default()
        },
        queries: Queries {
            budgets: query::new_budgets(&settings.query),
            ..Queries::default()
        },
        admission: Admission::default(),
        last_tick_at: None,
        settings,
    }
}

fn route_settings(settings: &Settings) -> RouteSettings {
    RouteSettings {
        own_zone_name: settings.instance.zone.clone(),
        probe_idle: settings.route.probe_idle,
        ramp_success_count: settings.route.ramp_success_count,
        late_ratio: settings.query.hedge_quantile_ratio,
    }
}

/// Returns whether the instance is ready to receive new requests.
pub fn is_ready(state: &State) -> bool {
    if let Some(gateway) = &state.gateway {
        let can_serve = gateway::is_known(gateway) && !store_era::is_behind(state);
        return can_serve && !gateway.is_isolated && !state.fleet.is_leaving;
    }
    fleet::is_joined(&state.fleet) && state.can_call_targets && !state.fleet.is_leaving
}

/// Returns whether caller connections are closed after the next answer, so that callers reconnect
/// to another instance.
pub fn is_draining_callers(state: &State) -> bool {
    let gateway = state.gateway.as_ref();
    state.fleet.is_leaving || gateway.is_some_and(|gateway| gateway.is_isolated)
}

/// Returns the revision of the accepted configuration, or 0 if there is none.
pub fn revision(state: &State) -> Revision {
    match &state.gateway {
        Some(gateway) => gateway.catalog.version,
        None => state.fleet.note.as_ref().map_or(0, |note| note.revision),
    }
}
