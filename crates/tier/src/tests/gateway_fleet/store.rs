//! The simulated store: registrations of targets, the configuration, lists and watches.

use std::{collections::BTreeMap, time::Duration};

use model::{
    Configuration, Destination, FrontEntry, Registration, ServiceEntry, StoreArea, StoreRead,
    StoreRecord,
};

use super::{Fleet, HOST, Scheduled, ZONES, schedule, service_name, target_address, target_id};

const STORE_DELAY: Duration = Duration::from_millis(4);

pub(super) fn registration(index: usize, run: u64) -> impl Fn(&Fleet) -> StoreRecord {
    move |fleet| StoreRecord::Target {
        target_id: target_id(index, run),
        registration: Some(Registration {
            service: fleet.targets[index].service.clone(),
            address: target_address(index),
            zone: ZONES[index % ZONES.len()].to_owned(),
            slots_count: 4,
            is_draining: false,
            cold_for: Duration::ZERO,
            born_ms: run,
        }),
    }
}

fn configuration(fleet: &Fleet) -> StoreRecord {
    let services = (0..fleet.services_count).map(service_name);
    let destination = match fleet.services_count {
        1 => Destination::Split(vec![(service_name(0), 1.0)]),
        _ => Destination::Gather {
            services: services.clone().collect(),
            records_count: 5,
            least_ratio: 0.75,
        },
    };
    let services = services.map(|name| ServiceEntry {
        name,
        connections_max_count: 100,
        cold_max_per_s: 10.0,
    });
    StoreRecord::Configuration(Configuration {
        organisations: Vec::new(),
        version: 1,
        fronts: vec![FrontEntry {
            is_public: false,
            name: "parts".to_owned(),
            host: HOST.to_owned(),
            prefix: "/".to_owned(),
            is_idempotent: true,
            timeout: Duration::from_secs(5),
            goal: Some(Duration::from_millis(200)),
            rank: 0,
            attempts_max_count: fleet.attempts_max_count,
            destination,
        }],
        services: services.collect(),
    })
}

/// Appends a record to the store's history and answers the watches on targets.
pub(super) fn publish(fleet: &mut Fleet, record: impl Fn(&Fleet) -> StoreRecord) {
    let record = record(fleet);
    let revision = fleet.history.len() as u64 + 1;
    fleet.history.push((revision, record));
    for index in 0..fleet.instances.len() {
        let watches = std::mem::take(&mut fleet.instances[index].watches);
        for read in watches {
            read_store(fleet, index, read);
        }
    }
}

pub(super) fn read_store(fleet: &mut Fleet, index: usize, read: StoreRead) {
    let revision = fleet.history.len() as u64;
    let records: Vec<StoreRecord> = match &read {
        StoreRead::List {
            area: StoreArea::Operators,
            ..
        } => vec![configuration(fleet)],
        StoreRead::List { .. } => current_registrations(fleet),
        StoreRead::Watch {
            area,
            after_revision,
            ..
        } => {
            let changes = fleet.history.iter();
            let changes = changes.filter(|(revision, _)| revision > after_revision);
            let changes: Vec<_> = changes.map(|(_, record)| record.clone()).collect();
            if *area == StoreArea::Operators || changes.is_empty() {
                return fleet.instances[index].watches.push(read);
            }
            changes
        }
    };
    let event = Scheduled::Store(read, records, revision);
    schedule(fleet, STORE_DELAY, index, event);
}

fn current_registrations(fleet: &Fleet) -> Vec<StoreRecord> {
    let mut current: BTreeMap<String, StoreRecord> = BTreeMap::new();
    for (_, record) in &fleet.history {
        match record {
            StoreRecord::Target { target_id, .. } => {
                current.insert(target_id.clone(), record.clone());
            }
            StoreRecord::TargetRemoved { target_id } => {
                current.remove(target_id);
            }
            _ => {}
        }
    }
    current.into_values().collect()
}
