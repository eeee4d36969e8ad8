//! The platform's instance list, which may be outdated and only adds unknown members.

use std::{net::SocketAddr, time::Instant};

use findings::{Findings, Node, with_document};
use model::{Effect, InstanceId, Level, LogLine, MemberRow, MemberState};
use settings::Settings;

use crate::{FleetState, member, platform_reads};

/// One entry of the instance list.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ListedInstance {
    name: String,
    zone: String,
    peer_address: SocketAddr,
    is_leaving: bool,
}

/// Handles the instance list.
///
/// Unknown instances are added with incarnation 0, so any row from the instance itself takes
/// precedence. The list never changes the row of a known member. An invalid list is ignored.
pub fn on_instance_list(
    fleet: &mut FleetState,
    settings: &Settings,
    now: Instant,
    body: &[u8],
    out: &mut Vec<Effect>,
) {
    let mut findings = Findings::default();
    let listed = parse_list(body, &mut findings);
    platform_reads::record_list_read(fleet, now);
    for finding in &findings.list {
        let line = LogLine::new(Level::Warn, "instances-faulty")
            .with("place", finding.path.as_str())
            .with("message", finding.message.as_str());
        out.push(Effect::Log(line));
    }
    if !findings.is_empty() {
        platform_reads::start_due_reads(fleet, settings, now, out);
        return;
    }
    for member in fleet.members.values_mut() {
        member.is_listed = false;
    }
    for instance in listed {
        add_listed(fleet, now, instance);
    }
    platform_reads::start_due_reads(fleet, settings, now, out);
}

fn add_listed(fleet: &mut FleetState, now: Instant, listed: ListedInstance) {
    if listed.name == fleet.id.name {
        return;
    }
    let state = if listed.is_leaving {
        MemberState::Leaving
    } else {
        MemberState::Alive
    };
    if !fleet.members.contains_key(&listed.name) {
        let row = MemberRow {
            understands_permits: false,
            id: InstanceId {
                name: listed.name.clone(),
                incarnation: 0,
            },
            address: listed.peer_address,
            zone: listed.zone,
            capacity_millicores: 0,
            counter: 0,
            state,
        };
        member::merge_row(fleet, now, &row);
    }
    if let Some(member) = fleet.members.get_mut(&listed.name) {
        member.is_listed = true;
    }
}

fn parse_list(body: &[u8], findings: &mut Findings) -> Vec<ListedInstance> {
    let Ok(document) = std::str::from_utf8(body) else {
        findings.add("$", "document is not valid UTF-8");
        return Vec::new();
    };
    let listed = with_document(document, findings, |root, findings| {
        let items = root.items(findings).into_iter();
        let listed = items.filter_map(|item| parse_instance(item, findings));
        Some(listed.collect())
    });
    listed.unwrap_or_default()
}

fn parse_instance(node: Node<'_>, findings: &mut Findings) -> Option<ListedInstance> {
    let mut fields = node.fields(findings)?;
    let name = fields.required("name", findings);
    let name = name.and_then(|node| node.non_empty_string(findings).map(str::to_owned));
    let zone = fields.required("zone", findings);
    let zone = zone.and_then(|node| node.non_empty_string(findings).map(str::to_owned));
    let peer_address = fields.required("peers", findings);
    let peer_address = peer_address.and_then(|node| node.address(findings));
    let states = [("live", false), ("leaving", true)];
    let state = fields.required("state", findings);
    let is_leaving = state.and_then(|node| node.one_of(&states, findings));
    fields.report_unread(findings);
    Some(ListedInstance {
        name: name?,
        zone: zone?,
        peer_address: peer_address?,
        is_leaving: is_leaving?,
    })
}
