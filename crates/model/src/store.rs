//! What the platform's metadata store publishes: fronts, targets, and zones that are taken out.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

/// A part of the store that is listed and watched on its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StoreArea {
    /// The operators' words: the configuration and the zones that are taken out.
    Operators,
    /// The registrations of targets.
    Targets,
}

/// A read of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum StoreRead {
    /// Return a page of an area's items.
    List {
        /// The area.
        area: StoreArea,
        /// Key after which the page begins.
        after: Option<String>,
    },
    /// Wait for changes of an area.
    Watch {
        /// The area.
        area: StoreArea,
        /// Revision after which changes are wanted.
        after_revision: u64,
        /// Longest time to wait for the first change.
        wait: Duration,
    },
}

impl StoreRead {
    /// Returns the area that is read.
    pub fn area(&self) -> StoreArea {
        match self {
            StoreRead::List { area, .. } | StoreRead::Watch { area, .. } => *area,
        }
    }
}

/// Why the store gave no value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StoreFailure {
    /// The store could not be reached, did not answer in time, or gave an answer without meaning.
    Unreachable,
    /// The store refused the read.
    Refused,
    /// The store no longer holds the changes after the wanted revision.
    HistoryGone,
}

/// One item of the store, decoded.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Record {
    /// The newest configuration, in full.
    Configuration(Configuration),
    /// A zone is taken out, or taken back.
    ZoneOut {
        /// The zone.
        zone: String,
        /// Whether it is taken out.
        is_out: bool,
    },
    /// A target's own registration.
    Target {
        /// The target's identifier.
        target_id: String,
        /// What it says, or nothing if the entry names no target that could be used.
        registration: Option<Registration>,
    },
    /// A registration was removed.
    TargetRemoved {
        /// The target's identifier.
        target_id: String,
    },
    /// An item that cannot be read.
    Unreadable {
        /// Its key.
        key: String,
        /// Why.
        reason: String,
    },
}

/// The operators' configuration of the gateway.
#[derive(Clone, Debug, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Configuration {
    /// Version; a larger one is newer.
    pub version: u64,
    /// Fronts.
    pub fronts: Vec<FrontEntry>,
    /// Services.
    pub services: Vec<ServiceEntry>,
}

/// A front: the requests to one host below one path prefix.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct FrontEntry {
    /// Name, unique in the configuration.
    pub name: String,
    /// Host.
    pub host: String,
    /// Prefix of the path; begins and ends with a slash.
    pub prefix: String,
    /// Whether a request may be executed more than once.
    pub is_idempotent: bool,
    /// Longest time to keep a caller waiting.
    pub timeout: Duration,
    /// Time within which an answer is of full use.
    pub goal: Option<Duration>,
    /// Rank under overload; 0 is the highest.
    pub rank: u32,
    /// Targets of a service to which one request may be sent.
    pub attempts_max_count: u32,
    /// Where the requests go.
    pub destination: Destination,
}

/// Where the requests of a front go.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Destination {
    /// To one of these services, in the proportion of the weights.
    Split(Vec<(String, f64)>),
    /// To every service; the greatest records of their parts are the answer.
    Gather {
        /// The services, each of which holds one shard.
        services: Vec<String>,
        /// Records in the answer.
        records_count: u32,
        /// Least share of the services whose part has to be in the answer, 0 to 1.
        least_ratio: f64,
    },
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceEntry {
    /// Name.
    pub name: String,
    /// Connections that each target accepts from all instances together.
    pub connections_max_count: u32,
    /// Requests a second that a target bears in cold start, from all instances together.
    pub cold_max_per_s: f64,
}

/// A target's registration.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Registration {
    /// Name of its service.
    pub service: String,
    /// Address.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Requests that it executes at the same time.
    pub slots_count: u32,
    /// Whether it finishes its requests and takes no new ones.
    pub is_draining: bool,
    /// Time for which it stays cold.
    pub cold_for: Duration,
    /// Time of its start, Unix time; differs after a restart under the same identifier.
    pub born_ms: u64,
}
