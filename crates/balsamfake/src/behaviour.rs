//! Simulated behaviour of the platform and the targets, and the parsing of changes to it.

use std::time::Duration;

use findings::{Fields, Findings, Node, with_document};
use model::TargetPhase;
use serde::Serialize;

const MAX_DURATION_MS: u64 = 3_600_000;
const MAX_COUNT: u32 = 1_000_000;

/// Whether and how the platform responds to its readers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reachability {
    /// Requests are served.
    #[default]
    Up,
    /// Requests are refused with status 503.
    Refusing,
    /// Requests get no reply.
    Silent,
}

/// Simulated limits and faults of the platform.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct PlatformBehaviour {
    /// Whether and how it responds.
    pub reachability: Reachability,
    /// Names of readers that get no reply (simulated partition).
    pub cut_readers: Vec<String>,
    /// Newest version that is served, to simulate staleness; 0 for no bound.
    pub stale_version: u64,
    /// Delay until a published list of instances becomes visible.
    pub instances_lag: Duration,
    /// Reads admitted per second, over all readers.
    pub rate_max_per_s: u32,
}

/// Simulated latency, limits and faults of a target.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct TargetBehaviour {
    /// Median of the log-normally distributed execution time.
    pub latency: Duration,
    /// Standard deviation of the logarithm of the execution time.
    pub latency_spread_ratio: f64,
    /// Probability that a call is a straggler.
    pub straggler_ratio: f64,
    /// Factor on the execution time of a straggler.
    pub straggler_factor: u32,
    /// Limit of concurrent executions.
    pub slots_count: u32,
    /// Queue capacity; calls are shed when all slots are in use and the queue is full.
    pub queue_max_count: u32,
    /// Limit of open connections, over all clients.
    pub connections_max_count: u32,
    /// Delay before a new connection is served.
    pub connect_cost: Duration,
    /// Calls in flight that a target in cold start can bear without collapse.
    pub cold_bearable_count: u32,
    /// Completed calls after which cold start ends.
    pub warm_after_count: u32,
    /// Factor on the execution time in cold start with more than `cold_bearable_count` calls in
    /// flight.
    pub collapse_factor: u32,
    /// Calls in flight at which a target in cold start crashes; 0 to never crash.
    pub collapse_crash_count: u32,
    /// Whether every call is shed.
    pub is_shedding: bool,
    /// Whether every call is refused because the target is draining.
    pub is_draining: bool,
    /// Whether calls are received and never answered or executed.
    pub is_silent: bool,
    /// Names of instances whose calls are dropped (simulated partition).
    pub cut_origins: Vec<String>,
    /// Phase in load reports instead of the actual one.
    pub reported_phase: Option<TargetPhase>,
    /// Oldest snapshot served.
    pub oldest_snapshot: u64,
    /// Newest snapshot served.
    pub newest_snapshot: u64,
    /// Delay between a crash and the restart.
    pub restart_after: Duration,
    /// Text that crashes the target when a query with it is started; empty for none.
    pub poison: String,
}

impl Default for PlatformBehaviour {
    fn default() -> PlatformBehaviour {
        PlatformBehaviour {
            reachability: Reachability::Up,
            cut_readers: Vec::new(),
            stale_version: 0,
            instances_lag: Duration::ZERO,
            rate_max_per_s: 2000,
        }
    }
}

impl Default for TargetBehaviour {
    fn default() -> TargetBehaviour {
        TargetBehaviour {
            latency: Duration::from_millis(3),
            latency_spread_ratio: 0.3,
            straggler_ratio: 0.0,
            straggler_factor: 10,
            slots_count: 2,
            queue_max_count: 64,
            connections_max_count: 25,
            connect_cost: Duration::ZERO,
            cold_bearable_count: 1,
            warm_after_count: 40,
            collapse_factor: 20,
            collapse_crash_count: 0,
            is_shedding: false,
            is_draining: false,
            is_silent: false,
            cut_origins: Vec::new(),
            reported_phase: None,
            oldest_snapshot: 1,
            newest_snapshot: 1,
            restart_after: Duration::from_secs(1),
            poison: String::new(),
        }
    }
}

/// Parses a change to the platform's behaviour and returns the updated behaviour.
///
/// Returns nothing and adds findings if the document is invalid.
pub fn parse_platform_update(
    behaviour: &PlatformBehaviour,
    document: &str,
    findings: &mut Findings,
) -> Option<PlatformBehaviour> {
    let mut updated = behaviour.clone();
    with_document(document, findings, |root, findings| {
        let mut fields = root.fields(findings)?;
        update_platform(&mut updated, &mut fields, findings);
        fields.report_unread(findings);
        Some(())
    })?;
    findings.is_empty().then_some(updated)
}

/// Parses a change to a target's behaviour.
///
/// Returns the updated behaviour and the phase that the target is set to, if any. Returns nothing
/// and adds findings if the document is invalid.
pub fn parse_target_update(
    behaviour: &TargetBehaviour,
    document: &str,
    findings: &mut Findings,
) -> Option<(TargetBehaviour, Option<TargetPhase>)> {
    let mut updated = behaviour.clone();
    let phase = with_document(document, findings, |root, findings| {
        let mut fields = root.fields(findings)?;
        let phase = fields.optional("phase");
        let phase = phase.and_then(|node| node.one_of(&PHASES[..2], findings));
        update_latency(&mut updated, &mut fields, findings);
        update_limits(&mut updated, &mut fields, findings);
        update_faults(&mut updated, &mut fields, findings);
        if updated.newest_snapshot < updated.oldest_snapshot {
            findings.add("$.newest_snapshot", "is older than `oldest_snapshot`");
        }
        fields.report_unread(findings);
        Some(phase)
    })?;
    findings.is_empty().then_some((updated, phase))
}

const PHASES: [(&str, TargetPhase); 3] = [
    ("warm", TargetPhase::Warm),
    ("cold", TargetPhase::Cold),
    ("draining", TargetPhase::Draining),
];

fn update_platform(
    updated: &mut PlatformBehaviour,
    fields: &mut Fields<'_>,
    findings: &mut Findings,
) {
    let words = [
        ("up", Reachability::Up),
        ("refusing", Reachability::Refusing),
        ("silent", Reachability::Silent),
    ];
    update_field(&mut updated.reachability, fields, "reachability", |node| {
        node.one_of(&words, findings)
    });
    update_field(&mut updated.cut_readers, fields, "cut_readers", |node| {
        Some(parse_names(&node, findings))
    });
    update_field(
        &mut updated.stale_version,
        fields,
        "stale_version",
        |node| node.number(0..=u64::MAX, findings),
    );
    update_field(
        &mut updated.instances_lag,
        fields,
        "instances_lag_ms",
        |node| node.millis(0..=MAX_DURATION_MS, findings),
    );
    update_field(
        &mut updated.rate_max_per_s,
        fields,
        "rate_max_per_s",
        |node| node.count(1..=MAX_COUNT, findings),
    );
}

fn update_latency(updated: &mut TargetBehaviour, fields: &mut Fields<'_>, findings: &mut Findings) {
    update_field(&mut updated.latency, fields, "latency_ms", |node| {
        node.millis(0..=MAX_DURATION_MS, findings)
    });
    update_field(
        &mut updated.latency_spread_ratio,
        fields,
        "latency_spread_percent",
        |node| parse_percent(&node, findings),
    );
    update_field(
        &mut updated.straggler_ratio,
        fields,
        "straggler_percent",
        |node| parse_percent(&node, findings),
    );
    update_field(
        &mut updated.straggler_factor,
        fields,
        "straggler_factor",
        |node| node.count(1..=MAX_COUNT, findings),
    );
    update_field(
        &mut updated.connect_cost,
        fields,
        "connect_cost_ms",
        |node| node.millis(0..=MAX_DURATION_MS, findings),
    );
    update_field(
        &mut updated.restart_after,
        fields,
        "restart_after_ms",
        |node| node.millis(0..=MAX_DURATION_MS, findings),
    );
}

fn update_limits(updated: &mut TargetBehaviour, fields: &mut Fields<'_>, findings: &mut Findings) {
    let counts = [
        (&mut updated.slots_count, "slots_count", 1),
        (&mut updated.queue_max_count, "queue_max_count", 0),
        (
            &mut updated.connections_max_count,
            "connections_max_count",
            0,
        ),
        (&mut updated.cold_bearable_count, "cold_bearable_count", 0),
        (&mut updated.warm_after_count, "warm_after_count", 0),
        (&mut updated.collapse_factor, "collapse_factor", 1),
        (&mut updated.collapse_crash_count, "collapse_crash_count", 0),
    ];
    for (count, name, least_count) in counts {
        update_field(count, fields, name, |node| {
            node.count(least_count..=MAX_COUNT, findings)
        });
    }
    let snapshots = [
        (&mut updated.oldest_snapshot, "oldest_snapshot"),
        (&mut updated.newest_snapshot, "newest_snapshot"),
    ];
    for (snapshot, name) in snapshots {
        update_field(snapshot, fields, name, |node| {
            node.number(0..=u64::MAX, findings)
        });
    }
}

fn update_faults(updated: &mut TargetBehaviour, fields: &mut Fields<'_>, findings: &mut Findings) {
    let switches = [
        (&mut updated.is_shedding, "is_shedding"),
        (&mut updated.is_draining, "is_draining"),
        (&mut updated.is_silent, "is_silent"),
    ];
    for (switch, name) in switches {
        update_field(switch, fields, name, |node| node.boolean(findings));
    }
    update_field(&mut updated.cut_origins, fields, "cut_origins", |node| {
        Some(parse_names(&node, findings))
    });
    let [warm, cold, draining] = PHASES;
    let words = [
        ("true", None),
        (warm.0, Some(warm.1)),
        (cold.0, Some(cold.1)),
        (draining.0, Some(draining.1)),
    ];
    update_field(
        &mut updated.reported_phase,
        fields,
        "reported_phase",
        |node| node.one_of(&words, findings),
    );
    update_field(&mut updated.poison, fields, "poison", |node| {
        node.string(findings).map(str::to_owned)
    });
}

fn update_field<'a, T>(
    value: &mut T,
    fields: &mut Fields<'a>,
    name: &str,
    parse: impl FnOnce(Node<'a>) -> Option<T>,
) {
    let Some(node) = fields.optional(name) else {
        return;
    };
    let Some(parsed) = parse(node) else { return };
    *value = parsed;
}

fn parse_percent(node: &Node<'_>, findings: &mut Findings) -> Option<f64> {
    let percent = node.count(0..=100, findings)?;
    Some(f64::from(percent) / 100.0)
}

fn parse_names(node: &Node<'_>, findings: &mut Findings) -> Vec<String> {
    let items = node.items(findings).into_iter();
    let names = items.filter_map(|item| item.non_empty_string(findings).map(str::to_owned));
    names.collect()
}
