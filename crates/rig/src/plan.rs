//! Description of the fleet that a rig runs.

use std::{net::SocketAddr, path::PathBuf};

use note::{Fleet, Front, Note, Service, ShardMap, Target, TargetState, Zone, ZoneState};

use crate::Profile;

/// An instance that a rig runs.
#[derive(Clone, Debug)]
pub struct InstancePlan {
    /// Unique name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
}

/// A front with its services and their targets.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// Name of the front.
    pub front: String,
    /// Number of services.
    pub services_count: u32,
    /// Number of targets of each service, spread over the zones round-robin.
    pub targets_count: u32,
    /// Number of calls that each target executes at the same time.
    pub slots_count: u32,
    /// Number of connections that each target accepts from all instances together.
    pub connections_max_count: u32,
    /// Number of concurrent calls that each target withstands while it is cold, from all instances
    /// together. With fewer than one for each instance, some instances must wait before they send
    /// their first call.
    pub cold_bearable_count: u32,
}

/// Description of the fleet that a rig runs.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Cargo profile of the programs.
    pub profile: Profile,
    /// Directory that holds the built programs; if absent, the rig builds them.
    pub programs: Option<PathBuf>,
    /// Availability zones.
    pub zones: Vec<String>,
    /// Instances, in the order of their indices in the rig.
    pub instances: Vec<InstancePlan>,
    /// Fronts with their services and targets.
    pub fronts: Vec<ServicePlan>,
    /// Settings of the instances that differ from the defaults, by section, such as
    /// `{"fleet": {"tick_ms": 100}}`.
    pub settings: serde_json::Value,
    /// Seed of the random generator for the targets' latencies.
    pub seed: u64,
}

/// Returns a plan with one instance in each zone and a front `parts` whose services have two targets
/// each.
pub fn plan(zones: &[&str], services_count: u32) -> Plan {
    let instances = zones.iter().map(|zone| InstancePlan {
        name: format!("{zone}-1"),
        zone: (*zone).to_owned(),
    });
    Plan {
        profile: Profile::Debug,
        programs: None,
        zones: zones.iter().map(|zone| (*zone).to_owned()).collect(),
        instances: instances.collect(),
        fronts: vec![ServicePlan {
            front: "parts".to_owned(),
            services_count,
            targets_count: 2,
            slots_count: 4,
            connections_max_count: 32,
            cold_bearable_count: u32::try_from(zones.len()).unwrap_or(1),
        }],
        settings: serde_json::json!({}),
        seed: 1,
    }
}

/// Returns the initial configuration of a plan; `next_address` yields an address for each target.
pub(crate) fn initial_note(plan: &Plan, next_address: &mut impl FnMut() -> SocketAddr) -> Note {
    let zones = plan.zones.iter().map(|name| Zone {
        name: name.clone(),
        state: ZoneState::In,
    });
    let mut fleet = Fleet {
        zones: zones.collect(),
        ..Fleet::default()
    };
    for front in &plan.fronts {
        add_front(&mut fleet, plan, front, next_address);
    }
    let added = note::diff(&Fleet::default(), &fleet).added;
    Note {
        revision: 1,
        added,
        changed: Vec::new(),
        withdrawn: Vec::new(),
        fleet,
    }
}

fn add_front(
    fleet: &mut Fleet,
    plan: &Plan,
    front: &ServicePlan,
    next_address: &mut impl FnMut() -> SocketAddr,
) {
    let mut names = Vec::new();
    for service in 1..=front.services_count {
        let name = format!("{}-{service:02}", front.front);
        let targets = (0..front.targets_count).map(|replica| {
            let zone = (service + replica) as usize % plan.zones.len();
            Target {
                name: format!("{name}-t{}", replica + 1),
                zone: plan.zones[zone].clone(),
                address: next_address(),
                slots_count: front.slots_count,
                connections_max_count: front.connections_max_count,
                cold_bearable_count: front.cold_bearable_count,
                state: TargetState::In,
            }
        });
        fleet.services.push(Service {
            name: name.clone(),
            targets: targets.collect(),
        });
        names.push(name);
    }
    fleet.fronts.push(Front {
        name: front.front.clone(),
        requests: Default::default(),
        zones: Vec::new(),
        shard_maps: vec![ShardMap {
            from_snapshot: 1,
            services: names,
        }],
    });
}
