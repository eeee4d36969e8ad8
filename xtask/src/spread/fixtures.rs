//! Settings, release notes and instance lists of the simulated fleets.

use std::net::{Ipv4Addr, SocketAddr};

use settings::Settings;

/// Zones of the larger fleets: 2 regions with 5 each.
pub const ZONES_COUNT: usize = 10;
const PEERS_PORT: u16 = 7000;

/// Returns the name of the zone of an instance or target; zones are assigned in turn.
pub fn zone_name(index: usize, zones_count: usize) -> String {
    format!("zone-{}", index % zones_count)
}

/// Returns the number of zones of a fleet; fleets of up to 9 instances have 3.
pub fn zones_count(instances_count: usize) -> usize {
    if instances_count <= 9 { 3 } else { ZONES_COUNT }
}

/// Returns the address on which an instance accepts peers.
pub fn address(index: usize) -> SocketAddr {
    let index = u32::try_from(index).unwrap_or(0);
    SocketAddr::from((Ipv4Addr::from(0x0a00_0001 + index), PEERS_PORT))
}

/// Inverse of [`address`]; 0 for an IPv6 address.
pub fn index_of(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else {
        return 0;
    };
    (u32::from(*address.ip()) - 0x0a00_0001) as usize
}

/// Returns the settings of the instance at an index; no port is opened.
pub fn settings(index: usize, zones_count: usize) -> Settings {
    let document = serde_json::json!({
        "instance": {"name": format!("instance-{index:03}"), "zone": zone_name(index, zones_count)},
        "listen": {
            "callers": "127.0.0.1:1",
            "operators": "127.0.0.1:2",
            "peers": address(index).to_string(),
        },
        "platform": {"address": "127.0.0.1:4"},
    });
    let mut findings = findings::Findings::default();
    let settings = settings::read(&document.to_string(), &mut findings);
    settings.unwrap_or_else(|| panic!("unexpected findings in the settings: {findings}"))
}

/// Returns an encoded release note with one front of `services_count` services, with two targets
/// each.
pub fn note(revision: u64, zones_count: usize, services_count: usize) -> String {
    let zones: Vec<_> = (0..zones_count)
        .map(|index| serde_json::json!({"name": zone_name(index, zones_count), "state": "in"}))
        .collect();
    let name = |service: usize| format!("service-{service:04}");
    let target = |service: usize, replica: usize| {
        let number = service * 2 + replica;
        let ip = Ipv4Addr::from(0x0a40_0001 + u32::try_from(number).unwrap_or(0));
        serde_json::json!({
            "name": format!("target-{number:05}"), "zone": zone_name(number, zones_count),
            "address": format!("{ip}:8000"), "slots_count": 4, "connections_max_count": 100,
            "cold_bearable_count": 1, "state": "in",
        })
    };
    let services: Vec<_> = (0..services_count)
        .map(|service| {
            let targets = [target(service, 0), target(service, 1)];
            serde_json::json!({"name": name(service), "targets": targets})
        })
        .collect();
    let names: Vec<String> = (0..services_count).map(name).collect();
    let maps = [serde_json::json!({"from_snapshot": 1, "services": names})];
    serde_json::json!({
        "revision": revision, "added": [], "changed": [], "withdrawn": [],
        "fleet": {
            "zones": zones, "services": services, "released_fingerprints": [],
            "fronts": [{"name": "front", "zones": [], "shard_maps": maps}],
        },
    })
    .to_string()
}

/// Returns the platform's encoded list of instances.
pub fn instance_list(instances_count: usize, zones_count: usize) -> String {
    let listed = (0..instances_count).map(|index| {
        serde_json::json!({
            "name": format!("instance-{index:03}"), "zone": zone_name(index, zones_count),
            "peers": address(index).to_string(), "state": "live",
        })
    });
    serde_json::Value::Array(listed.collect()).to_string()
}
