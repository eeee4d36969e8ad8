//! Status summary for operators.

use std::time::{Duration, Instant};

use gateway::Gateway;
use model::Revision;
use serde::Serialize;

use crate::{State, is_ready, revision};

/// Status summary of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Status {
    /// Name of the instance.
    pub name: String,
    /// Availability zone of the instance.
    pub zone: String,
    /// Revision of the accepted configuration, or 0 if there is none.
    pub revision: Revision,
    /// Age of the latest confirmation of the revision; `None` if it was never confirmed.
    pub confirmed_ms: Option<u64>,
    /// Whether the instance is ready to receive new requests.
    pub is_ready: bool,
    /// Whether the instance is shutting down.
    pub is_leaving: bool,
    /// Running queries; with a gateway, open exchanges.
    pub running_count: u64,
    /// Queries queued for admission; with a gateway, request parts waiting for a connection.
    pub waiting_count: u64,
    /// Calls in flight to targets; with a gateway, attempts in flight.
    pub calls_count: u64,
    /// Known members other than this instance.
    pub members_count: u64,
    /// Targets of the accepted configuration.
    pub targets_count: u64,
    /// Unreachable targets; with a gateway, targets that are replaced or in backoff.
    pub unreachable_targets_count: u64,
    /// Load of the busiest target over the mean of its service as this instance observes it, in
    /// percent; `None` without a gateway or enough reports.
    pub load_spread_percent: Option<u64>,
}

/// Returns the status of an instance.
pub fn status(state: &State, now: Instant) -> Status {
    if let Some(gateway) = &state.gateway {
        return gateway_status(state, gateway, now);
    }
    let front_queues = state.admission.front_queues.values();
    let running = front_queues
        .clone()
        .map(|front_queue| u64::from(front_queue.running_count));
    let waiting = front_queues.flat_map(|front_queue| &front_queue.queues);
    let waiting_count: usize = waiting.map(|queue| queue.len()).sum();
    let targets = state.routes.targets.values();
    let unreachable = targets.filter(|target| target.reachability.is_unreachable);
    Status {
        name: state.settings.instance.name.clone(),
        zone: state.settings.instance.zone.clone(),
        revision: revision(state),
        confirmed_ms: millis(fleet::freshness_age(&state.fleet, now)),
        is_ready: is_ready(state),
        is_leaving: state.fleet.is_leaving,
        running_count: running.sum(),
        waiting_count: waiting_count as u64,
        calls_count: state.queries.calls.len() as u64,
        members_count: state.fleet.members.len() as u64,
        targets_count: state.routes.targets.len() as u64,
        unreachable_targets_count: unreachable.count() as u64,
        load_spread_percent: None,
    }
}

fn gateway_status(state: &State, gateway: &Gateway, now: Instant) -> Status {
    let answered_at = gateway.sync.operators.answered_at;
    let shared_at = gateway.sync.operators.shared_at;
    let confirmed_at = answered_at.max(shared_at);
    let age = confirmed_at.map(|at| now.saturating_duration_since(at));
    let health = gateway.health.values();
    let unreachable =
        health.filter(|health| health.is_replaced || gateway::is_in_backoff(health, now));
    Status {
        name: state.settings.instance.name.clone(),
        zone: state.settings.instance.zone.clone(),
        revision: revision(state),
        confirmed_ms: age.and_then(millis),
        is_ready: is_ready(state),
        is_leaving: state.fleet.is_leaving,
        running_count: gateway.exchanges.len() as u64,
        waiting_count: gateway.queued_parts.len() as u64,
        calls_count: gateway.attempts.len() as u64,
        members_count: state.fleet.members.len() as u64,
        targets_count: gateway.catalog.targets.len() as u64,
        unreachable_targets_count: unreachable.count() as u64,
        // Conversion from float to integer saturates.
        load_spread_percent: gateway
            .load_spread_ratio
            .map(|ratio| (ratio * 100.0) as u64),
    }
}

/// Returns whole milliseconds, or `None` for [`Duration::MAX`], which stands for "never".
fn millis(duration: Duration) -> Option<u64> {
    if duration == Duration::MAX {
        return None;
    }
    u64::try_from(duration.as_millis()).ok()
}
