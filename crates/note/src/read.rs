//! Reads and validates release notes and changes.

use findings::{Fields, Findings, Node, with_document};

use crate::{
    AcceptedRequests, Change, Fleet, Front, Note, Service, ShardMap, Target, TargetState, Zone,
    ZoneState, check,
};

const MAX_COUNT: u32 = 1_000_000;
/// Maximum size of a value that the platform stores.
const DOCUMENT_MAX_BYTES: usize = 1_048_576;

/// Reads and validates a release note from its published JSON document.
///
/// Returns `None` if there is any finding.
pub fn read(document: &str, findings: &mut Findings) -> Option<Note> {
    if document.len() > DOCUMENT_MAX_BYTES {
        let size_bytes = document.len();
        let message = format!(
            "the document has {size_bytes} bytes, the platform stores {DOCUMENT_MAX_BYTES} at most"
        );
        findings.add("$", message);
        return None;
    }
    let note = with_document(document, findings, read_note)?;
    check(&note, findings);
    findings::locate(document, findings);
    findings.is_empty().then_some(note)
}

/// Reads an operator's change: `added`, `changed` and `withdrawn`, each of which may be absent.
///
/// Returns `None` if there is any finding.
pub fn read_change(document: &str, findings: &mut Findings) -> Option<Change> {
    let change = with_document(document, findings, |root, findings| {
        let mut fields = root.fields(findings)?;
        let added = fields.optional("added");
        let changed = fields.optional("changed");
        let change = Change {
            added: read_partial_fleet(added, findings),
            changed: read_partial_fleet(changed, findings),
            withdrawn: read_optional_list(&mut fields, "withdrawn", findings, read_name),
        };
        fields.report_unread(findings);
        Some(change)
    })?;
    findings.is_empty().then_some(change)
}

/// Reads a partial fleet, in which any list may be absent.
fn read_partial_fleet(node: Option<Node<'_>>, findings: &mut Findings) -> Fleet {
    let Some(mut fields) = node.and_then(|node| node.fields(findings)) else {
        return Fleet::default();
    };
    let fleet = Fleet {
        zones: read_optional_list(&mut fields, "zones", findings, read_zone),
        fronts: read_optional_list(&mut fields, "fronts", findings, read_front),
        services: read_optional_list(&mut fields, "services", findings, read_service),
        released_fingerprints: read_optional_list(
            &mut fields,
            "released_fingerprints",
            findings,
            read_fingerprint,
        ),
    };
    fields.report_unread(findings);
    fleet
}

fn read_note(root: Node<'_>, findings: &mut Findings) -> Option<Note> {
    let mut fields = root.fields(findings)?;
    let revision = fields
        .required("revision", findings)
        .and_then(|node| node.number(1..=u64::MAX, findings));
    let added = read_list(&mut fields, "added", findings, read_name);
    let changed = read_list(&mut fields, "changed", findings, read_name);
    let withdrawn = read_list(&mut fields, "withdrawn", findings, read_name);
    let fleet = fields
        .required("fleet", findings)
        .and_then(|node| read_fleet(node, findings));
    fields.report_unread(findings);
    Some(Note {
        revision: revision?,
        added,
        changed,
        withdrawn,
        fleet: fleet?,
    })
}

fn read_fleet(node: Node<'_>, findings: &mut Findings) -> Option<Fleet> {
    let mut fields = node.fields(findings)?;
    let zones = read_list(&mut fields, "zones", findings, read_zone);
    let fronts = read_list(&mut fields, "fronts", findings, read_front);
    let services = read_list(&mut fields, "services", findings, read_service);
    let released_fingerprints = read_list(
        &mut fields,
        "released_fingerprints",
        findings,
        read_fingerprint,
    );
    fields.report_unread(findings);
    Some(Fleet {
        zones,
        fronts,
        services,
        released_fingerprints,
    })
}

fn read_zone(node: Node<'_>, findings: &mut Findings) -> Option<Zone> {
    let mut fields = node.fields(findings)?;
    let name = required_name(&mut fields, findings);
    let words = [("in", ZoneState::In), ("out", ZoneState::Out)];
    let state = fields
        .required("state", findings)
        .and_then(|node| node.one_of(&words, findings));
    fields.report_unread(findings);
    Some(Zone {
        name: name?,
        state: state?,
    })
}

fn read_front(node: Node<'_>, findings: &mut Findings) -> Option<Front> {
    let mut fields = node.fields(findings)?;
    let name = required_name(&mut fields, findings);
    let words = [
        ("any", AcceptedRequests::Any),
        ("once", AcceptedRequests::Once),
    ];
    let requests = match fields.optional("requests") {
        Some(node) => node.one_of(&words, findings),
        None => Some(AcceptedRequests::default()),
    };
    let zones = read_list(&mut fields, "zones", findings, read_name);
    let shard_maps = read_list(&mut fields, "shard_maps", findings, read_shard_map);
    fields.report_unread(findings);
    Some(Front {
        name: name?,
        requests: requests?,
        zones,
        shard_maps,
    })
}

fn read_shard_map(node: Node<'_>, findings: &mut Findings) -> Option<ShardMap> {
    let mut fields = node.fields(findings)?;
    let from_snapshot = fields
        .required("from_snapshot", findings)
        .and_then(|node| node.number(0..=u64::MAX, findings));
    let services = read_list(&mut fields, "services", findings, read_name);
    fields.report_unread(findings);
    Some(ShardMap {
        from_snapshot: from_snapshot?,
        services,
    })
}

fn read_service(node: Node<'_>, findings: &mut Findings) -> Option<Service> {
    let mut fields = node.fields(findings)?;
    let name = required_name(&mut fields, findings);
    let targets = read_list(&mut fields, "targets", findings, read_target);
    fields.report_unread(findings);
    Some(Service {
        name: name?,
        targets,
    })
}

fn read_target(node: Node<'_>, findings: &mut Findings) -> Option<Target> {
    let mut fields = node.fields(findings)?;
    let name = required_name(&mut fields, findings);
    let zone = fields
        .required("zone", findings)
        .and_then(|node| read_name(node, findings));
    let address = fields
        .required("address", findings)
        .and_then(|node| node.address(findings));
    let slots_count = required_count(&mut fields, "slots_count", findings);
    let connections_max_count = required_count(&mut fields, "connections_max_count", findings);
    let cold_bearable_count = required_count(&mut fields, "cold_bearable_count", findings);
    let words = [("in", TargetState::In), ("leaving", TargetState::Leaving)];
    let state = fields
        .required("state", findings)
        .and_then(|node| node.one_of(&words, findings));
    fields.report_unread(findings);
    Some(Target {
        name: name?,
        zone: zone?,
        address: address?,
        slots_count: slots_count?,
        connections_max_count: connections_max_count?,
        cold_bearable_count: cold_bearable_count?,
        state: state?,
    })
}

fn required_name(fields: &mut Fields<'_>, findings: &mut Findings) -> Option<String> {
    fields
        .required("name", findings)
        .and_then(|node| read_name(node, findings))
}

fn required_count(fields: &mut Fields<'_>, name: &str, findings: &mut Findings) -> Option<u32> {
    fields
        .required(name, findings)
        .and_then(|node| node.count(1..=MAX_COUNT, findings))
}

fn read_name(node: Node<'_>, findings: &mut Findings) -> Option<String> {
    node.non_empty_string(findings).map(str::to_owned)
}

fn read_fingerprint(node: Node<'_>, findings: &mut Findings) -> Option<u64> {
    node.number(0..=u64::MAX, findings)
}

fn read_list<T>(
    fields: &mut Fields<'_>,
    name: &str,
    findings: &mut Findings,
    read: impl Fn(Node<'_>, &mut Findings) -> Option<T>,
) -> Vec<T> {
    let Some(node) = fields.required(name, findings) else {
        return Vec::new();
    };
    read_items(&node, findings, read)
}

fn read_optional_list<T>(
    fields: &mut Fields<'_>,
    name: &str,
    findings: &mut Findings,
    read: impl Fn(Node<'_>, &mut Findings) -> Option<T>,
) -> Vec<T> {
    let node = fields.optional(name);
    node.map_or_else(Vec::new, |node| read_items(&node, findings, read))
}

fn read_items<T>(
    node: &Node<'_>,
    findings: &mut Findings,
    read: impl Fn(Node<'_>, &mut Findings) -> Option<T>,
) -> Vec<T> {
    let items = node.items(findings).into_iter();
    items.filter_map(|item| read(item, findings)).collect()
}
