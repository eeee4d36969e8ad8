//! Consistency checks of a single note.

use std::collections::{BTreeMap, BTreeSet};

use findings::Findings;

use crate::{Fleet, Front, Note, Service, Target, TargetState, ZoneState, item_path};

/// Maximum length of a name.
const NAME_MAX_BYTES: usize = 64;
/// Maximum number of availability zones in a fleet.
const ZONES_MAX_COUNT: usize = 64;
/// Maximum number of fronts in a fleet.
const FRONTS_MAX_COUNT: usize = 1_000;
/// Maximum number of services in a fleet.
const SERVICES_MAX_COUNT: usize = 5_000;
/// Maximum number of targets in a fleet, over all services.
const TARGETS_MAX_COUNT: usize = 10_000;

/// Checks names, references, limits and listed item paths, and that every front has a usable
/// target.
pub fn check(note: &Note, findings: &mut Findings) {
    let fleet = &note.fleet;
    check_limits(fleet, findings);
    check_names(fleet, findings);
    check_references(fleet, findings);
    check_listed_paths(note, findings);
    check_usable_targets(fleet, findings);
}

fn check_limits(fleet: &Fleet, findings: &mut Findings) {
    let targets_count = fleet
        .services
        .iter()
        .map(|service| service.targets.len())
        .sum();
    let limits = [
        ("zones", fleet.zones.len(), ZONES_MAX_COUNT),
        ("fronts", fleet.fronts.len(), FRONTS_MAX_COUNT),
        ("services", fleet.services.len(), SERVICES_MAX_COUNT),
        ("services", targets_count, TARGETS_MAX_COUNT),
    ];
    for (field, count, max_count) in limits {
        if count > max_count {
            let message = format!("{count} entries or targets, {max_count} at most");
            findings.add(&format!("$.fleet.{field}"), message);
        }
    }
}

fn check_names(fleet: &Fleet, findings: &mut Findings) {
    let zones = fleet.zones.iter().map(|zone| zone.name.as_str());
    check_unique_names(
        zones,
        |index| format!("$.fleet.zones[{index}].name"),
        findings,
    );
    let fronts = fleet.fronts.iter().map(|front| front.name.as_str());
    check_unique_names(
        fronts,
        |index| format!("$.fleet.fronts[{index}].name"),
        findings,
    );
    let services = fleet.services.iter().map(|service| service.name.as_str());
    check_unique_names(
        services,
        |index| format!("$.fleet.services[{index}].name"),
        findings,
    );
    let mut names: BTreeMap<&str, String> = BTreeMap::new();
    let mut addresses = BTreeMap::new();
    for (json_path, target) in targets_with_json_paths(fleet) {
        check_name_syntax(&target.name, &format!("{json_path}.name"), findings);
        if let Some(first) = names.insert(&target.name, json_path.clone()) {
            let message = format!("`{}` is also the name of {first}", target.name);
            findings.add(&format!("{json_path}.name"), message);
        }
        if let Some(first) = addresses.insert(target.address, json_path.clone()) {
            let message = format!("{} is also the address of {first}", target.address);
            findings.add(&format!("{json_path}.address"), message);
        }
    }
    let released = fleet.released_fingerprints.iter().map(u64::to_string);
    let released: Vec<String> = released.collect();
    let json_path = |index| format!("$.fleet.released_fingerprints[{index}]");
    check_unique_names(released.iter().map(String::as_str), json_path, findings);
}

fn check_references(fleet: &Fleet, findings: &mut Findings) {
    let zones: BTreeSet<&str> = fleet.zones.iter().map(|zone| zone.name.as_str()).collect();
    let services = fleet.services.iter().map(|service| service.name.as_str());
    let services: BTreeSet<&str> = services.collect();
    for (json_path, target) in targets_with_json_paths(fleet) {
        if !zones.contains(target.zone.as_str()) {
            let message = format!("there is no zone `{}`", target.zone);
            findings.add(&format!("{json_path}.zone"), message);
        }
    }
    for (index, service) in fleet.services.iter().enumerate() {
        if service.targets.is_empty() {
            let json_path = format!("$.fleet.services[{index}].targets");
            findings.add(&json_path, format!("`{}` has no target", service.name));
        }
    }
    for (index, front) in fleet.fronts.iter().enumerate() {
        let front_path = format!("$.fleet.fronts[{index}]");
        let json_path = |position| format!("{front_path}.zones[{position}]");
        check_reference_list(&front.zones, &zones, "zone", json_path, findings);
        check_shard_maps(front, &front_path, &services, findings);
    }
}

fn check_shard_maps(
    front: &Front,
    front_path: &str,
    services: &BTreeSet<&str>,
    findings: &mut Findings,
) {
    if front.shard_maps.is_empty() {
        let message = format!("`{}` has no shard map", front.name);
        findings.add(&format!("{front_path}.shard_maps"), message);
    }
    let mut previous = None;
    for (index, map) in front.shard_maps.iter().enumerate() {
        let map_path = format!("{front_path}.shard_maps[{index}]");
        if previous.is_some_and(|previous| map.from_snapshot <= previous) {
            let message = "must be larger than that of the shard map before";
            findings.add(&format!("{map_path}.from_snapshot"), message);
        }
        previous = Some(map.from_snapshot);
        if map.services.is_empty() {
            findings.add(&format!("{map_path}.services"), "names no service");
        }
        let json_path = |position| format!("{map_path}.services[{position}]");
        check_reference_list(&map.services, services, "service", json_path, findings);
    }
}

/// Checks that the fleet contains the items listed as added or changed and not those listed as
/// withdrawn.
fn check_listed_paths(note: &Note, findings: &mut Findings) {
    let present: BTreeSet<String> = item_path::all(&note.fleet).collect();
    let lists = [
        ("added", &note.added, true),
        ("changed", &note.changed, true),
        ("withdrawn", &note.withdrawn, false),
    ];
    let mut seen: BTreeSet<&str> = BTreeSet::new();
    for (field, paths, must_be_present) in lists {
        for (index, path) in paths.iter().enumerate() {
            let json_path = format!("$.{field}[{index}]");
            if !seen.insert(path) {
                findings.add(&json_path, format!("`{path}` is listed twice"));
            }
            let is_present = present.contains(path);
            if must_be_present && !is_present {
                findings.add(&json_path, format!("the fleet has no `{path}`"));
            }
            if !must_be_present && is_present {
                findings.add(&json_path, format!("the fleet still has `{path}`"));
            }
        }
    }
}

/// Checks that at least one zone is in use and that every front has a target that may receive work.
fn check_usable_targets(fleet: &Fleet, findings: &mut Findings) {
    let zones = fleet
        .zones
        .iter()
        .filter(|zone| zone.state == ZoneState::In);
    let zones_in_use: BTreeSet<&str> = zones.map(|zone| zone.name.as_str()).collect();
    if zones_in_use.is_empty() {
        findings.add(
            "$.fleet.zones",
            "no zone has the state `in`, so no request could be served",
        );
        return;
    }
    let services = fleet
        .services
        .iter()
        .map(|service| (service.name.as_str(), service));
    let services: BTreeMap<&str, &Service> = services.collect();
    for (index, front) in fleet.fronts.iter().enumerate() {
        let is_usable = |target: &Target| {
            let is_in_front_zones = front.zones.is_empty() || front.zones.contains(&target.zone);
            let is_zone_in_use = zones_in_use.contains(target.zone.as_str());
            is_in_front_zones && is_zone_in_use && target.state == TargetState::In
        };
        let names = front.shard_maps.iter().flat_map(|map| &map.services);
        let services = names.filter_map(|name| services.get(name.as_str()));
        let mut targets = services.flat_map(|service| &service.targets);
        if !targets.any(is_usable) {
            let message = format!("no target may receive work for `{}`", front.name);
            findings.add(&format!("$.fleet.fronts[{index}]"), message);
        }
    }
}

fn targets_with_json_paths(fleet: &Fleet) -> impl Iterator<Item = (String, &Target)> {
    let services = fleet.services.iter().enumerate();
    services.flat_map(|(service_index, service)| {
        let targets = service.targets.iter().enumerate();
        targets.map(move |(index, target)| {
            let json_path = format!("$.fleet.services[{service_index}].targets[{index}]");
            (json_path, target)
        })
    })
}

fn check_unique_names<'a>(
    names: impl Iterator<Item = &'a str>,
    json_path: impl Fn(usize) -> String,
    findings: &mut Findings,
) {
    let mut seen = BTreeMap::new();
    for (index, name) in names.enumerate() {
        check_name_syntax(name, &json_path(index), findings);
        if let Some(first) = seen.insert(name, index) {
            let message = format!("`{name}` is also at {}", json_path(first));
            findings.add(&json_path(index), message);
        }
    }
}

fn check_name_syntax(name: &str, json_path: &str, findings: &mut Findings) {
    if name.len() > NAME_MAX_BYTES {
        findings.add(json_path, format!("longer than {NAME_MAX_BYTES} bytes"));
    }
    if name.contains(|c: char| c == '/' || c.is_whitespace() || c.is_control()) {
        findings.add(
            json_path,
            format!("`{name}` has a slash, a space or a control character"),
        );
    }
}

fn check_reference_list(
    names: &[String],
    known: &BTreeSet<&str>,
    kind: &str,
    json_path: impl Fn(usize) -> String,
    findings: &mut Findings,
) {
    let mut seen = BTreeSet::new();
    for (index, name) in names.iter().enumerate() {
        if !known.contains(name.as_str()) {
            findings.add(&json_path(index), format!("there is no {kind} `{name}`"));
        }
        if !seen.insert(name) {
            findings.add(
                &json_path(index),
                format!("{kind} `{name}` is listed twice"),
            );
        }
    }
}
