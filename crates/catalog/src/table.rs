//! Tables of fronts, services and targets.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use crate::RestoreMemory;
use model::{FrontKey, ServiceKey, TargetKey};
use organisation::Organisations;
use serde::Serialize;
use slotmap::SlotMap;

/// Content of the metadata store as last known to this instance.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct Catalog {
    /// Version of the configuration in force, or 0 if there is none.
    pub version: u64,
    /// Fronts of the configuration.
    pub fronts: SlotMap<FrontKey, Front>,
    /// Fronts by host, sorted by descending length of the prefix.
    pub hosts: HashMap<String, Vec<FrontKey>>,
    /// Fronts by name.
    pub front_names: HashMap<String, FrontKey>,
    /// Services named by the configuration or by the registration of a target.
    pub services: SlotMap<ServiceKey, Service>,
    /// Services by name.
    pub service_names: HashMap<Arc<str>, ServiceKey>,
    /// Registered targets, including those whose registration was removed and whose grace period is
    /// not over.
    pub targets: SlotMap<TargetKey, Target>,
    /// Targets by identifier.
    pub target_ids: HashMap<Arc<str>, TargetKey>,
    /// End of the period in which a missing registration may have lapsed because the store was
    /// unreachable. Absent until the first recovery of the store.
    #[serde(skip)]
    pub lapse_window_until: Option<Instant>,
    /// Organisations whose callers may send requests, and their keys.
    pub organisations: Organisations,
    /// Evacuated zones, whose targets receive no requests.
    pub zones_out: BTreeSet<String>,
    /// What has ended, for the case that the store is restored from a copy that still contains it.
    #[serde(skip)]
    pub restore: RestoreMemory,
}

/// Routing rule for the requests to one host under one path prefix.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Front {
    /// Name, unique in the configuration.
    pub name: String,
    /// Host without a port.
    pub host: String,
    /// Path prefix.
    pub prefix: String,
    /// Whether a request may be executed more than once.
    pub is_idempotent: bool,
    /// Maximum time to answer a request.
    pub timeout: Duration,
    /// Latency objective: time within which an answer is of full use to the caller, if one is set.
    #[serde(rename = "goal")]
    pub latency_goal: Option<Duration>,
    /// Priority for load shedding; 0 is the highest.
    #[serde(rename = "rank")]
    pub shedding_rank: u32,
    /// Whether callers need no key although the configuration names organisations.
    pub is_public: bool,
    /// Limit of attempts per request and service, at least 1.
    pub attempts_max_count: u32,
    /// Services that receive the requests.
    pub route: Route,
}

/// Services that receive the requests of a front.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub enum Route {
    /// Each request goes to one of the services, in proportion to their weights.
    Split(Vec<(ServiceKey, f64)>),
    /// Each request goes to all services, and their replies are merged.
    Gather {
        /// Services that each hold one part of the answer.
        services: Arc<[ServiceKey]>,
        /// Number of records in the merged answer.
        records_count: u32,
        /// Minimum number of parts for an answer to be returned, at least 1.
        #[serde(rename = "least_count")]
        parts_min_count: u32,
    },
}

/// Group of targets that serve the same requests.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Service {
    /// Name, unique in the catalog.
    pub name: Arc<str>,
    /// Connection limit of each target, shared by all instances.
    pub connections_max_count: u32,
    /// Request rate limit of each target during cold start, shared by all instances.
    pub cold_max_per_s: f64,
    /// Whether the configuration in force lists the service.
    pub is_configured: bool,
    /// Targets registered for the service.
    pub targets: Vec<TargetKey>,
}

/// Registered process that serves requests of one service.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Target {
    /// Identifier in the store, which a later process may reuse.
    pub id: Arc<str>,
    /// Service that the target belongs to.
    pub service: ServiceKey,
    /// Address that accepts requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Limit of concurrently executed requests, at least 1.
    pub slots_count: u32,
    /// Start time of the process in Unix milliseconds; tells a restarted process apart.
    #[serde(rename = "born_ms")]
    pub started_at_ms: u64,
    /// End of cold start; absent if the registration says that the target is warm.
    #[serde(skip)]
    pub cold_until: Option<Instant>,
    /// When this instance learned that the target is draining.
    #[serde(skip)]
    pub draining_since: Option<Instant>,
    /// Whether the target itself has said that it leaves. Never reset, because the store may lag
    /// behind; the next process has an entry of its own.
    pub has_announced_leaving: bool,
    /// When this instance found the registration missing or invalid.
    #[serde(skip)]
    pub removed_since: Option<Instant>,
    /// Whether the missing registration may have lapsed because the store was unreachable, so that
    /// the longer grace period applies.
    pub has_lapsed: bool,
    /// Whether the registration is missing only because a restored store lacks it.
    pub is_missing_in_copy: bool,
}

/// Returns an empty catalog; `seed` determines the key by which it hashes callers' keys.
pub fn new_catalog(seed: u64) -> Catalog {
    Catalog {
        organisations: organisation::new_table(seed),
        ..Catalog::default()
    }
}

/// Returns the front of the host with the longest prefix of the path; query and fragment are
/// ignored.
pub fn find_front(catalog: &Catalog, host: &str, path: &str) -> Option<FrontKey> {
    let fronts = catalog.hosts.get(host)?;
    let path = path.split(['?', '#']).next().unwrap_or(path);
    fronts
        .iter()
        .copied()
        .find(|&front| path.starts_with(&catalog.fronts[front].prefix))
}
