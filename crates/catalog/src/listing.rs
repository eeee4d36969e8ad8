//! Application of lists and of changes to the catalog, by the rules for a restored store.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    time::Instant,
};

use model::{StoreArea, StoreRecord};

use crate::{
    Catalog, Change,
    apply::{apply, has_left, mark_unlisted_removed},
    restore::{self, KnownTarget, TargetRuling},
};

/// Applies changes of a watch, or shared ones, in revision order.
pub(crate) fn apply_written(
    catalog: &mut Catalog,
    now: Instant,
    records: &[StoreRecord],
) -> Vec<Change> {
    let records = latest_records(records).filter_map(|record| {
        match record {
            StoreRecord::ZoneOut { zone, is_out } => {
                restore::record_zone_write(&mut catalog.restore, now, zone, *is_out);
            }
            StoreRecord::Target { target_id, .. } | StoreRecord::TargetRemoved { target_id } => {
                restore::record_target_write(&mut catalog.restore, target_id);
            }
            StoreRecord::Configuration(_) | StoreRecord::Unreadable { .. } => {}
        }
        apply(catalog, now, record)
    });
    records.collect()
}

/// Applies the items of a page of a list, and adds the names of those that are in use to
/// `listed_names`.
pub(crate) fn apply_page(
    catalog: &mut Catalog,
    now: Instant,
    records: &[StoreRecord],
    is_restoring: bool,
    listed_names: &mut HashSet<String>,
) -> Vec<Change> {
    let latest_at_addresses = match is_restoring {
        true => latest_at_addresses(catalog),
        false => HashMap::new(),
    };
    let changes = latest_records(records).filter_map(|record| match record {
        StoreRecord::Target {
            target_id,
            registration: Some(registration),
        } => {
            let known = known_target(catalog, target_id);
            let taken_ms = latest_at_addresses.get(&registration.address).copied();
            let memory = &catalog.restore;
            let ruling = restore::judge_target(
                memory,
                target_id,
                registration,
                known.as_ref(),
                taken_ms,
                is_restoring,
            );
            if ruling != TargetRuling::Use {
                let born_ms = registration.born_ms;
                restore::record_held(&mut catalog.restore, target_id, born_ms);
            }
            if ruling == TargetRuling::HoldBack {
                return Some(Change::TargetHeldBack {
                    target_id: target_id.clone(),
                });
            }
            listed_names.insert(target_id.clone());
            if ruling == TargetRuling::Use {
                return apply(catalog, now, record);
            }
            let mut draining = registration.clone();
            draining.is_draining = true;
            let record = StoreRecord::Target {
                target_id: target_id.clone(),
                registration: Some(draining),
            };
            apply(catalog, now, &record)
        }
        // In a copy, it says nothing about a target that is known: the target counts as not listed.
        StoreRecord::Target { .. } if is_restoring => None,
        StoreRecord::ZoneOut { zone, is_out: true } => {
            listed_names.insert(zone.clone());
            let pending = restore::judge_evacuation(&catalog.restore, now, zone, is_restoring);
            let pending = pending.filter(|_| !catalog.zones_out.contains(zone));
            let Some(pending) = pending else {
                restore::record_zone_write(&mut catalog.restore, now, zone, true);
                return apply(catalog, now, record);
            };
            restore::record_pending_zone(&mut catalog.restore, zone, pending);
            Some(Change::ZoneKept {
                zone: zone.clone(),
                is_out: false,
            })
        }
        _ => apply(catalog, now, record),
    });
    changes.collect()
}

/// Marks targets as removed, or returns zones to service, that a complete list does not contain.
pub(crate) fn reconcile_listed(
    catalog: &mut Catalog,
    now: Instant,
    area: StoreArea,
    is_restoring: bool,
    listed_names: &HashSet<String>,
    changes: &mut Vec<Change>,
) {
    if area == StoreArea::Targets {
        return mark_unlisted_removed(catalog, now, is_restoring, listed_names, changes);
    }
    restore::retain_listed_evacuations(&mut catalog.restore, |zone| listed_names.contains(zone));
    let zones = catalog.zones_out.iter();
    let missing_zones: Vec<String> = zones
        .filter(|zone| !listed_names.contains(*zone))
        .cloned()
        .collect();
    for zone in missing_zones {
        let memory = &mut catalog.restore;
        if let Some(pending) = restore::judge_missing_evacuation(memory, now, &zone, is_restoring) {
            restore::record_pending_zone(memory, &zone, pending);
            changes.push(Change::ZoneKept { zone, is_out: true });
            continue;
        }
        restore::record_zone_write(memory, now, &zone, false);
        changes.extend(set_zone(catalog, now, zone, false));
    }
}

/// Applies the states of zones that were kept after a restore and that no change has confirmed.
pub fn apply_due_zones(catalog: &mut Catalog, now: Instant) -> Vec<Change> {
    let due = restore::take_due_zones(&mut catalog.restore, now);
    let due = due.into_iter();
    due.filter_map(|(zone, is_out)| set_zone(catalog, now, zone, is_out))
        .collect()
}

fn set_zone(catalog: &mut Catalog, now: Instant, zone: String, is_out: bool) -> Option<Change> {
    apply(catalog, now, &StoreRecord::ZoneOut { zone, is_out })
}

fn known_target<'a>(catalog: &'a Catalog, target_id: &str) -> Option<KnownTarget<'a>> {
    let &key = catalog.target_ids.get(target_id)?;
    let target = &catalog.targets[key];
    Some(KnownTarget {
        service: &catalog.services[target.service].name,
        address: target.address,
        started_at_ms: target.started_at_ms,
        is_draining: target.draining_since.is_some(),
        has_left: has_left(target),
    })
}

/// Returns the latest start time of the registered processes at each address.
fn latest_at_addresses(catalog: &Catalog) -> HashMap<SocketAddr, u64> {
    let mut latest: HashMap<SocketAddr, u64> = HashMap::new();
    for target in catalog.targets.values() {
        let started_at_ms = latest.entry(target.address).or_default();
        *started_at_ms = (*started_at_ms).max(target.started_at_ms);
    }
    latest
}

/// Returns the records without those of targets that a later record of the answer replaces.
///
/// An answer may repeat changes from before the known revision. A target that has left would
/// otherwise take part again, until the grace period of its removal is over once more.
fn latest_records(records: &[StoreRecord]) -> impl Iterator<Item = &StoreRecord> {
    let indices = records.iter().enumerate();
    let last: HashMap<&str, usize> = indices
        .filter_map(|(index, record)| Some((target_id(record)?, index)))
        .collect();
    let records = records.iter().enumerate();
    records.filter_map(move |(index, record)| {
        let is_last = target_id(record).is_none_or(|id| last.get(id) == Some(&index));
        is_last.then_some(record)
    })
}

fn target_id(record: &StoreRecord) -> Option<&str> {
    match record {
        StoreRecord::Target { target_id, .. } | StoreRecord::TargetRemoved { target_id } => {
            Some(target_id)
        }
        _ => None,
    }
}
