//! The routing table: fronts, services, targets and zones.

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
    cold_start::ColdStart,
    latency::Latency,
    reachability::Reachability,
    share::{Division, RemainderOffsets},
};

/// The routing table, with the observed state of every service and target.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct Routes {
    /// Revision of the configuration that the table was built from; 0 before the first one.
    pub revision: Revision,
    /// Fronts by name.
    pub fronts: BTreeMap<String, Front>,
    /// Services.
    pub services: SlotMap<ServiceKey, Service>,
    /// Targets.
    pub targets: SlotMap<TargetKey, Target>,
    /// Availability zones.
    pub zones: SlotMap<ZoneKey, Zone>,
    /// This instance's zone; `None` if the configuration does not contain it.
    pub own_zone: Option<ZoneKey>,
    /// The set of instances that share the connections of every target.
    pub division: Division,
    /// Zones that may receive new calls while the configuration may be out of date; all if `None`.
    pub confined_to: Option<Vec<ZoneKey>>,
    /// When the process resumed after its last pause.
    #[serde(skip)]
    pub resumed_at: Option<Instant>,
    /// Settings of target selection.
    #[serde(rename = "limits")]
    pub settings: RouteSettings,
}

/// Settings of target selection.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct RouteSettings {
    /// Name of this instance's zone.
    pub own_zone_name: String,
    /// Time without a reply after which a target is probed.
    pub probe_idle: Duration,
    /// Successful calls in cold start after which this instance may send one more concurrent call.
    pub ramp_success_count: u32,
    /// Quantile of a service's latency beyond which a call counts as late, 0 to 1.
    pub late_ratio: f64,
}

impl Default for RouteSettings {
    fn default() -> RouteSettings {
        RouteSettings {
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
    /// Whether it accepts only requests that run at most once.
    pub is_once_only: bool,
    /// Zones whose targets serve the front; all zones if empty.
    pub zones: Vec<ZoneKey>,
    /// Shard maps by ascending first snapshot.
    pub shard_maps: Vec<ShardMap>,
}

/// How a front is divided into shards, valid from one snapshot until the next map's first one.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct ShardMap {
    /// First snapshot that the map applies to.
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
    /// Latency of its calls.
    pub latency: Latency,
}

/// An availability zone.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Zone {
    /// Unique name.
    pub name: String,
    /// Whether operators have taken it out of service.
    pub is_out: bool,
}

/// A target, as configured and as observed by this instance.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Target {
    /// Unique name.
    pub name: String,
    /// Service that it is a replica of.
    pub service: ServiceKey,
    /// Zone that it runs in.
    pub zone: ZoneKey,
    /// Address of its HTTP port.
    pub address: SocketAddr,
    /// Calls that it executes concurrently.
    pub slots_count: u32,
    /// Limit of its connections from all instances together.
    pub connections_max_count: u32,
    /// Limit of its concurrent calls in cold start from all instances together, as configured.
    pub cold_bearable_count: u32,
    /// Whether the configuration marks it as leaving, so that it receives no new calls.
    pub is_leaving: bool,
    /// Offsets that decide which instances receive the remainder of a limit that does not divide
    /// evenly.
    pub offsets: RemainderOffsets,
    /// This instance's share of the connections.
    pub share_count: u32,
    /// This instance's share of the concurrent calls in cold start.
    pub cold_share_count: u32,
    /// Calls of this instance that occupy a connection, cancelled ones that have not ended
    /// included.
    pub in_flight_count: u32,
    /// Running and queued calls of other instances, estimated from the last load report; 0 if that
    /// is too old.
    #[serde(rename = "foreign_count")]
    pub others_in_flight_count: u32,
    /// When the last load report arrived.
    #[serde(skip)]
    pub reported_at: Option<Instant>,
    /// Lifecycle phase in the last load report.
    pub phase: TargetPhase,
    /// Concurrent calls that the target can sustain, as in its last load report.
    pub reported_bearable_count: u32,
    /// Identifier of the target's process; 0 until the first load report.
    pub incarnation: u64,
    /// Oldest snapshot served.
    pub oldest_snapshot: Snapshot,
    /// Newest snapshot served.
    pub newest_snapshot: Snapshot,
    /// Moving average of the latency; zero before the first call.
    pub mean_latency: Duration,
    /// Reachability and probe state.
    #[serde(rename = "reach")]
    pub reachability: Reachability,
    /// Cold-start state.
    #[serde(rename = "warmth")]
    pub cold_start: ColdStart,
}
