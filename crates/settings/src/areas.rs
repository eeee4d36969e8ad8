//! The settings themselves, grouped by the area that uses them.

use std::{net::SocketAddr, time::Duration};

use serde::Serialize;

/// All settings of one instance.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Settings {
    /// Who the instance is.
    pub instance: Instance,
    /// Ports that the instance opens.
    pub listen: Listen,
    /// The platform's configuration service.
    pub platform: Platform,
    /// Limits of single queries.
    pub query: Query,
    /// Choice of targets.
    pub route: Route,
    /// Admission under load.
    pub admit: Admit,
    /// Requests that run at most once, and quarantine.
    pub once: Once,
    /// Membership and the spreading of configurations.
    pub fleet: Fleet,
    /// The gateway; nothing on an instance that takes its configuration from release notes.
    pub gateway: Option<Gateway>,
}

/// The gateway: callers' HTTP requests by host and path, configured by the metadata store.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Gateway {
    /// Callers' HTTP port.
    pub listen: SocketAddr,
    /// The metadata store's HTTP port.
    pub store: SocketAddr,
    /// This instance's peers' port.
    pub peers: SocketAddr,
    /// Peers' ports of some instances, through which the others are found.
    pub seeds: Vec<SocketAddr>,
    /// Largest body that a caller may send.
    pub body_max_bytes: u32,
    /// Time reserved out of a goal or deadline for the way from and to the caller: opening a
    /// connection, the request and the answer, two round trips of up to 6 ms.
    pub answer_reserve: Duration,
    /// Calls beyond the first one of a request that are allowed for each request.
    pub retry_ratio: f64,
    /// Calls beyond the first ones that all instances together may add in a window.
    pub retry_constant_count: u32,
    /// Length of the window.
    pub retry_window: Duration,
    /// Factor by which a cold target's stated rate may be exceeded.
    pub cold_factor: f64,
    /// Requests a second that a cold target may get beyond that, from all instances together.
    pub cold_constant_count: u32,
    /// Time from the request to shut down after which the machine ends the process.
    pub shutdown_limit: Duration,
}

/// Who the instance is.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Instance {
    /// Name, unique in the fleet.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Processor time that the instance may use, in thousandths of a core; 0 if it is not set.
    pub capacity_millicores: u32,
}

/// Ports that the instance opens.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Listen {
    /// Callers' HTTP port; nothing on an instance whose callers use the gateway alone.
    pub callers: Option<SocketAddr>,
    /// Operators' HTTP port.
    pub operators: SocketAddr,
    /// Port for other instances.
    pub peers: SocketAddr,
}

/// The platform's configuration service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Platform {
    /// Address of its HTTP port.
    pub address: SocketAddr,
    /// Longest time that one watch waits for a change.
    pub watch_timeout: Duration,
}

/// Limits of single queries.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Query {
    /// Longest timeout that a caller may ask for.
    pub timeout_max: Duration,
    /// Largest body that a caller may send.
    pub body_max_bytes: u32,
    /// Time reserved out of the caller's timeout for the way back to the caller.
    pub answer_reserve: Duration,
    /// Quantile of a service's latency after which a call is late enough for a hedge, 0 to 1.
    pub hedge_quantile_ratio: f64,
    /// Hedges allowed per primary call, 0 to 1.
    pub hedge_budget_ratio: f64,
    /// Retries allowed per primary call, 0 to 1.
    pub retry_budget_ratio: f64,
}

/// Choice of targets.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Route {
    /// Time after which a target without traffic is asked for its load.
    pub probe_idle: Duration,
    /// Successful calls in cold start after which a target's allowance grows by one.
    pub ramp_success_count: u32,
}

/// Admission under load.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Admit {
    /// Queries that run at the same time.
    pub running_max_count: u32,
    /// Queries that wait, all priorities together.
    pub queued_max_count: u32,
    /// Urgent or normal queries after which one deferrable query is started.
    pub deferrable_share_count: u32,
}

/// Requests that run at most once, and quarantine.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Once {
    /// Time after issue during which a ticket can be used and its outcome is held.
    pub ticket_retention: Duration,
    /// Tickets whose outcome is held at the same time.
    pub tickets_max_count: u32,
    /// Largest answer that is held with an outcome.
    pub answer_max_bytes: u32,
    /// Connections lost while a request executes until the request is quarantined.
    pub strikes_max_count: u32,
    /// Time until a quarantine entry expires.
    pub quarantine_duration: Duration,
}

/// Membership and the spreading of configurations.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Fleet {
    /// Time between two ticks of the instance.
    pub tick: Duration,
    /// Instances that receive a digest each tick.
    pub fanout_count: u32,
    /// Instances per zone that read the platform.
    pub readers_per_zone_count: u32,
    /// Age of the newest confirmation after which the configuration counts as stale.
    pub freshness_limit: Duration,
    /// Time without a sign of life after which an instance is suspected.
    pub suspect_after: Duration,
    /// Time in suspicion after which an instance counts as gone.
    pub gone_after: Duration,
    /// Time after the start during which readiness waits for the highest revision.
    pub join_limit: Duration,
    /// Time without a new request after which a leaving instance exits.
    pub leave_quiet: Duration,
    /// Time beyond a tick's interval after which the process counts as paused.
    pub pause_threshold: Duration,
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
        }
    }
}
