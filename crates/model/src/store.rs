//! The contents of the platform's metadata store: configuration, registrations and disabled zones.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::Secret;

/// A part of the store that is listed and watched separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StoreArea {
    /// What operators publish: the configuration and the availability zones taken out of service.
    Operators,
    /// The registrations of targets.
    Targets,
}

/// A request to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum StoreRead {
    /// Return one page of an area's items.
    List {
        /// The area.
        area: StoreArea,
        /// Key after which the page begins; `None` for the first page.
        after: Option<String>,
    },
    /// Long poll for changes of an area.
    Watch {
        /// The area.
        area: StoreArea,
        /// Revision after which changes are requested.
        after_revision: u64,
        /// Maximum time to wait for the first change.
        wait: Duration,
    },
}

impl StoreRead {
    /// Returns the area to read.
    pub fn area(&self) -> StoreArea {
        match self {
            StoreRead::List { area, .. } | StoreRead::Watch { area, .. } => *area,
        }
    }
}

/// Why a read of the store failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StoreFailure {
    /// The store could not be reached, did not answer in time, or sent an invalid answer.
    Unreachable,
    /// The store refused the read.
    Refused,
    /// The changes after the requested revision have been compacted.
    #[serde(rename = "history-gone")]
    Compacted,
}

/// A decoded item of the store, or a change of one.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum StoreRecord {
    /// The complete current configuration.
    Configuration(Configuration),
    /// An availability zone was taken out of service or returned to it.
    ZoneOut {
        /// The zone.
        zone: String,
        /// Whether it is out of service.
        is_out: bool,
    },
    /// A target was registered or changed its registration.
    Target {
        /// Identifier of the target.
        target_id: String,
        /// The registration; `None` if it describes no usable target.
        registration: Option<Registration>,
    },
    /// A target's registration was removed.
    TargetRemoved {
        /// Identifier of the target.
        target_id: String,
    },
    /// An item that cannot be decoded.
    Unreadable {
        /// Its key.
        key: String,
        /// Why it cannot be decoded.
        reason: String,
    },
}

/// The gateway configuration that operators publish.
#[derive(Clone, Debug, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Configuration {
    /// Version number; a larger number is newer.
    pub version: u64,
    /// Fronts.
    pub fronts: Vec<FrontEntry>,
    /// Services.
    pub services: Vec<ServiceEntry>,
    /// Organisations whose callers may send requests; empty if callers need no key.
    pub organisations: Vec<OrganisationEntry>,
}

/// An organisation whose callers authenticate with its keys.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct OrganisationEntry {
    /// Unique name.
    pub name: String,
    /// Keys, each of which authenticates its callers.
    pub keys: Vec<Secret>,
    /// Priority rank that replaces the one of the front; 0 is the highest.
    pub rank: Option<u32>,
    /// Usage cap; `None` if the organisation has none.
    pub cap: Option<UsageCap>,
}

/// Requests that an organisation may send, over all instances together. Finite and positive.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct UsageCap {
    /// Requests per second.
    pub per_s: f64,
    /// Unused requests that may be sent at once later.
    pub burst_count: f64,
}

/// A front: all requests to one host under one path prefix.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct FrontEntry {
    /// Unique name.
    pub name: String,
    /// Host without the port.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Whether a request may be executed more than once.
    pub is_idempotent: bool,
    /// Maximum time until a caller is answered.
    pub timeout: Duration,
    /// Latency goal: time within which an answer has its full value to the caller.
    pub goal: Option<Duration>,
    /// Priority rank under overload; 0 is the highest.
    pub rank: u32,
    /// Whether callers need no key although the configuration names organisations.
    pub is_public: bool,
    /// Maximum number of targets of a service to which one request is sent.
    pub attempts_max_count: u32,
    /// Services that handle the requests.
    pub destination: Destination,
}

/// Services that handle the requests of a front.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Destination {
    /// Each request goes to one of these services, chosen in proportion to the weights.
    Split(Vec<(String, f64)>),
    /// Each request goes to every service; the greatest records of all results form the answer.
    Gather {
        /// Names of the services, each of which holds one shard.
        services: Vec<String>,
        /// Number of records in the answer.
        records_count: u32,
        /// Minimum share of the services whose result the answer must contain, 0 to 1.
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
    /// Requests per second that a target can serve in cold start, from all instances together.
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
    /// Requests that it can execute concurrently.
    pub slots_count: u32,
    /// Whether it only completes the requests in flight and accepts no new ones.
    pub is_draining: bool,
    /// Remaining time of its cold start.
    pub cold_for: Duration,
    /// Start time, as Unix time; distinguishes restarts under the same identifier.
    pub born_ms: u64,
}
