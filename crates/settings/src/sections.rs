//! The settings, one struct for each section of the file.

use std::{net::SocketAddr, time::Duration};

use serde::Serialize;

/// All settings of one instance.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Settings {
    /// Identity and capacity of the instance.
    pub instance: Instance,
    /// Addresses on which the instance listens.
    pub listen: Listen,
    /// The platform's configuration service.
    pub platform: Platform,
    /// Limits of single queries.
    pub query: Query,
    /// Selection and probing of targets.
    pub route: Route,
    /// Admission under load.
    pub admit: Admit,
    /// At-most-once requests and quarantine.
    pub once: Once,
    /// Membership, gossip and the distribution of configurations.
    pub fleet: Fleet,
    /// The gateway; `None` on an instance that takes its configuration from release notes.
    pub gateway: Option<Gateway>,
}

/// The gateway, which proxies HTTP requests by host and path and is configured by the metadata
/// store.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Gateway {
    /// Address of the HTTP port for callers.
    pub listen: SocketAddr,
    /// Address of the metadata store's HTTP port.
    pub store: SocketAddr,
    /// Peer address of this instance, copied from `listen.peers`.
    pub peers: SocketAddr,
    /// Peer addresses of some instances, through which this one discovers the others.
    pub seeds: Vec<SocketAddr>,
    /// Maximum size of a caller's request body.
    pub body_max_bytes: u32,
    /// Time subtracted from a latency goal or deadline for the network between caller and gateway:
    /// one round trip to open a connection and one for request and answer, of up to 6 ms each.
    pub answer_reserve: Duration,
    /// Extra calls, beyond the first one of a request, that are allowed per request.
    pub retry_ratio: f64,
    /// Extra calls that all instances together may send in a window in addition to `retry_ratio`.
    pub retry_constant_count: u32,
    /// Length of the window for `retry_constant_count`.
    pub retry_window: Duration,
    /// Factor by which a cold target's stated rate is multiplied to obtain its rate limit.
    pub cold_factor: f64,
    /// Requests per second added to that limit, for all instances together.
    pub cold_constant_count: u32,
    /// Time after a shutdown request at which the host kills the process.
    pub shutdown_limit: Duration,
    /// Time after a disturbance of its connections from which on an instance has to act on the store
    /// as usual.
    pub contact_limit: Duration,
    /// Time after which a configuration has to be in force.
    pub configuration_limit: Duration,
    /// Time after which a zone that was taken out of service receives nothing.
    pub evacuation_limit: Duration,
    /// Time after which a target that is draining or was removed receives nothing.
    pub drain_limit: Duration,
}

/// Identity and capacity of the instance.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Instance {
    /// Unique name in the fleet.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Processor time that the instance may use, in thousandths of a core; 0 if not set.
    pub capacity_millicores: u32,
    /// Memory of the machine in MiB, from which the memory for callers is derived.
    pub memory_mb: Option<u32>,
    /// File descriptors that the process may have, from which the bounds on connections are derived.
    pub descriptors_max_count: Option<u32>,
}

/// Addresses on which the instance listens.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Listen {
    /// HTTP port for callers; `None` if callers use only the gateway.
    pub callers: Option<SocketAddr>,
    /// HTTP port for operators.
    pub operators: SocketAddr,
    /// Port for other instances, under the address at which they reach it.
    pub peers: SocketAddr,
    /// Address to bind for other instances if it differs from `peers`, as behind a port forwarding.
    pub peers_bind: Option<SocketAddr>,
}

/// The platform's configuration service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Platform {
    /// Address of its HTTP port.
    pub address: SocketAddr,
    /// Maximum time that one watch waits for a change.
    pub watch_timeout: Duration,
}

/// Limits of single queries.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Query {
    /// Maximum timeout that a caller may request.
    pub timeout_max: Duration,
    /// Maximum size of a caller's request body.
    pub body_max_bytes: u32,
    /// Time subtracted from the caller's timeout for returning the answer.
    pub answer_reserve: Duration,
    /// Quantile of a service's latency after which a call is hedged, 0 to 1.
    pub hedge_quantile_ratio: f64,
    /// Hedges allowed per primary call, 0 to 1.
    pub hedge_budget_ratio: f64,
    /// Retries allowed per primary call, 0 to 1.
    pub retry_budget_ratio: f64,
}

/// Selection and probing of targets.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Route {
    /// Time without traffic after which a target is probed for its load.
    pub probe_idle: Duration,
    /// Successful calls in cold start after which a target's concurrency limit grows by one.
    pub ramp_success_count: u32,
}

/// Admission under load.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Admit {
    /// Maximum number of running queries.
    pub running_max_count: u32,
    /// Maximum number of queued queries, all priorities together.
    pub queued_max_count: u32,
    /// Number of urgent or normal queries after which a queued deferrable query is started, so that
    /// deferrable queries are not starved.
    pub deferrable_share_count: u32,
}

/// At-most-once requests and quarantine.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Once {
    /// Time after its issue during which a ticket can be redeemed. Its outcome is kept for twice
    /// this time, unless it is evicted because of `tickets_max_count`.
    pub ticket_retention: Duration,
    /// Maximum number of tickets whose outcome is stored.
    pub tickets_max_count: u32,
    /// Maximum size of the results that are stored with an outcome.
    pub answer_max_bytes: u32,
    /// Strikes (connections lost while a request executes) at which the request is quarantined.
    pub strikes_max_count: u32,
    /// Time from the last strike until a quarantine entry expires.
    pub quarantine_duration: Duration,
}

/// Membership, gossip and the distribution of configurations.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Fleet {
    /// Interval of the periodic tick.
    pub tick: Duration,
    /// Number of instances that are sent a digest at each tick.
    pub fanout_count: u32,
    /// Number of instances per availability zone that read the platform.
    pub readers_per_zone_count: u32,
    /// Age of the newest confirmation at which the configuration counts as stale.
    pub freshness_limit: Duration,
    /// Time without an answer after which an instance is suspected.
    pub suspect_after: Duration,
    /// Time in suspicion after which an instance counts as gone; longer than `suspect_after`.
    pub gone_after: Duration,
    /// Maximum time after the start for which readiness waits for the highest revision.
    pub join_limit: Duration,
    /// Time without new requests after which an instance that is shutting down exits.
    pub leave_quiet: Duration,
    /// Delay of a tick beyond its interval at which the process counts as paused.
    pub pause_threshold: Duration,
    /// Availability zones of the deployment, among which usage caps are divided; if empty, those of
    /// the known instances.
    pub zones: Vec<String>,
}

impl Default for Query {
    fn default() -> Query {
        Query {
            timeout_max: Duration::from_secs(30),
            body_max_bytes: 64 * 1024,
            answer_reserve: Duration::from_millis(2),
            hedge_quantile_ratio: 0.975,
            hedge_budget_ratio: 0.028,
            retry_budget_ratio: 0.1,
        }
    }
}

impl Default for Route {
    fn default() -> Route {
        Route {
            probe_idle: Duration::from_secs(1),
            ramp_success_count: 20,
        }
    }
}

impl Default for Admit {
    fn default() -> Admit {
        Admit {
            running_max_count: 256,
            queued_max_count: 1024,
            deferrable_share_count: 16,
        }
    }
}

impl Default for Once {
    fn default() -> Once {
        Once {
            ticket_retention: Duration::from_secs(600),
            tickets_max_count: 20_000,
            answer_max_bytes: 4 * 1024,
            strikes_max_count: 2,
            quarantine_duration: Duration::from_secs(600),
        }
    }
}

impl Default for Fleet {
    fn default() -> Fleet {
        Fleet {
            tick: Duration::from_millis(200),
            fanout_count: 2,
            readers_per_zone_count: 2,
            freshness_limit: Duration::from_secs(10),
            suspect_after: Duration::from_secs(2),
            gone_after: Duration::from_secs(10),
            join_limit: Duration::from_secs(5),
            leave_quiet: Duration::from_secs(2),
            pause_threshold: Duration::from_millis(500),
            zones: Vec::new(),
        }
    }
}

impl Default for Gateway {
    fn default() -> Gateway {
        let unset = SocketAddr::from(([127, 0, 0, 1], 0));
        Gateway {
            listen: unset,
            store: unset,
            peers: unset,
            seeds: Vec::new(),
            body_max_bytes: 1024 * 1024,
            answer_reserve: Duration::from_millis(14),
            retry_ratio: 0.1,
            retry_constant_count: 10,
            retry_window: Duration::from_secs(10),
            cold_factor: 1.0,
            cold_constant_count: 1,
            shutdown_limit: Duration::from_secs(6),
            contact_limit: Duration::from_secs(4),
            configuration_limit: Duration::from_secs(3),
            evacuation_limit: Duration::from_secs(5),
            drain_limit: Duration::from_secs(3),
        }
    }
}
