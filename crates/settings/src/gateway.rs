//! Reads the section of the gateway, most of which a platform fills in.

use std::net::SocketAddr;

use findings::{Findings, Node};

use crate::{
    Gateway,
    read::{
        set_clamped_count, set_clamped_millis, set_count, set_decimal, set_millis, set_seconds,
    },
};

/// Reads the section of the gateway.
pub(crate) fn read_gateway(
    node: Node<'_>,
    peers: Option<SocketAddr>,
    findings: &mut Findings,
) -> Option<Gateway> {
    let mut fields = node.fields(findings)?;
    let listen = fields.required("listen", findings);
    let listen = listen.and_then(|node| node.address(findings));
    let store = fields.required("store", findings);
    let store = store.and_then(|node| node.address(findings));
    let seeds = fields.optional("seeds");
    let seeds = seeds.map(|node| read_seeds(&node, findings));
    let seeds = seeds.unwrap_or_default();
    let mut section = Gateway {
        listen: listen?,
        store: store?,
        peers: peers?,
        seeds,
        ..Gateway::default()
    };
    let section = &mut section;
    set_count(
        &mut section.body_max_bytes,
        &mut fields,
        "body_max_bytes",
        findings,
    );
    set_millis(
        &mut section.answer_reserve,
        &mut fields,
        "answer_reserve_ms",
        findings,
    );
    set_decimal(
        &mut section.retry_ratio,
        &mut fields,
        "retry_ratio",
        findings,
    );
    set_clamped_count(
        &mut section.retry_constant_count,
        &mut fields,
        "retry_constant_count",
        findings,
    );
    set_seconds(
        &mut section.retry_window,
        &mut fields,
        "retry_window_s",
        findings,
    );
    set_decimal(
        &mut section.cold_factor,
        &mut fields,
        "cold_factor",
        findings,
    );
    set_clamped_count(
        &mut section.cold_constant_count,
        &mut fields,
        "cold_constant_count",
        findings,
    );
    set_seconds(
        &mut section.shutdown_limit,
        &mut fields,
        "shutdown_limit_s",
        findings,
    );
    let limits = [
        ("contact_limit_ms", &mut section.contact_limit),
        ("configuration_limit_ms", &mut section.configuration_limit),
        ("evacuation_limit_ms", &mut section.evacuation_limit),
        ("drain_limit_ms", &mut section.drain_limit),
    ];
    for (name, limit) in limits {
        set_clamped_millis(limit, &mut fields, name, findings);
    }
    fields.report_unread(findings);
    Some(section.clone())
}

/// Reads the addresses of other instances. An unusable one is ignored: any of them is enough, and
/// the others also find this instance.
fn read_seeds(node: &Node<'_>, findings: &mut Findings) -> Vec<SocketAddr> {
    if node.is_null() {
        return Vec::new();
    }
    let items = node.items(findings);
    let addresses = items.iter().filter_map(|item| {
        let mut faults = Findings::default();
        let address = item.address(&mut faults);
        findings.notices.append(&mut faults.list);
        address
    });
    addresses.collect()
}
