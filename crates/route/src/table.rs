//! The table of fronts, services, targets and zones.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use model::{Revision, ServiceKey, Snapshot, TargetKey, TargetPhase, ZoneKey};
use serde::Serialize;
use slotmap::SlotMap;

/// Everything known about the fronts and what serves them.
#[derive(Clone, Debug, Default, Serialize)]
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
}

/// A front.
#[derive(Clone, Debug, Serialize)]
pub struct Front {
    /// Zones whose targets serve the front; all zones if empty.
    pub zones: Vec<ZoneKey>,
    /// Divisions into shards, by ascending first snapshot.
    pub shard_maps: Vec<ShardMap>,
}

/// The division of a front into shards from one snapshot on.
#[derive(Clone, Debug, Serialize)]
pub struct ShardMap {
    /// First snapshot divided in this way.
    pub from_snapshot: Snapshot,
    /// Services in the order of the answer's results.
    pub services: Arc<[ServiceKey]>,
}

/// A service.
#[derive(Clone, Debug, Serialize)]
pub struct Service {
    /// Unique name.
    pub name: Arc<str>,
    /// Replicas.
    pub targets: Vec<TargetKey>,
}

/// An availability zone.
#[derive(Clone, Debug, Serialize)]
pub struct Zone {
    /// Unique name.
    pub name: String,
    /// Whether operators have taken it out.
    pub is_out: bool,
}

/// A target and what this instance knows about it.
#[derive(Clone, Debug, Serialize)]
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
    /// Connections that this instance may hold.
    pub share_count: u32,
    /// Calls of this instance in flight.
    pub in_flight_count: u32,
    /// Phase of life as far as known.
    pub phase: TargetPhase,
    /// Identifier of the target's process, 0 until the first report.
    pub incarnation: u64,
    /// Oldest snapshot served.
    pub oldest_snapshot: Snapshot,
    /// Newest snapshot served.
    pub newest_snapshot: Snapshot,
    /// Whether the last attempt to reach it failed.
    pub is_unreachable: bool,
}
