//! The checked reading of a settings file.

use std::{net::SocketAddr, time::Duration};

use findings::{Fields, Findings, Node, with_document};

use crate::{Admit, Fleet, Gateway, Instance, Listen, Once, Platform, Query, Route, Settings};

const MAX_DURATION_MS: u64 = 3_600_000;
const MAX_COUNT: u32 = 1_000_000;
const MAX_FACTOR: f64 = 100.0;

/// Longest time that one watch of release notes waits, unless the file says otherwise.
const WATCH_TIMEOUT_DEFAULT: Duration = Duration::from_secs(4);

/// Reads the settings of an instance from a JSON document.
///
/// Returns `None` if there is any finding.
pub fn read(document: &str, findings: &mut Findings) -> Option<Settings> {
    let settings = with_document(document, findings, read_settings)?;
    check(&settings, findings);
    findings.is_empty().then_some(settings)
}

fn read_settings(root: Node<'_>, findings: &mut Findings) -> Option<Settings> {
    let mut fields = root.fields(findings)?;
    let instance = fields
        .required("instance", findings)
        .and_then(|n| read_instance(n, findings));
    let listen = fields.required("listen", findings);
    let gateway_node = fields.optional("gateway");
    let has_gateway = gateway_node.is_some();
    let listen = listen.and_then(|n| read_listen(n, has_gateway, findings));
    let peers = listen.as_ref().map(|listen| listen.peers);
    let gateway = gateway_node.and_then(|n| read_gateway(n, peers, findings));
    let platform = match &gateway {
        Some(gateway) => Some(Platform {
            address: gateway.store,
            watch_timeout: WATCH_TIMEOUT_DEFAULT,
        }),
        None if has_gateway => None,
        None => fields
            .required("platform", findings)
            .and_then(|n| read_platform(n, findings)),
    };
    let query = read_area(&mut fields, "query", findings, read_query);
    let route = read_area(&mut fields, "route", findings, read_route);
    let admit = read_area(&mut fields, "admit", findings, read_admit);
    let once = read_area(&mut fields, "once", findings, read_once);
    let fleet = read_area(&mut fields, "fleet", findings, read_fleet);
    fields.finish(findings);
    Some(Settings {
        instance: instance?,
        listen: listen?,
        platform: platform?,
        query,
        route,
        admit,
        once,
        fleet,
        gateway,
    })
}

/// Reads an area whose fields all have defaults.
fn read_area<T: Default>(
    parent: &mut Fields<'_>,
    name: &str,
    findings: &mut Findings,
    read: impl FnOnce(&mut T, &mut Fields<'_>, &mut Findings),
) -> T {
    let mut area = T::default();
    let Some(node) = parent.optional(name) else {
        return area;
    };
    let Some(mut fields) = node.fields(findings) else {
        return area;
    };
    read(&mut area, &mut fields, findings);
    fields.finish(findings);
    area
}

fn read_instance(node: Node<'_>, findings: &mut Findings) -> Option<Instance> {
    let mut fields = node.fields(findings)?;
    let name = fields
        .required("name", findings)
        .and_then(|n| n.text(findings));
    let zone = fields
        .required("zone", findings)
        .and_then(|n| n.text(findings));
    let mut cores = 0.0;
    set_fraction(&mut cores, &mut fields, "cores", findings);
    let mut share = 1.0;
    set_fraction(&mut share, &mut fields, "core_share", findings);
    fields.finish(findings);
    Some(Instance {
        name: name?.to_owned(),
        zone: zone?.to_owned(),
        // A float-to-integer conversion saturates.
        capacity_millicores: (cores * share * 1000.0) as u32,
    })
}

fn read_listen(node: Node<'_>, has_gateway: bool, findings: &mut Findings) -> Option<Listen> {
    let mut fields = node.fields(findings)?;
    let callers = match has_gateway {
        true => fields.optional("callers"),
        false => fields.required("callers", findings),
    };
    let callers = callers.and_then(|n| n.address(findings));
    let operators = fields
        .required("operators", findings)
        .and_then(|n| n.address(findings));
    let peers = fields
        .required("peers", findings)
        .and_then(|n| n.address(findings));
    fields.finish(findings);
    Some(Listen {
        callers,
        operators: operators?,
        peers: peers?,
    })
}

fn read_platform(node: Node<'_>, findings: &mut Findings) -> Option<Platform> {
    let mut fields = node.fields(findings)?;
    let address = fields
        .required("address", findings)
        .and_then(|n| n.address(findings));
    let mut watch_timeout = WATCH_TIMEOUT_DEFAULT;
    set_millis(
        &mut watch_timeout,
        &mut fields,
        "watch_timeout_ms",
        findings,
    );
    fields.finish(findings);
    Some(Platform {
        address: address?,
        watch_timeout,
    })
}

fn read_gateway(
    node: Node<'_>,
    peers: Option<SocketAddr>,
    findings: &mut Findings,
) -> Option<Gateway> {
    let mut fields = node.fields(findings)?;
    let listen = fields.required("listen", findings);
    let listen = listen.and_then(|n| n.address(findings));
    let store = fields.required("store", findings);
    let store = store.and_then(|n| n.address(findings));
    let seeds = fields.optional("seeds");
    let seeds = seeds.map(|node| node.items(findings)).unwrap_or_default();
    let seeds = seeds.iter().filter_map(|node| node.address(findings));
    let seeds = seeds.collect();
    let mut area = Gateway {
        listen: listen?,
        store: store?,
        peers: peers?,
        seeds,
        ..Gateway::default()
    };
    let area = &mut area;
    set_count(
        &mut area.body_max_bytes,
        &mut fields,
        "body_max_bytes",
        findings,
    );
    set_millis(
        &mut area.answer_reserve,
        &mut fields,
        "answer_reserve_ms",
        findings,
    );
    set_fraction(&mut area.retry_ratio, &mut fields, "retry_ratio", findings);
    set_count(
        &mut area.retry_constant_count,
        &mut fields,
        "retry_constant_count",
        findings,
    );
    set_seconds(
        &mut area.retry_window,
        &mut fields,
        "retry_window_s",
        findings,
    );
    set_fraction(&mut area.cold_factor, &mut fields, "cold_factor", findings);
    set_count(
        &mut area.cold_constant_count,
        &mut fields,
        "cold_constant_count",
        findings,
    );
    set_seconds(
        &mut area.shutdown_limit,
        &mut fields,
        "shutdown_limit_s",
        findings,
    );
    fields.finish(findings);
    Some(area.clone())
}

fn read_query(area: &mut Query, fields: &mut Fields<'_>, findings: &mut Findings) {
    set_millis(&mut area.timeout_max, fields, "timeout_max_ms", findings);
    set_count(&mut area.body_max_bytes, fields, "body_max_bytes", findings);
    set_millis(
        &mut area.answer_reserve,
        fields,
        "answer_reserve_ms",
        findings,
    );
    set_ratio(
        &mut area.hedge_quantile_ratio,
        fields,
        "hedge_quantile_percent",
        findings,
    );
    set_ratio(
        &mut area.hedge_budget_ratio,
        fields,
        "hedge_budget_percent",
        findings,
    );
    set_ratio(
        &mut area.retry_budget_ratio,
        fields,
        "retry_budget_percent",
        findings,
    );
}

fn read_route(area: &mut Route, fields: &mut Fields<'_>, findings: &mut Findings) {
    set_millis(&mut area.probe_idle, fields, "probe_idle_ms", findings);
    set_count(
        &mut area.ramp_success_count,
        fields,
        "ramp_success_count",
        findings,
    );
}

fn read_admit(area: &mut Admit, fields: &mut Fields<'_>, findings: &mut Findings) {
    set_count(
        &mut area.running_max_count,
        fields,
        "running_max_count",
        findings,
    );
    set_count(
        &mut area.queued_max_count,
        fields,
        "queued_max_count",
        findings,
    );
    set_count(
        &mut area.deferrable_share_count,
        fields,
        "deferrable_share_count",
        findings,
    );
}

fn read_once(area: &mut Once, fields: &mut Fields<'_>, findings: &mut Findings) {
    set_millis(
        &mut area.ticket_retention,
        fields,
        "ticket_retention_ms",
        findings,
    );
    set_count(
        &mut area.tickets_max_count,
        fields,
        "tickets_max_count",
        findings,
    );
    set_count(
        &mut area.answer_max_bytes,
        fields,
        "answer_max_bytes",
        findings,
    );
    set_count(
        &mut area.strikes_max_count,
        fields,
        "strikes_max_count",
        findings,
    );
    set_millis(
        &mut area.quarantine_duration,
        fields,
        "quarantine_duration_ms",
        findings,
    );
}

fn read_fleet(area: &mut Fleet, fields: &mut Fields<'_>, findings: &mut Findings) {
    set_millis(&mut area.tick, fields, "tick_ms", findings);
    set_count(&mut area.fanout_count, fields, "fanout_count", findings);
    set_count(
        &mut area.readers_per_zone_count,
        fields,
        "readers_per_zone_count",
        findings,
    );
    set_millis(
        &mut area.freshness_limit,
        fields,
        "freshness_limit_ms",
        findings,
    );
    set_millis(
        &mut area.suspect_after,
        fields,
        "suspect_after_ms",
        findings,
    );
    set_millis(&mut area.gone_after, fields, "gone_after_ms", findings);
    set_millis(&mut area.join_limit, fields, "join_limit_ms", findings);
    set_millis(&mut area.leave_quiet, fields, "leave_quiet_ms", findings);
    set_millis(
        &mut area.pause_threshold,
        fields,
        "pause_threshold_ms",
        findings,
    );
}

fn set_millis(value: &mut Duration, fields: &mut Fields<'_>, name: &str, findings: &mut Findings) {
    let Some(node) = fields.optional(name) else {
        return;
    };
    let Some(duration) = node.millis(1..=MAX_DURATION_MS, findings) else {
        return;
    };
    *value = duration;
}

fn set_count(value: &mut u32, fields: &mut Fields<'_>, name: &str, findings: &mut Findings) {
    let Some(node) = fields.optional(name) else {
        return;
    };
    let Some(count) = node.count(1..=MAX_COUNT, findings) else {
        return;
    };
    *value = count;
}

fn set_seconds(value: &mut Duration, fields: &mut Fields<'_>, name: &str, findings: &mut Findings) {
    let Some(node) = fields.optional(name) else {
        return;
    };
    let Some(seconds) = node.fraction(0.001..=MAX_DURATION_MS as f64 / 1000.0, findings) else {
        return;
    };
    *value = Duration::from_secs_f64(seconds);
}

fn set_fraction(value: &mut f64, fields: &mut Fields<'_>, name: &str, findings: &mut Findings) {
    let Some(node) = fields.optional(name) else {
        return;
    };
    let Some(fraction) = node.fraction(0.0..=MAX_FACTOR, findings) else {
        return;
    };
    *value = fraction;
}

/// Reads a ratio that the file states in whole percent.
fn set_ratio(value: &mut f64, fields: &mut Fields<'_>, name: &str, findings: &mut Findings) {
    let Some(node) = fields.optional(name) else {
        return;
    };
    let Some(percent) = node.count(0..=100, findings) else {
        return;
    };
    *value = f64::from(percent) / 100.0;
}

fn check(settings: &Settings, findings: &mut Findings) {
    let listen = &settings.listen;
    if listen.callers == Some(listen.operators) {
        findings.add("$.listen.operators", "is the same address as `callers`");
    }
    if listen.callers == Some(listen.peers) {
        findings.add("$.listen.peers", "is the same address as `callers`");
    }
    if listen.operators == listen.peers {
        findings.add("$.listen.peers", "is the same address as `operators`");
    }
    if settings.fleet.gone_after <= settings.fleet.suspect_after {
        findings.add(
            "$.fleet.gone_after_ms",
            "must be longer than `suspect_after_ms`",
        );
    }
}
