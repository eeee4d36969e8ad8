//! The whole state of an instance.

use std::time::Instant;

use admit::Admission;
use fleet::FleetState;
use gateway::Gateway;
use model::Revision;
use once::{OnceState, Owner};
use query::Queries;
use route::{Limits, Routes};
use settings::Settings;

/// The whole state of an instance.
#[derive(Clone, Debug)]
pub struct State {
    /// Settings from the file.
    pub settings: Settings,
    /// Configuration and membership.
    pub fleet: FleetState,
    /// Fronts, services and targets.
    pub routes: Routes,
    /// Queries that wait or run.
    pub queries: Queries,
    /// The queue.
    pub admission: Admission,
    /// Callers' HTTP requests by host and path, if the settings ask for it.
    pub gateway: Option<Gateway>,
    /// When the process was asked to shut down.
    pub leaving_since: Option<Instant>,
    /// Whether the end of the process was asked for.
    pub is_exiting: bool,
    /// When the process started.
    pub started_at: Option<Instant>,
    /// Tickets and their outcomes.
    pub once: OnceState,
    /// When every target of an accepted configuration had been asked once.
    pub targets_asked_at: Option<Instant>,
    /// Whether this instance's part of the targets has been in force once.
    pub can_call_targets: bool,
    /// When the last tick ran.
    pub last_tick: Option<Instant>,
    /// When the last request arrived or was seen in flight.
    pub last_activity: Option<Instant>,
}

/// Returns the state of an instance that has just started.
///
/// `incarnation` must be larger than that of every earlier run of the instance. `seed` must be
/// unpredictable; the same seed gives the same random numbers.
pub fn open(settings: Settings, incarnation: u64, seed: u64) -> State {
    let owner = Owner {
        address: settings.listen.peers,
        incarnation,
    };
    State {
        once: once::open(owner, seed),
        gateway: settings
            .gateway
            .as_ref()
            .map(|settings| gateway::open(settings, seed)),
        leaving_since: None,
        is_exiting: false,
        started_at: None,
        last_activity: None,
        targets_asked_at: None,
        can_call_targets: false,
        fleet: fleet::open(&settings, incarnation),
        routes: Routes {
            limits: limits(&settings),
            ..Routes::default()
        },
        queries: Queries {
            budgets: query::open_budgets(&settings.query),
            ..Queries::default()
        },
        admission: Admission::default(),
        last_tick: None,
        settings,
    }
}

fn limits(settings: &Settings) -> Limits {
    Limits {
        own_zone_name: settings.instance.zone.clone(),
        probe_idle: settings.route.probe_idle,
        ramp_success_count: settings.route.ramp_success_count,
        late_ratio: settings.query.hedge_quantile_ratio,
    }
}

/// Tells whether the instance should receive new requests.
pub fn is_ready(state: &State) -> bool {
    if let Some(gateway) = &state.gateway {
        return gateway::is_known(gateway) && !gateway.is_isolated && !state.fleet.is_leaving;
    }
    fleet::is_joined(&state.fleet) && state.can_call_targets && !state.fleet.is_leaving
}

/// Tells whether callers should turn to another instance, so that their connections end with the
/// next answer.
pub fn turns_callers_away(state: &State) -> bool {
    let gateway = state.gateway.as_ref();
    state.fleet.is_leaving || gateway.is_some_and(|gateway| gateway.is_isolated)
}

/// Returns the accepted revision, or 0 if there is none.
pub fn revision(state: &State) -> Revision {
    match &state.gateway {
        Some(gateway) => gateway.catalog.version,
        None => state.fleet.note.as_ref().map_or(0, |note| note.revision),
    }
}
