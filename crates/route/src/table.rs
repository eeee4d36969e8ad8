//! The table of fronts, services, targets and zones.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use model::{Revision, ServiceKey, Snapshot, TargetKey, TargetPhase, ZoneKey};
use serde::Serialize;
use slotmap::SlotMap;

use crate::{
    latency::Latency,
    reach::Reach,
    share::{Division, Offsets},
    warmth::Warmth,
};

/// Everything known about the fronts and what serves them.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct Routes {
    /// Revision of the configuration that the table was made from, or 0.
    pub revision: Revision,
    /// Fronts by name.
    pub fronts: BTreeMap<String, Front>,
    /// Services.
    pub services: SlotMap<ServiceKey, Service>,
    /// Targets.
    pub targets: SlotMap<TargetKey, Target>,
    /// Availability zones.
    pub zones: SlotMap<ZoneKey, Zone>,
    /// This instance's zone, if the configuration has it.
    pub own_zone: Option<ZoneKey>,
    /// Who divides the targets.
    pub division: Division,
    /// Zones that may receive new work while the configuration may be out of date; all if `None`.
    pub confined_to: Option<Vec<ZoneKey>>,
    /// When the process resumed after its last pause.
    #[serde(skip)]
    pub resumed_at: Option<Instant>,
    /// Settings.
    pub limits: Limits,
}

/// Settings of the choice of targets.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Limits {
    /// Name of this instance's zone.
    pub own_zone_name: String,
    /// Time after which a target without traffic is asked for its load.
    pub probe_idle: Duration,
    /// Successful calls in cold start after which a target's allowance grows by one.
    pub ramp_success_count: u32,
    /// Quantile of a service's latency after which a call is late, 0 to 1.
    pub late_ratio: f64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            own_zone_name: String::new(),
            probe_idle: Duration::from_secs(1),
            ramp_success_count: 20,
            late_ratio: 0.98,
        }
    }
}

/// A front.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Front {
    /// Whether it takes only requests that run at most once.
    pub is_once_only: bool,
    /// Zones whose targets serve the front; all zones if empty.
    pub zones: Vec<ZoneKey>,
    /// Divisions into shards, by ascending first snapshot.
    pub shard_maps: Vec<ShardMap>,
}

/// The division of a front into shards from one snapshot on.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct ShardMap {
    /// First snapshot divided in this way.
    pub from_snapshot: Snapshot,
    /// Services in the order of the answer's results.
    pub services: Arc<[ServiceKey]>,
}

/// A service.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Service {
    /// Unique name.
    pub name: Arc<str>,
    /// Replicas.
    pub targets: Vec<TargetKey>,
    /// How long its calls take.
    pub latency: Latency,
}

/// An availability zone.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Zone {
    /// Unique name.
    pub name: String,
    /// Whether operators have taken it out.
    pub is_out: bool,
}

/// A target and what this instance knows about it.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Target {
    /// Unique name.
    pub name: String,
    /// Its service.
    pub service: ServiceKey,
    /// Its zone.
    pub zone: ZoneKey,
    /// Address of its HTTP port.
    pub address: SocketAddr,
    /// Calls that it executes at the same time.
    pub slots_count: u32,
    /// Connections that it accepts from all instances together.
    pub connections_max_count: u32,
    /// Concurrent calls that it bears in cold start from all instances together.
    pub cold_bearable_count: u32,
    /// Whether operators are withdrawing it.
    pub is_leaving: bool,
    /// Offsets that spread what does not divide among the instances.
    pub offsets: Offsets,
    /// Connections that this instance may hold.
    pub share_count: u32,
    /// Concurrent calls that this instance may have in flight while the target is cold.
    pub cold_share_count: u32,
    /// Calls of this instance that occupy a connection, cancelled ones included.
    pub in_flight_count: u32,
    /// Calls of other instances, by the last report.
    pub foreign_count: u32,
    /// When the last report arrived.
    #[serde(skip)]
    pub reported_at: Option<Instant>,
    /// Phase of life as reported.
    pub phase: TargetPhase,
    /// Calls that the target bears, as reported.
    pub reported_bearable_count: u32,
    /// Identifier of the target's process, 0 until the first report.
    pub incarnation: u64,
    /// Oldest snapshot served.
    pub oldest_snapshot: Snapshot,
    /// Newest snapshot served.
    pub newest_snapshot: Snapshot,
    /// Mean latency of the last calls, zero before the first one.
    pub mean_latency: Duration,
    /// Whether it can be reached.
    pub reach: Reach,
    /// Whether it is in cold start.
    pub warmth: Warmth,
}
