//! The data of a case: a fleet, a load and faults.

use std::time::Duration;

/// One case to measure.
#[derive(Clone, Debug)]
pub struct Case {
    /// Name, shown in the results.
    pub name: String,
    /// What the case shows.
    pub about: String,
    /// Time for which requests arrive.
    pub duration: Duration,
    /// Time before which requests are not counted.
    pub measure_from: Duration,
    /// Timeout of every request.
    pub timeout: Duration,
    /// Instances that share the targets; one of them is measured.
    pub instances_count: u32,
    /// Availability zones; the first one is the measured instance's own.
    pub zones: Vec<String>,
    /// Time one way within an availability zone.
    pub way_same_zone: Duration,
    /// Time one way between availability zones.
    pub way_other_zone: Duration,
    /// Services.
    pub services: Vec<Services>,
    /// Services of the first shard map, if a repartition follows; otherwise all.
    pub initial_services_count: Option<u32>,
    /// Snapshots that a target serves at the same time.
    pub snapshots_held_count: u32,
    /// Execution time of a call.
    pub latency: Latency,
    /// Calls that take much longer.
    pub straggler: Straggler,
    /// Cold start.
    pub cold: Cold,
    /// Load as a share of the capacity.
    pub load_ratio: f64,
    /// Importance of requests.
    pub priorities: Priorities,
    /// What happens when.
    pub faults: Vec<Fault>,
}

/// A number of equal services.
#[derive(Clone, Debug)]
pub struct Services {
    /// Prefix of their names.
    pub name: String,
    /// How many there are.
    pub count: u32,
    /// Targets of each one.
    pub targets_count: u32,
    /// Calls that a target executes at the same time.
    pub slots_count: u32,
    /// Connections that a target accepts.
    pub connections_max_count: u32,
    /// Time to open a connection.
    pub connect: Duration,
    /// Concurrent calls that a target bears in cold start.
    pub cold_bearable_count: u32,
}

/// Lognormal execution time.
#[derive(Clone, Copy, Debug)]
pub struct Latency {
    /// Median.
    pub median: Duration,
    /// Standard deviation of the logarithm.
    pub sigma: f64,
}

/// Calls that take much longer than others.
#[derive(Clone, Copy, Debug)]
pub struct Straggler {
    /// Their share, 0 to 1.
    pub ratio: f64,
    /// How many times longer they take.
    pub factor: f64,
}

/// Behaviour of a target in cold start.
#[derive(Clone, Copy, Debug)]
pub struct Cold {
    /// How long it lasts.
    pub duration: Duration,
    /// How many times longer a call takes.
    pub factor: f64,
    /// How many times longer still, while the target has more calls than it bears.
    pub overload_factor: f64,
    /// Whether the target's reports tell of it.
    pub is_reported: bool,
    /// Time after the beginning before which overload is not counted: what was sent before the
    /// first reply that could tell.
    pub grace: Duration,
}

/// Shares of urgent and deferrable requests; the others are normal.
#[derive(Clone, Copy, Debug)]
pub struct Priorities {
    /// Share of urgent requests, 0 to 1.
    pub urgent_ratio: f64,
    /// Share of deferrable requests, 0 to 1.
    pub deferrable_ratio: f64,
}

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// Targets stop: their connections are lost and new ones are refused.
    Lose,
    /// Targets come back as new processes in cold start.
    Return,
    /// Targets fall back into cold start without a word.
    TurnCold,
    /// Targets go on accepting calls but never reply.
    Hang,
    /// Operators take an availability zone out.
    ZoneOut,
    /// Operators bring an availability zone back.
    ZoneIn,
    /// Targets move to the next snapshot, each at its own moment.
    Snapshot,
    /// The front is divided into all services from the next snapshot on.
    Repartition,
    /// The measured process sleeps.
    Pause,
}

/// Something that happens at a given time.
#[derive(Clone, Debug)]
pub struct Fault {
    /// When.
    pub at: Duration,
    /// Time until it happens again, if it does.
    pub every: Option<Duration>,
    /// What.
    pub kind: FaultKind,
    /// Prefix of the names of the targets, or the name of the zone.
    pub select: String,
    /// Over which time it spreads, or how long it lasts.
    pub spread: Duration,
}
