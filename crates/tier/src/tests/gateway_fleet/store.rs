//! The simulated store: registrations of targets, the configuration, lists and watches.

use std::{collections::BTreeMap, time::Duration};

use model::{
    Configuration, Destination, FrontEntry, Registration, ServiceEntry, StoreArea, StoreRead,
    StoreRecord,
};

use super::{
    Fleet, HOST, InFlightRead, Scheduled, ZONES, schedule, service_name, target_address, target_id,
};

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

pub(super) fn configuration(fleet: &Fleet, version: u64) -> StoreRecord {
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
        version,
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

/// Appends a record to the store's history and answers the watches that wait for it.
pub(super) fn publish(fleet: &mut Fleet, record: impl Fn(&Fleet) -> StoreRecord) {
    let record = record(fleet);
    let revision = fleet.history.len() as u64 + 1;
    fleet.history.push((revision, record));
    for index in 0..fleet.instances.len() {
        let reads = fleet.instances[index].reads.iter();
        let waiting = reads.filter(|(_, read)| !read.is_answered);
        let waiting: Vec<u64> = waiting.map(|(&number, _)| number).collect();
        for number in waiting {
            answer_if_changed(fleet, index, number);
        }
    }
}

/// Publishes a version of the configuration that differs from the others in its number only.
pub(crate) fn publish_configuration(fleet: &mut Fleet, version: u64) {
    publish(fleet, |fleet| configuration(fleet, version));
}

/// Takes a zone out of service.
pub(crate) fn publish_evacuation(fleet: &mut Fleet, zone: &str) {
    publish(fleet, |_| StoreRecord::ZoneOut {
        zone: zone.to_owned(),
        is_out: true,
    });
}

/// Lets a target report that it is draining.
pub(crate) fn publish_draining(fleet: &mut Fleet, target: usize) {
    let register = registration(target, fleet.targets[target].run);
    publish(fleet, |fleet| match register(fleet) {
        StoreRecord::Target {
            target_id,
            registration,
        } => StoreRecord::Target {
            target_id,
            registration: registration.map(|registration| Registration {
                is_draining: true,
                ..registration
            }),
        },
        other => other,
    });
}

/// Starts a read of the store, which fails after `timeout`.
pub(super) fn read_store(fleet: &mut Fleet, index: usize, read: StoreRead, timeout: Duration) {
    let instance = &mut fleet.instances[index];
    instance.reads_count += 1;
    let number = instance.reads_count;
    let watch_wait = match &read {
        StoreRead::Watch { wait, .. } => Some(*wait),
        StoreRead::List { .. } => None,
    };
    let in_flight = InFlightRead {
        read,
        is_answered: false,
        is_silent: false,
    };
    instance.reads.insert(number, in_flight);
    schedule(fleet, timeout, index, Scheduled::ReadTimeout(number));
    match watch_wait {
        Some(wait) => {
            schedule(fleet, wait, index, Scheduled::WatchEnd(number));
            answer_if_changed(fleet, index, number);
        }
        None => answer(fleet, index, number, current_records(fleet, index, number)),
    }
}

/// Ends a watch that has not been answered.
pub(super) fn end_watch(fleet: &mut Fleet, index: usize, number: u64) {
    let read = fleet.instances[index].reads.get(&number);
    if read.is_some_and(|read| !read.is_answered) {
        answer(fleet, index, number, Vec::new());
    }
}

/// Answers a watch if there are changes after its revision.
fn answer_if_changed(fleet: &mut Fleet, index: usize, number: u64) {
    let StoreRead::Watch {
        area,
        after_revision,
        ..
    } = fleet.instances[index].reads[&number].read
    else {
        return;
    };
    let changes = fleet
        .history
        .iter()
        .filter(|(revision, record)| *revision > after_revision && area_of(record) == area);
    let changes: Vec<StoreRecord> = changes.map(|(_, record)| record.clone()).collect();
    if !changes.is_empty() {
        answer(fleet, index, number, changes);
    }
}

fn answer(fleet: &mut Fleet, index: usize, number: u64, records: Vec<StoreRecord>) {
    let revision = fleet.history.len() as u64;
    if let Some(read) = fleet.instances[index].reads.get_mut(&number) {
        read.is_answered = true;
    }
    let event = Scheduled::StoreAnswer(number, records, revision);
    schedule(fleet, STORE_DELAY, index, event);
}

fn area_of(record: &StoreRecord) -> StoreArea {
    match record {
        StoreRecord::Configuration(_) | StoreRecord::ZoneOut { .. } => StoreArea::Operators,
        _ => StoreArea::Targets,
    }
}

/// Returns the items of the area that a read lists.
fn current_records(fleet: &Fleet, index: usize, number: u64) -> Vec<StoreRecord> {
    let area = fleet.instances[index].reads[&number].read.area();
    let mut current: BTreeMap<&str, &StoreRecord> = BTreeMap::new();
    let records = fleet.history.iter().map(|(_, record)| record);
    for record in records.filter(|record| area_of(record) == area) {
        match record {
            StoreRecord::TargetRemoved { target_id } => {
                current.remove(&**target_id);
            }
            StoreRecord::Target { target_id, .. } => {
                current.insert(target_id, record);
            }
            StoreRecord::ZoneOut { zone, .. } => {
                current.insert(zone, record);
            }
            _ => {
                current.insert("", record);
            }
        }
    }
    current.into_values().cloned().collect()
}
