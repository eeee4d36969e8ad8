//! How the platform and the targets behave, and the reading of changes to it.

use std::time::Duration;

use findings::{Fields, Findings, Node, with_document};
use model::TargetPhase;
use serde::Serialize;

const MAX_DURATION_MS: u64 = 3_600_000;
const MAX_COUNT: u32 = 1_000_000;

/// Whether the platform answers its readers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reachability {
    /// It answers.
    #[default]
    Up,
    /// It answers that it is unavailable.
    Refusing,
    /// It does not answer at all.
    Silent,
}

/// How the platform behaves.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct PlatformBehaviour {
    /// Whether it answers.
    pub reachability: Reachability,
    /// Readers that get no answer.
    pub cut_readers: Vec<String>,
    /// Version that is served instead of the newest one, or 0.
    pub stale_version: u64,
    /// Time until a published list of instances becomes visible.
    pub instances_lag: Duration,
    /// Reads in one second, all readers together.
    pub rate_max_per_s: u32,
}

/// How a target behaves.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct TargetBehaviour {
    /// Median of the execution time.
    pub latency: Duration,
    /// Standard deviation of the logarithm of the execution time.
    pub latency_spread_ratio: f64,
    /// Share of calls that are stragglers.
    pub straggler_ratio: f64,
    /// Execution time of a straggler, as a multiple.
    pub straggler_factor: u32,
    /// Calls executed at the same time.
    pub slots_count: u32,
    /// Calls that wait for a slot before further ones are shed.
    pub queue_max_count: u32,
    /// Connections from all sides together.
    pub connections_max_count: u32,
    /// Time until a new connection is served.
    pub connect_cost: Duration,
    /// Concurrent calls that it bears in cold start.
    pub cold_bearable_count: u32,
    /// Calls after which it is warm.
    pub warm_after_count: u32,
    /// Execution time in cold start above the bearable load, as a multiple.
    pub collapse_factor: u32,
    /// Concurrent calls in cold start that make it crash, or 0.
    pub collapse_crash_count: u32,
    /// Whether it sheds every call.
    pub is_shedding: bool,
    /// Whether it is shutting down.
    pub is_draining: bool,
    /// Whether it takes calls and never replies.
    pub is_silent: bool,
    /// Instances whose connections it closes without a reply.
    pub cut_origins: Vec<String>,
    /// Phase that it reports instead of the true one.
    pub reported_phase: Option<TargetPhase>,
    /// Oldest snapshot served.
    pub oldest_snapshot: u64,
    /// Newest snapshot served.
    pub newest_snapshot: u64,
    /// Time between a crash and the restart.
    pub restart_after: Duration,
    /// Text in a query that makes it crash; none if empty.
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

/// Reads a change to the platform; a document with findings changes nothing.
pub fn parse_platform_update(
    behaviour: &PlatformBehaviour,
    document: &str,
    findings: &mut Findings,
) -> Option<PlatformBehaviour> {
    let mut updated = behaviour.clone();
    with_document(document, findings, |root, findings| {
        let mut fields = root.fields(findings)?;
        update_platform(&mut updated, &mut fields, findings);
        fields.finish(findings);
        Some(())
    })?;
    findings.is_empty().then_some(updated)
}

/// Reads a change to a target; a document with findings changes nothing.
///
/// Returns the changed behaviour and the phase of life that the target is put into, if any.
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
        fields.finish(findings);
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
        node.any_text(findings).map(str::to_owned)
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
    let names = items.filter_map(|item| item.text(findings).map(str::to_owned));
    names.collect()
}
