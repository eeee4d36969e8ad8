//! Parses and validates a case file.

use std::time::Duration;

use findings::{Fields, Findings, Node, with_document};

use crate::case::{
    Case, ColdStart, Fault, FaultKind, Latency, Priorities, ServiceGroup, Straggler,
};

const MAX_MS: u64 = 86_400_000;
const MAX_US: u64 = 60_000_000;
const MAX_COUNT: u32 = 100_000;

/// Parses a case; returns `None` if there is any finding.
pub fn parse(document: &str, findings: &mut Findings) -> Option<Case> {
    let case = with_document(document, findings, parse_case)?;
    findings.is_empty().then_some(case)
}

fn parse_case(root: Node<'_>, findings: &mut Findings) -> Option<Case> {
    let mut root = root.fields(findings)?;
    let fields = &mut root;
    let name = text(fields, "name", findings);
    let about = text(fields, "about", findings);
    let duration = millis(fields, "duration_ms", findings);
    let measure_from = millis(fields, "measure_from_ms", findings);
    let timeout = millis(fields, "timeout_ms", findings);
    let instances_count = optional_count(fields, "instances_count", 1, findings);
    let zones = list(fields, "zones", findings, |node, findings| {
        node.non_empty_string(findings).map(str::to_owned)
    });
    let one_way_delay_same_zone = micros(fields, "way_same_zone_us", findings);
    let one_way_delay_other_zone = micros(fields, "way_other_zone_us", findings);
    let services = list(fields, "services", findings, parse_service_group);
    let initial = optional_count(fields, "initial_services_count", 0, findings);
    let snapshots_held_count = optional_count(fields, "snapshots_held_count", 1, findings);
    let latency = object(fields, "latency", findings, parse_latency);
    let straggler = object(fields, "straggler", findings, parse_straggler);
    let cold_start = object(fields, "cold", findings, parse_cold_start);
    let load_ratio = percent(fields, "load_percent", findings);
    let priorities = object(fields, "priorities", findings, parse_priorities);
    let faults = list(fields, "faults", findings, parse_fault);
    root.report_unread(findings);
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
        one_way_delay_same_zone: one_way_delay_same_zone?,
        one_way_delay_other_zone: one_way_delay_other_zone?,
        services,
        initial_services_count: (initial > 0).then_some(initial),
        snapshots_held_count,
        latency: latency?,
        straggler: straggler?,
        cold_start: cold_start?,
        load_ratio: load_ratio?,
        priorities: priorities?,
        faults,
    })
}

fn parse_service_group(node: Node<'_>, findings: &mut Findings) -> Option<ServiceGroup> {
    let mut fields = node.fields(findings)?;
    let name = text(&mut fields, "name", findings);
    let services_count = count(&mut fields, "count", findings);
    let targets_count = count(&mut fields, "targets_count", findings);
    let slots_count = count(&mut fields, "slots_count", findings);
    let connections_max_count = count(&mut fields, "connections_max_count", findings);
    let connect_time = micros(&mut fields, "connect_us", findings);
    let cold_bearable_count = count(&mut fields, "cold_bearable_count", findings);
    fields.report_unread(findings);
    Some(ServiceGroup {
        name: name?,
        count: services_count?,
        targets_count: targets_count?,
        slots_count: slots_count?,
        connections_max_count: connections_max_count?,
        connect_time: connect_time?,
        cold_bearable_count: cold_bearable_count?,
    })
}

fn parse_latency(fields: &mut Fields<'_>, findings: &mut Findings) -> Option<Latency> {
    let median = micros(fields, "median_us", findings);
    let sigma = percent(fields, "sigma_percent", findings);
    Some(Latency {
        median: median?,
        sigma: sigma?,
    })
}

fn parse_straggler(fields: &mut Fields<'_>, findings: &mut Findings) -> Option<Straggler> {
    let permille = fields
        .required("permille", findings)
        .and_then(|node| node.count(0..=1000, findings));
    let factor = count(fields, "factor", findings);
    Some(Straggler {
        ratio: f64::from(permille?) / 1000.0,
        factor: f64::from(factor?),
    })
}

fn parse_cold_start(fields: &mut Fields<'_>, findings: &mut Findings) -> Option<ColdStart> {
    let duration = millis(fields, "duration_ms", findings);
    let factor = percent(fields, "factor_percent", findings);
    let overload_factor = percent(fields, "overload_factor_percent", findings);
    let is_reported = fields
        .required("is_reported", findings)
        .and_then(|node| node.boolean(findings));
    let grace = millis(fields, "grace_ms", findings);
    Some(ColdStart {
        duration: duration?,
        factor: factor?,
        overload_factor: overload_factor?,
        is_reported: is_reported?,
        grace: grace?,
    })
}

fn parse_priorities(fields: &mut Fields<'_>, findings: &mut Findings) -> Option<Priorities> {
    let urgent = percent(fields, "urgent_percent", findings);
    let deferrable = percent(fields, "deferrable_percent", findings);
    Some(Priorities {
        urgent_ratio: urgent?,
        deferrable_ratio: deferrable?,
    })
}

fn parse_fault(node: Node<'_>, findings: &mut Findings) -> Option<Fault> {
    const KINDS: [(&str, FaultKind); 9] = [
        ("lose", FaultKind::Crash),
        ("return", FaultKind::Restart),
        ("turn-cold", FaultKind::EnterColdStart),
        ("hang", FaultKind::Hang),
        ("zone-out", FaultKind::ZoneOut),
        ("zone-in", FaultKind::ZoneIn),
        ("snapshot", FaultKind::SwitchSnapshot),
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
    let selector = fields
        .optional("select")
        .and_then(|node| node.non_empty_string(findings))
        .unwrap_or_default();
    let duration = fields
        .optional("spread_ms")
        .and_then(|node| node.millis(0..=MAX_MS, findings));
    fields.report_unread(findings);
    Some(Fault {
        at: at?,
        every,
        kind: kind?,
        selector: selector.to_owned(),
        duration: duration.unwrap_or_default(),
    })
}

fn object<T>(
    parent: &mut Fields<'_>,
    name: &str,
    findings: &mut Findings,
    parse_fields: impl FnOnce(&mut Fields<'_>, &mut Findings) -> Option<T>,
) -> Option<T> {
    let mut fields = parent.required(name, findings)?.fields(findings)?;
    let value = parse_fields(&mut fields, findings);
    fields.report_unread(findings);
    value
}

fn list<T>(
    fields: &mut Fields<'_>,
    name: &str,
    findings: &mut Findings,
    mut parse_item: impl FnMut(Node<'_>, &mut Findings) -> Option<T>,
) -> Vec<T> {
    let Some(node) = fields.required(name, findings) else {
        return Vec::new();
    };
    let items = node.items(findings);
    items
        .into_iter()
        .filter_map(|item| parse_item(item, findings))
        .collect()
}

fn text(fields: &mut Fields<'_>, name: &str, findings: &mut Findings) -> Option<String> {
    let node = fields.required(name, findings)?;
    node.non_empty_string(findings).map(str::to_owned)
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
    let value = node.and_then(|node| node.count(0..=MAX_COUNT, findings));
    value.unwrap_or(default_count)
}

fn percent(fields: &mut Fields<'_>, name: &str, findings: &mut Findings) -> Option<f64> {
    let node = fields.required(name, findings)?;
    let percent = node.count(0..=10_000, findings)?;
    Some(f64::from(percent) / 100.0)
}
