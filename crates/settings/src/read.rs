//! Reads and validates a settings file.

use std::time::Duration;

use findings::{Fields, Findings, Node, with_document};

use crate::{
    Admit, Fleet, Instance, Listen, Once, Platform, Query, Route, Settings, gateway::read_gateway,
};

const MAX_DURATION_MS: u64 = 3_600_000;
const MAX_COUNT: u32 = 1_000_000;
/// Upper bound of settings that may have decimals, such as ratios, factors and numbers of cores.
const MAX_DECIMAL: f64 = 1_000_000.0;
/// Shortest duration of a setting in seconds.
const MIN_DURATION_S: f64 = 0.001;

/// Maximum time that one watch of the platform's configuration waits, unless the file sets it.
const WATCH_TIMEOUT_DEFAULT: Duration = Duration::from_secs(4);

/// Reads and validates the settings of an instance from a JSON document.
///
/// Returns `None` if there is any finding. A value that can be replaced without harm to callers
/// adds only a notice.
pub fn read(document: &str, findings: &mut Findings) -> Option<Settings> {
    let settings = with_document(document, findings, read_settings)?;
    check_consistency(&settings, findings);
    findings.is_empty().then_some(settings)
}

fn read_settings(root: Node<'_>, findings: &mut Findings) -> Option<Settings> {
    let mut fields = root.fields(findings)?;
    let instance = fields
        .required("instance", findings)
        .and_then(|node| read_instance(node, findings));
    let listen = fields.required("listen", findings);
    let gateway_node = fields.optional("gateway");
    let has_gateway = gateway_node.is_some();
    let listen = listen.and_then(|node| read_listen(node, has_gateway, findings));
    let peers = listen.as_ref().map(|listen| listen.peers);
    let gateway = gateway_node.and_then(|node| read_gateway(node, peers, findings));
    let platform = match &gateway {
        Some(gateway) => Some(Platform {
            address: gateway.store,
            watch_timeout: WATCH_TIMEOUT_DEFAULT,
        }),
        None if has_gateway => None,
        None => fields
            .required("platform", findings)
            .and_then(|node| read_platform(node, findings)),
    };
    let query = read_section(&mut fields, "query", findings, read_query);
    let route = read_section(&mut fields, "route", findings, read_route);
    let admit = read_section(&mut fields, "admit", findings, read_admit);
    let once = read_section(&mut fields, "once", findings, read_once);
    let fleet = read_section(&mut fields, "fleet", findings, read_fleet);
    fields.report_unread(findings);
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

/// Reads a section that may be absent and whose fields all have defaults.
fn read_section<T: Default>(
    parent: &mut Fields<'_>,
    name: &str,
    findings: &mut Findings,
    read: impl FnOnce(&mut T, &mut Fields<'_>, &mut Findings),
) -> T {
    let mut section = T::default();
    let Some(node) = parent.optional(name) else {
        return section;
    };
    let Some(mut fields) = node.fields(findings) else {
        return section;
    };
    read(&mut section, &mut fields, findings);
    fields.report_unread(findings);
    section
}

fn read_instance(node: Node<'_>, findings: &mut Findings) -> Option<Instance> {
    let mut fields = node.fields(findings)?;
    let name = fields
        .required("name", findings)
        .and_then(|node| node.non_empty_string(findings));
    let zone = fields
        .required("zone", findings)
        .and_then(|node| node.non_empty_string(findings));
    let mut cores = 0.0;
    set_decimal(&mut cores, &mut fields, "cores", findings);
    let mut core_share = 1.0;
    set_decimal(&mut core_share, &mut fields, "core_share", findings);
    let memory_mb = read_limit(&mut fields, "memory_mb", findings);
    let descriptors_max_count = read_limit(&mut fields, "descriptors_max_count", findings);
    fields.report_unread(findings);
    Some(Instance {
        name: name?.to_owned(),
        zone: zone?.to_owned(),
        // A float-to-integer conversion saturates.
        capacity_millicores: (cores * core_share * 1000.0) as u32,
        memory_mb,
        descriptors_max_count,
    })
}

/// Reads a limit of the machine; an absent, null or zero one states nothing.
fn read_limit(fields: &mut Fields<'_>, name: &str, findings: &mut Findings) -> Option<u32> {
    let mut limit = 0.0;
    set_decimal(&mut limit, fields, name, findings);
    // A float-to-integer conversion saturates.
    Some(limit as u32).filter(|limit| *limit > 0)
}

fn read_listen(node: Node<'_>, has_gateway: bool, findings: &mut Findings) -> Option<Listen> {
    let mut fields = node.fields(findings)?;
    let callers = match has_gateway {
        true => fields.optional("callers"),
        false => fields.required("callers", findings),
    };
    let callers = callers.and_then(|node| node.address(findings));
    let operators = fields
        .required("operators", findings)
        .and_then(|node| node.address(findings));
    let peers = fields
        .required("peers", findings)
        .and_then(|node| node.address(findings));
    let peers_bind = fields.optional("peers_bind");
    let peers_bind = peers_bind.and_then(|node| node.address(findings));
    fields.report_unread(findings);
    Some(Listen {
        callers,
        operators: operators?,
        peers: peers?,
        peers_bind,
    })
}

fn read_platform(node: Node<'_>, findings: &mut Findings) -> Option<Platform> {
    let mut fields = node.fields(findings)?;
    let address = fields
        .required("address", findings)
        .and_then(|node| node.address(findings));
    let mut watch_timeout = WATCH_TIMEOUT_DEFAULT;
    set_millis(
        &mut watch_timeout,
        &mut fields,
        "watch_timeout_ms",
        findings,
    );
    fields.report_unread(findings);
    Some(Platform {
        address: address?,
        watch_timeout,
    })
}

/// Most zones of a deployment that are read.
const ZONES_MAX_COUNT: usize = 1_000;

/// Reads the names of zones that a platform fills in; an unusable one is left out.
fn read_zones(node: &Node<'_>, findings: &mut Findings) -> Vec<String> {
    if node.is_null() {
        return Vec::new();
    }
    let items = node.items(findings);
    let names = items.iter().take(ZONES_MAX_COUNT).filter_map(|item| {
        let mut faults = Findings::default();
        let name = item.non_empty_string(&mut faults).map(str::to_owned);
        findings.notices.append(&mut faults.list);
        name
    });
    names.collect()
}

fn read_query(section: &mut Query, fields: &mut Fields<'_>, findings: &mut Findings) {
    set_millis(&mut section.timeout_max, fields, "timeout_max_ms", findings);
    set_count(
        &mut section.body_max_bytes,
        fields,
        "body_max_bytes",
        findings,
    );
    set_millis(
        &mut section.answer_reserve,
        fields,
        "answer_reserve_ms",
        findings,
    );
    set_ratio(
        &mut section.hedge_quantile_ratio,
        fields,
        "hedge_quantile_percent",
        findings,
    );
    set_ratio(
        &mut section.hedge_budget_ratio,
        fields,
        "hedge_budget_percent",
        findings,
    );
    set_ratio(
        &mut section.retry_budget_ratio,
        fields,
        "retry_budget_percent",
        findings,
    );
}

fn read_route(section: &mut Route, fields: &mut Fields<'_>, findings: &mut Findings) {
    set_millis(&mut section.probe_idle, fields, "probe_idle_ms", findings);
    set_count(
        &mut section.ramp_success_count,
        fields,
        "ramp_success_count",
        findings,
    );
}

fn read_admit(section: &mut Admit, fields: &mut Fields<'_>, findings: &mut Findings) {
    set_count(
        &mut section.running_max_count,
        fields,
        "running_max_count",
        findings,
    );
    set_count(
        &mut section.queued_max_count,
        fields,
        "queued_max_count",
        findings,
    );
    set_count(
        &mut section.deferrable_share_count,
        fields,
        "deferrable_share_count",
        findings,
    );
}

fn read_once(section: &mut Once, fields: &mut Fields<'_>, findings: &mut Findings) {
    set_millis(
        &mut section.ticket_retention,
        fields,
        "ticket_retention_ms",
        findings,
    );
    set_count(
        &mut section.tickets_max_count,
        fields,
        "tickets_max_count",
        findings,
    );
    set_count(
        &mut section.answer_max_bytes,
        fields,
        "answer_max_bytes",
        findings,
    );
    set_count(
        &mut section.strikes_max_count,
        fields,
        "strikes_max_count",
        findings,
    );
    set_millis(
        &mut section.quarantine_duration,
        fields,
        "quarantine_duration_ms",
        findings,
    );
}

fn read_fleet(section: &mut Fleet, fields: &mut Fields<'_>, findings: &mut Findings) {
    set_millis(&mut section.tick, fields, "tick_ms", findings);
    set_count(&mut section.fanout_count, fields, "fanout_count", findings);
    set_count(
        &mut section.readers_per_zone_count,
        fields,
        "readers_per_zone_count",
        findings,
    );
    set_millis(
        &mut section.freshness_limit,
        fields,
        "freshness_limit_ms",
        findings,
    );
    set_millis(
        &mut section.suspect_after,
        fields,
        "suspect_after_ms",
        findings,
    );
    set_millis(&mut section.gone_after, fields, "gone_after_ms", findings);
    set_millis(&mut section.join_limit, fields, "join_limit_ms", findings);
    set_millis(&mut section.leave_quiet, fields, "leave_quiet_ms", findings);
    set_millis(
        &mut section.pause_threshold,
        fields,
        "pause_threshold_ms",
        findings,
    );
    if let Some(node) = fields.optional("zones") {
        section.zones = read_zones(&node, findings);
    }
}

/// Replaces the default in `value` with the number of milliseconds in a field, if there is one.
pub(crate) fn set_millis(
    value: &mut Duration,
    fields: &mut Fields<'_>,
    name: &str,
    findings: &mut Findings,
) {
    let Some(node) = fields.optional(name) else {
        return;
    };
    let Some(duration) = node.millis(1..=MAX_DURATION_MS, findings) else {
        return;
    };
    *value = duration;
}

/// Replaces the default in `value` with the whole number in a field, if there is one.
pub(crate) fn set_count(
    value: &mut u32,
    fields: &mut Fields<'_>,
    name: &str,
    findings: &mut Findings,
) {
    let Some(node) = fields.optional(name) else {
        return;
    };
    let Some(count) = node.count(1..=MAX_COUNT, findings) else {
        return;
    };
    *value = count;
}

/// Replaces the default in `value` with the whole number in a field that a platform fills in.
/// Decimals are cut off, and a number out of range is moved to the nearest bound.
pub(crate) fn set_clamped_count(
    value: &mut u32,
    fields: &mut Fields<'_>,
    name: &str,
    findings: &mut Findings,
) {
    let Some(node) = fields.optional(name) else {
        return;
    };
    let Some(number) = node.clamped_decimal(0.0..=f64::from(MAX_COUNT), findings) else {
        return;
    };
    // The number is within the range of the type.
    *value = number as u32;
}

/// Replaces the default in `value` with the number of seconds in a field that a platform fills in.
/// It may have decimals, and a number out of range is moved to the nearest bound.
pub(crate) fn set_seconds(
    value: &mut Duration,
    fields: &mut Fields<'_>,
    name: &str,
    findings: &mut Findings,
) {
    let Some(node) = fields.optional(name) else {
        return;
    };
    let max_s = MAX_DURATION_MS as f64 / 1000.0;
    let Some(seconds) = node.clamped_decimal(MIN_DURATION_S..=max_s, findings) else {
        return;
    };
    *value = Duration::from_secs_f64(seconds);
}

/// Replaces the default in `value` with the number of milliseconds in a field that a platform fills
/// in. It may have decimals, and a number out of range is moved to the nearest bound.
pub(crate) fn set_clamped_millis(
    value: &mut Duration,
    fields: &mut Fields<'_>,
    name: &str,
    findings: &mut Findings,
) {
    let Some(node) = fields.optional(name) else {
        return;
    };
    let Some(millis) = node.clamped_decimal(1.0..=MAX_DURATION_MS as f64, findings) else {
        return;
    };
    *value = Duration::from_secs_f64(millis / 1000.0);
}

/// Replaces the default in `value` with the number in a field that a platform fills in. It may have
/// decimals, and a number out of range is moved to the nearest bound.
pub(crate) fn set_decimal(
    value: &mut f64,
    fields: &mut Fields<'_>,
    name: &str,
    findings: &mut Findings,
) {
    let Some(node) = fields.optional(name) else {
        return;
    };
    let Some(number) = node.clamped_decimal(0.0..=MAX_DECIMAL, findings) else {
        return;
    };
    *value = number;
}

/// Replaces the default in `value` with the ratio in a field, which states it as a whole
/// percentage.
fn set_ratio(value: &mut f64, fields: &mut Fields<'_>, name: &str, findings: &mut Findings) {
    let Some(node) = fields.optional(name) else {
        return;
    };
    let Some(percent) = node.count(0..=100, findings) else {
        return;
    };
    *value = f64::from(percent) / 100.0;
}

fn check_consistency(settings: &Settings, findings: &mut Findings) {
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
