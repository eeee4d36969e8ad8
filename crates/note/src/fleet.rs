//! Data types of a release note.

use std::net::SocketAddr;

use model::{Revision, Snapshot};
use serde::{Deserialize, Serialize};

/// A published configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Note {
    /// Revision of the configuration.
    pub revision: Revision,
    /// Paths of items that the previous revision did not have, such as `service/katalog-01`.
    pub added: Vec<String>,
    /// Paths of items that differ from the previous revision.
    pub changed: Vec<String>,
    /// Paths of items that only the previous revision had.
    pub withdrawn: Vec<String>,
    /// The complete fleet after the change.
    pub fleet: Fleet,
}

/// The configured fleet.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Fleet {
    /// Availability zones.
    pub zones: Vec<Zone>,
    /// Fronts that callers can query.
    pub fronts: Vec<Front>,
    /// Services with their targets.
    pub services: Vec<Service>,
    /// Fingerprints of requests that operators exempt from quarantine.
    pub released_fingerprints: Vec<u64>,
}

/// Whether an availability zone may receive new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ZoneState {
    /// In use.
    In,
    /// Taken out of service by operators.
    Out,
}

/// An availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Zone {
    /// Unique name.
    pub name: String,
    /// Whether it may receive new work.
    pub state: ZoneState,
}

/// Assignment of a front's shards to services, valid from one snapshot on.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ShardMap {
    /// First snapshot that uses this assignment.
    pub from_snapshot: Snapshot,
    /// Names of the services, in the order of the results in answers.
    pub services: Vec<String>,
}

/// Which requests a front accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Default)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AcceptedRequests {
    /// Idempotent requests, and at-most-once requests under a ticket.
    #[default]
    Any,
    /// Only at-most-once requests under a ticket.
    Once,
}

/// A front: a logical endpoint that callers query by name.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Front {
    /// Unique name.
    pub name: String,
    /// Which requests it accepts.
    #[serde(default)]
    pub requests: AcceptedRequests,
    /// Availability zones whose targets serve the front; empty for all zones.
    pub zones: Vec<String>,
    /// Shard assignments, by ascending first snapshot.
    pub shard_maps: Vec<ShardMap>,
}

/// A service: one shard, served by one or more targets.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Service {
    /// Unique name.
    pub name: String,
    /// Replicas of the shard.
    pub targets: Vec<Target>,
}

/// Whether a target may receive new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetState {
    /// In use.
    In,
    /// Completes its calls in flight and receives no new ones.
    Leaving,
}

/// A target: one replica of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Target {
    /// Unique name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address of its HTTP port.
    pub address: SocketAddr,
    /// Calls that it can execute concurrently.
    pub slots_count: u32,
    /// Connections that it accepts from all instances together.
    pub connections_max_count: u32,
    /// Concurrent calls that it can serve in cold start, from all instances together.
    pub cold_bearable_count: u32,
    /// Whether it may receive new work.
    pub state: TargetState,
}
