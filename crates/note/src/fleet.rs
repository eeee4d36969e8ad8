//! The data of a release note.

use std::net::SocketAddr;

use model::{Revision, Snapshot};
use serde::{Deserialize, Serialize};

/// A published configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Note {
    /// Number of the configuration.
    pub revision: Revision,
    /// Paths of what is new since the previous revision, such as `service/katalog-01`.
    pub added: Vec<String>,
    /// Paths of what differs from the previous revision.
    pub changed: Vec<String>,
    /// Paths of what the previous revision had and this one has not.
    pub withdrawn: Vec<String>,
    /// The whole fleet after the change.
    pub fleet: Fleet,
}

/// Everything that serves or is served.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Fleet {
    /// Availability zones.
    pub zones: Vec<Zone>,
    /// Fronts that callers can ask.
    pub fronts: Vec<Front>,
    /// Services with their targets.
    pub services: Vec<Service>,
    /// Fingerprints of requests that operators release from quarantine.
    pub released_fingerprints: Vec<u64>,
}

/// Whether an availability zone may receive new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ZoneState {
    /// In use.
    In,
    /// Taken out by operators.
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

/// The services that hold the shards of a front from one snapshot on.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ShardMap {
    /// First snapshot that is divided in this way.
    pub from_snapshot: Snapshot,
    /// Names of the services, in the order of the answer's results.
    pub services: Vec<String>,
}

/// Which requests a front takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Default)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Requests {
    /// Reads, and orders under a ticket.
    #[default]
    Any,
    /// Only requests under a ticket, which run at most once.
    Once,
}

/// A front that callers can ask.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Front {
    /// Unique name.
    pub name: String,
    /// Which requests it takes.
    #[serde(default)]
    pub requests: Requests,
    /// Availability zones whose targets serve the front; all zones if empty.
    pub zones: Vec<String>,
    /// Divisions into shards, by ascending first snapshot.
    pub shard_maps: Vec<ShardMap>,
}

/// A service: one shard, held by one or more targets.
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
    /// Finishes its calls and takes no new ones.
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
    /// Calls that it executes at the same time.
    pub slots_count: u32,
    /// Connections that it accepts from all instances together.
    pub connections_max_count: u32,
    /// Concurrent calls that it bears in cold start from all instances together.
    pub cold_bearable_count: u32,
    /// Whether it may receive new work.
    pub state: TargetState,
}
