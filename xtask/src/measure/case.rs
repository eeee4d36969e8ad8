//! The parameters of a simulation: a fleet, a load and faults.

use std::time::Duration;

/// The parameters of one simulation, read from a file in `cases/`.
#[derive(Clone, Debug)]
pub struct Case {
    /// Name, printed with the results; also the name of the file.
    pub name: String,
    /// What the case demonstrates, in one sentence.
    pub about: String,
    /// Simulated time during which requests arrive.
    pub duration: Duration,
    /// Warm-up: requests that arrive before this time are not counted.
    pub measure_from: Duration,
    /// Timeout of every request.
    pub timeout: Duration,
    /// Instances that share the targets; only one of them is simulated.
    pub instances_count: u32,
    /// Availability zones; the simulated instance is in the first one.
    pub zones: Vec<String>,
    /// One-way network delay within an availability zone.
    pub one_way_delay_same_zone: Duration,
    /// One-way network delay between availability zones.
    pub one_way_delay_other_zone: Duration,
    /// Groups of services that all requests fan out to.
    pub services: Vec<ServiceGroup>,
    /// Number of services in the first shard map, if a repartition follows; `None` means all.
    pub initial_services_count: Option<u32>,
    /// Consecutive snapshots that a target serves at the same time.
    pub snapshots_held_count: u32,
    /// Distribution of the execution time of a call.
    pub latency: Latency,
    /// Stragglers among the calls.
    pub straggler: Straggler,
    /// Cold start of targets.
    pub cold_start: ColdStart,
    /// Request rate as a share of the fleet's capacity.
    pub load_ratio: f64,
    /// Shares of the priorities.
    pub priorities: Priorities,
    /// Faults and other scheduled changes.
    pub faults: Vec<Fault>,
}

/// A group of services with the same parameters.
#[derive(Clone, Debug)]
pub struct ServiceGroup {
    /// Prefix of the services' names.
    pub name: String,
    /// Number of services.
    pub count: u32,
    /// Targets per service.
    pub targets_count: u32,
    /// Calls that a target executes concurrently.
    pub slots_count: u32,
    /// Connections that a target accepts.
    pub connections_max_count: u32,
    /// Time to open a connection.
    pub connect_time: Duration,
    /// Concurrent calls that a target can handle in cold start, from all instances together.
    pub cold_bearable_count: u32,
}

/// Lognormal execution time.
#[derive(Clone, Copy, Debug)]
pub struct Latency {
    /// Median of the distribution.
    pub median: Duration,
    /// Standard deviation of the logarithm.
    pub sigma: f64,
}

/// Stragglers: calls that take much longer than others.
#[derive(Clone, Copy, Debug)]
pub struct Straggler {
    /// Share of stragglers among all calls, 0 to 1.
    pub ratio: f64,
    /// Factor on the execution time of a straggler.
    pub factor: f64,
}

/// Behaviour of a target in cold start.
#[derive(Clone, Copy, Debug)]
pub struct ColdStart {
    /// Duration of a cold start.
    pub duration: Duration,
    /// Factor on the execution time of a call.
    pub factor: f64,
    /// Further factor if the target has more calls than `cold_bearable_count`, this one included.
    pub overload_factor: f64,
    /// Whether the target's load reports give the phase as cold.
    pub is_reported: bool,
    /// Time from the beginning of a cold start during which overload is not counted, because no
    /// reply can have reported the cold start to the sender yet.
    pub grace: Duration,
}

/// Shares of urgent and deferrable requests; all others are normal.
#[derive(Clone, Copy, Debug)]
pub struct Priorities {
    /// Share of urgent requests, 0 to 1.
    pub urgent_ratio: f64,
    /// Share of deferrable requests, 0 to 1.
    pub deferrable_ratio: f64,
}

/// The kind of a fault or scheduled change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// Targets crash: their connections are lost and new ones are refused.
    Crash,
    /// Targets restart as new processes in cold start.
    Restart,
    /// Targets enter cold start without a restart, so their incarnation does not change.
    EnterColdStart,
    /// Targets accept calls but never reply.
    Hang,
    /// Operators take an availability zone out of service.
    ZoneOut,
    /// Operators bring an availability zone back into service.
    ZoneIn,
    /// Targets switch to the next snapshot, each at a random time within the fault's duration.
    SwitchSnapshot,
    /// A new shard map spreads the front over all services from the next snapshot on.
    Repartition,
    /// The simulated instance's process pauses.
    Pause,
}

/// A fault or another scheduled change.
#[derive(Clone, Debug)]
pub struct Fault {
    /// Simulated time of the first occurrence.
    pub at: Duration,
    /// Interval between occurrences; `None` if there is only one.
    pub every: Option<Duration>,
    /// What changes.
    pub kind: FaultKind,
    /// Prefix of the names of the affected targets, empty for all, or the name of the availability
    /// zone.
    pub selector: String,
    /// Length of a pause, or of the period within which targets switch to the next snapshot.
    pub duration: Duration,
}
