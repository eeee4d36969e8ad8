//! The tables of fronts, services and targets.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use model::{FrontKey, ServiceKey, TargetKey};
use serde::Serialize;
use slotmap::SlotMap;

/// Everything that the store publishes, as far as it is known here.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct Catalog {
    /// Version of the configuration, or 0 if none is known.
    pub version: u64,
    /// Fronts.
    pub fronts: SlotMap<FrontKey, Front>,
    /// Fronts of each host, the longest prefix first.
    pub hosts: HashMap<String, Vec<FrontKey>>,
    /// Fronts by name.
    pub front_names: HashMap<String, FrontKey>,
    /// Services that the configuration or a target names.
    pub services: SlotMap<ServiceKey, Service>,
    /// Services by name.
    pub service_names: HashMap<Arc<str>, ServiceKey>,
    /// Targets.
    pub targets: SlotMap<TargetKey, Target>,
    /// Targets by identifier.
    pub target_ids: HashMap<Arc<str>, TargetKey>,
    /// Until when a missing registration may be one that lapsed while the store was away.
    #[serde(skip)]
    pub lapses_until: Option<Instant>,
    /// Zones whose targets receive nothing.
    pub zones_out: BTreeSet<String>,
}

/// A front: the requests to one host below one path prefix.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Front {
    /// Name.
    pub name: String,
    /// Host.
    pub host: String,
    /// Prefix of the path.
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
    pub route: Route,
}

/// Where the requests of a front go.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub enum Route {
    /// To one of these services, in the proportion of the weights.
    Split(Vec<(ServiceKey, f64)>),
    /// To every service.
    Gather {
        /// The services.
        services: Arc<[ServiceKey]>,
        /// Records in the answer.
        records_count: u32,
        /// Parts that have to be in the answer.
        least_count: u32,
    },
}

/// A service.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Service {
    /// Name.
    pub name: Arc<str>,
    /// Connections that each target accepts from all instances together.
    pub connections_max_count: u32,
    /// Requests a second that a target bears in cold start, from all instances together.
    pub cold_max_per_s: f64,
    /// Whether the configuration names it.
    pub is_configured: bool,
    /// Its targets.
    pub targets: Vec<TargetKey>,
}

/// A target.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Target {
    /// Identifier.
    pub id: Arc<str>,
    /// Service.
    pub service: ServiceKey,
    /// Address.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Requests that it executes at the same time.
    pub slots_count: u32,
    /// Time of its start, Unix time.
    pub born_ms: u64,
    /// When it is warm, unless it is already.
    #[serde(skip)]
    pub cold_until: Option<Instant>,
    /// When it was heard to be draining.
    #[serde(skip)]
    pub draining_since: Option<Instant>,
    /// When its registration was found missing.
    #[serde(skip)]
    pub removed_since: Option<Instant>,
    /// Whether the registration may be missing only because the store was away.
    pub has_lapsed: bool,
}

/// Returns the front of a request: the one with the longest prefix that begins the path.
pub fn find_front(catalog: &Catalog, host: &str, path: &str) -> Option<FrontKey> {
    let fronts = catalog.hosts.get(host)?;
    let path = path.split(['?', '#']).next().unwrap_or(path);
    fronts
        .iter()
        .copied()
        .find(|&front| path.starts_with(&catalog.fronts[front].prefix))
}
