//! The checked reading of a case file.

use std::time::Duration;

use findings::{Fields, Findings, Node, with_document};

use crate::case::{Case, Cold, Fault, FaultKind, Latency, Priorities, Services, Straggler};

const MAX_MS: u64 = 86_400_000;
const MAX_US: u64 = 60_000_000;
const MAX_COUNT: u32 = 100_000;

/// Reads a case; returns `None` if there is any finding.
pub fn read(document: &str, findings: &mut Findings) -> Option<Case> {
    let case = with_document(document, findings, read_case)?;
    findings.is_empty().then_some(case)
}

fn read_case(root: Node<'_>, findings: &mut Findings) -> Option<Case> {
    let mut root = root.fields(findings)?;
    let fields = &mut root;
    let name = text(fields, "name", findings);
    let about = text(fields, "about", findings);
    let duration = millis(fields, "duration_ms", findings);
    let measure_from = millis(fields, "measure_from_ms", findings);
    let timeout = millis(fields, "timeout_ms", findings);
    let instances_count = optional_count(fields, "instances_count", 1, findings);
    let zones = list(fields, "zones", findings, |node, findings| {
        node.text(findings).map(str::to_owned)
    });
    let way_same_zone = micros(fields, "way_same_zone_us", findings);
    let way_other_zone = micros(fields, "way_other_zone_us", findings);
    let services = list(fields, "services", findings, read_services);
    let initial = optional_count(fields, "initial_services_count", 0, findings);
    let snapshots_held_count = optional_count(fields, "snapshots_held_count", 1, findings);
    let latency = object(fields, "latency", findings, read_latency);
    let straggler = object(fields, "straggler", findings, read_straggler);
    let cold = object(fields, "cold", findings, read_cold);
    let load_ratio = percent(fields, "load_percent", findings);
    let priorities = object(fields, "priorities", findings, read_priorities);
    let faults = list(fields, "faults", findings, read_fault);
    root.finish(findings);
    if zones.is_empty() {
        findings.add("$.zones", "must not be empty");
    }
    if services.is_empty() {
        findings.add("$.services", "must not be empty");
    }
    Some(Case {
        name: name?,
        about: about?,
        duration: duration?,
        measure_from: measure_from?,
        timeout: timeout?,
        instances_count,
        zones,
        way_same_zone: way_same_zone?,
        way_other_zone: way_other_zone?,
        services,
        initial_services_count: (initial > 0).then_some(initial),
        snapshots_held_count,
        latency: latency?,
        straggler: straggler?,
        cold: cold?,
        load_ratio: load_ratio?,
        priorities: priorities?,
        faults,
    })
}

fn read_services(node: Node<'_>, findings: &mut Findings) -> Option<Services> {
    let mut fields = node.fields(findings)?;
    let name = text(&mut fields, "name", findings);
    let services_count = count(&mut fields, "count", findings);
    let targets_count = count(&mut fields, "targets_count", findings);
    let slots_count = count(&mut fields, "slots_count", findings);
    let connections_max_count = count(&mut fields, "connections_max_count", findings);
    let connect = micros(&mut fields, "connect_us", findings);
    let cold_bearable_count = count(&mut fields, "cold_bearable_count", findings);
    fields.finish(findings);
    Some(Services {
        name: name?,
        count: services_count?,
        targets_count: targets_count?,
        slots_count: slots_count?,
        connections_max_count: connections_max_count?,
        connect: connect?,
        cold_bearable_count: cold_bearable_count?,
    })
}

fn read_latency(fields: &mut Fields<'_>, findings: &mut Findings) -> Option<Latency> {
    let median = micros(fields, "median_us", findings);
    let sigma = percent(fields, "sigma_percent", findings);
    Some(Latency {
        median: median?,
        sigma: sigma?,
    })
}

fn read_straggler(fields: &mut Fields<'_>, findings: &mut Findings) -> Option<Straggler> {
    let permille = fields
        .required("permille", findings)
        .and_then(|node| node.count(0..=1000, findings));
    let factor = count(fields, "factor", findings);
    Some(Straggler {
        ratio: f64::from(permille?) / 1000.0,
        factor: f64::from(factor?),
    })
}

fn read_cold(fields: &mut Fields<'_>, findings: &mut Findings) -> Option<Cold> {
    let duration = millis(fields, "duration_ms", findings);
    let factor = percent(fields, "factor_percent", findings);
    let overload_factor = percent(fields, "overload_factor_percent", findings);
    let is_reported = fields
        .required("is_reported", findings)
        .and_then(|node| node.boolean(findings));
    let grace = millis(fields, "grace_ms", findings);
    Some(Cold {
        duration: duration?,
        factor: factor?,
        overload_factor: overload_factor?,
        is_reported: is_reported?,
        grace: grace?,
    })
}

fn read_priorities(fields: &mut Fields<'_>, findings: &mut Findings) -> Option<Priorities> {
    let urgent = percent(fields, "urgent_percent", findings);
    let deferrable = percent(fields, "deferrable_percent", findings);
    Some(Priorities {
        urgent_ratio: urgent?,
        deferrable_ratio: deferrable?,
    })
}

fn read_fault(node: Node<'_>, findings: &mut Findings) -> Option<Fault> {
    const KINDS: [(&str, FaultKind); 9] = [
        ("lose", FaultKind::Lose),
        ("return", FaultKind::Return),
        ("turn-cold", FaultKind::TurnCold),
        ("hang", FaultKind::Hang),
        ("zone-out", FaultKind::ZoneOut),
        ("zone-in", FaultKind::ZoneIn),
        ("snapshot", FaultKind::Snapshot),
        ("repartition", FaultKind::Repartition),
        ("pause", FaultKind::Pause),
    ];
    let mut fields = node.fields(findings)?;
    let at = millis(&mut fields, "at_ms", findings);
    let every = fields
        .optional("every_ms")
        .and_then(|node| node.millis(1..=MAX_MS, findings));
    let kind = fields
        .required("kind", findings)
        .and_then(|node| node.one_of(&KINDS, findings));
    let select = fields
        .optional("select")
        .and_then(|node| node.text(findings))
        .unwrap_or_default();
    let spread = fields
        .optional("spread_ms")
        .and_then(|node| node.millis(0..=MAX_MS, findings));
    fields.finish(findings);
    Some(Fault {
        at: at?,
        every,
        kind: kind?,
        select: select.to_owned(),
        spread: spread.unwrap_or_default(),
    })
}

fn object<T>(
    parent: &mut Fields<'_>,
    name: &str,
    findings: &mut Findings,
    read: impl FnOnce(&mut Fields<'_>, &mut Findings) -> Option<T>,
) -> Option<T> {
    let mut fields = parent.required(name, findings)?.fields(findings)?;
    let value = read(&mut fields, findings);
    fields.finish(findings);
    value
}

fn list<T>(
    fields: &mut Fields<'_>,
    name: &str,
    findings: &mut Findings,
    mut read: impl FnMut(Node<'_>, &mut Findings) -> Option<T>,
) -> Vec<T> {
    let Some(node) = fields.required(name, findings) else {
        return Vec::new();
    };
    let items = node.items(findings);
    items
        .into_iter()
        .filter_map(|item| read(item, findings))
        .collect()
}

fn text(fields: &mut Fields<'_>, name: &str, findings: &mut Findings) -> Option<String> {
    let node = fields.required(name, findings)?;
    node.text(findings).map(str::to_owned)
}

fn millis(fields: &mut Fields<'_>, name: &str, findings: &mut Findings) -> Option<Duration> {
    fields
        .required(name, findings)?
        .millis(0..=MAX_MS, findings)
}

fn micros(fields: &mut Fields<'_>, name: &str, findings: &mut Findings) -> Option<Duration> {
    let number = fields
        .required(name, findings)?
        .number(0..=MAX_US, findings)?;
    Some(Duration::from_micros(number))
}

fn count(fields: &mut Fields<'_>, name: &str, findings: &mut Findings) -> Option<u32> {
    fields
        .required(name, findings)?
        .count(1..=MAX_COUNT, findings)
}

fn optional_count(
    fields: &mut Fields<'_>,
    name: &str,
    default_count: u32,
    findings: &mut Findings,
) -> u32 {
    let node = fields.optional(name);
    let read = node.and_then(|node| node.count(0..=MAX_COUNT, findings));
    read.unwrap_or(default_count)
}

fn percent(fields: &mut Fields<'_>, name: &str, findings: &mut Findings) -> Option<f64> {
    let node = fields.required(name, findings)?;
    let percent = node.count(0..=10_000, findings)?;
    Some(f64::from(percent) / 100.0)
}
