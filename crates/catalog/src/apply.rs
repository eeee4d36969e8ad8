//! Applies records from the store to the catalog.

use std::{
    collections::HashSet,
    sync::Arc,
    time::{Duration, Instant},
};

use model::{
    Configuration, Destination, FrontKey, Registration, ServiceEntry, ServiceKey, StoreRecord,
    TargetKey,
};

use crate::{Catalog, Front, Route, Service, Target, restore};

/// Time for which a leaving target may still receive requests that no other target can take.
///
/// A target keeps serving for three seconds after the store learns that it is leaving, and the
/// change may take up to two seconds to reach this instance.
const LEAVING_GRACE: Duration = Duration::from_millis(800);
/// Grace period of a target whose registration lapsed while the store was unreachable. Live targets
/// register again within about two seconds after the store is back.
const LAPSED_GRACE: Duration = Duration::from_millis(2_200);

/// Connection limit per target of a service that no configuration has named yet.
const DEFAULT_CONNECTIONS_MAX_COUNT: u32 = 8;

/// Change that a record made to the catalog.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A newer configuration took effect.
    Configuration {
        /// Version that was in force before, or 0 if there was none.
        from: u64,
    },
    /// A published configuration was ignored because it is not newer than the one in force.
    OldConfiguration {
        /// Version of the ignored configuration.
        version: u64,
    },
    /// A zone was evacuated or returned to service.
    ZoneOut {
        /// Name of the zone.
        zone: String,
        /// Whether the zone is evacuated now.
        is_out: bool,
    },
    /// A target was added; it may replace another process or address under the same identifier.
    TargetStarted {
        /// The new target.
        target: TargetKey,
        /// The removed target that had the same identifier.
        replaced: Option<TargetKey>,
    },
    /// A target started draining, or its registration is missing or invalid.
    TargetLeaving {
        /// The target.
        target: TargetKey,
        /// Whether the registration is missing or invalid; false if the target is draining.
        is_registration_missing: bool,
    },
    /// A target stopped leaving, or its cold start began or ended.
    TargetChanged {
        /// The target.
        target: TargetKey,
    },
    /// A registration in a restored store is ignored until it is written again, because its process
    /// has left or a later state of it is known.
    TargetHeldBack {
        /// Identifier of the target.
        target_id: String,
    },
    /// A zone keeps its state for now, although the restored store says otherwise.
    ZoneKept {
        /// Name of the zone.
        zone: String,
        /// Whether the zone stays evacuated.
        is_out: bool,
    },
    /// A stored item could not be parsed and was ignored.
    Unreadable {
        /// Key of the item in the store.
        key: String,
        /// Parse error.
        reason: String,
    },
}

/// Applies one record and returns the change, or `None` if nothing changed.
///
/// A target of which only the zone or the number of slots differs is updated without a change.
pub fn apply(catalog: &mut Catalog, now: Instant, record: &StoreRecord) -> Option<Change> {
    match record {
        StoreRecord::Configuration(configuration) => {
            Some(apply_configuration(catalog, configuration))
        }
        StoreRecord::ZoneOut { zone, is_out } => {
            let is_changed = match is_out {
                true => catalog.zones_out.insert(zone.clone()),
                false => catalog.zones_out.remove(zone),
            };
            is_changed.then(|| Change::ZoneOut {
                zone: zone.clone(),
                is_out: *is_out,
            })
        }
        StoreRecord::Target {
            target_id,
            registration: Some(registration),
        } => apply_registration(catalog, now, target_id, registration),
        StoreRecord::Target {
            target_id,
            registration: None,
        }
        | StoreRecord::TargetRemoved { target_id } => mark_removed(catalog, now, target_id),
        StoreRecord::Unreadable { key, reason } => Some(Change::Unreadable {
            key: key.clone(),
            reason: reason.clone(),
        }),
    }
}

/// Marks the targets that a complete list does not contain as removed.
pub(crate) fn mark_unlisted_removed(
    catalog: &mut Catalog,
    now: Instant,
    is_restoring: bool,
    listed: &HashSet<String>,
    changes: &mut Vec<Change>,
) {
    let ids = catalog.target_ids.keys().cloned();
    let missing: Vec<Arc<str>> = ids.filter(|id| !listed.contains(&**id)).collect();
    for id in missing {
        if let Some(change) = mark_removed(catalog, now, &id) {
            catalog.targets[catalog.target_ids[&id]].is_missing_in_copy = is_restoring;
            changes.push(change);
        }
    }
}

/// Removes the targets whose grace period after removal is over, and returns their keys.
pub fn remove_expired_targets(catalog: &mut Catalog, now: Instant) -> Vec<TargetKey> {
    let targets = catalog.targets.iter();
    let expired = targets.filter(|(_, target)| {
        target
            .removed_since
            .is_some_and(|at| now >= at + grace_period(target))
    });
    let expired: Vec<TargetKey> = expired.map(|(key, _)| key).collect();
    for &key in &expired {
        record_departure(catalog, now, key);
        remove_target(catalog, key);
    }
    expired
}

/// Returns whether the registration of a target is missing because its process has left: it did not
/// lapse during an outage, and the store was not restored from a copy without it.
pub(crate) fn has_left(target: &Target) -> bool {
    target.removed_since.is_some() && !target.has_lapsed && !target.is_missing_in_copy
}

/// Records that the process of a target has left, or was replaced by another one.
fn record_departure(catalog: &mut Catalog, now: Instant, key: TargetKey) {
    let target = &catalog.targets[key];
    if has_left(target) || target.removed_since.is_none() {
        restore::record_departure(&mut catalog.restore, now, &target.id, target.started_at_ms);
    }
}

/// Returns whether a leaving target may still receive requests that no other target can take.
pub(crate) fn is_in_grace_period(target: &Target, now: Instant) -> bool {
    let since = target
        .draining_since
        .into_iter()
        .chain(target.removed_since);
    since
        .min()
        .is_some_and(|at| now < at + grace_period(target))
}

fn grace_period(target: &Target) -> Duration {
    match target.has_lapsed {
        true => LAPSED_GRACE,
        false => LEAVING_GRACE,
    }
}

fn apply_configuration(catalog: &mut Catalog, configuration: &Configuration) -> Change {
    if configuration.version <= catalog.version {
        return Change::OldConfiguration {
            version: configuration.version,
        };
    }
    let from = std::mem::replace(&mut catalog.version, configuration.version);
    for service in catalog.services.values_mut() {
        service.is_configured = false;
    }
    for entry in &configuration.services {
        configure_service(catalog, entry);
    }
    let mut kept: HashSet<FrontKey> = HashSet::new();
    for entry in &configuration.fronts {
        let front = Front {
            name: entry.name.clone(),
            host: entry.host.clone(),
            prefix: entry.prefix.clone(),
            is_idempotent: entry.is_idempotent,
            timeout: entry.timeout,
            latency_goal: entry.goal,
            shedding_rank: entry.rank,
            is_public: entry.is_public,
            attempts_max_count: entry.attempts_max_count.max(1),
            route: resolve_route(catalog, &entry.destination),
        };
        let key = match catalog.front_names.get(&entry.name) {
            Some(&key) => {
                catalog.fronts[key] = front;
                key
            }
            None => catalog.fronts.insert(front),
        };
        catalog.front_names.insert(entry.name.clone(), key);
        kept.insert(key);
    }
    catalog.fronts.retain(|key, _| kept.contains(&key));
    catalog.front_names.retain(|_, key| kept.contains(key));
    rebuild_host_index(catalog);
    remove_unused_services(catalog);
    let configured = &configuration.organisations;
    organisation::replace(
        &mut catalog.organisations,
        configuration.version,
        configured,
    );
    Change::Configuration { from }
}

fn resolve_route(catalog: &mut Catalog, destination: &Destination) -> Route {
    match destination {
        Destination::Split(parts) => {
            let parts = parts.iter();
            let parts =
                parts.map(|(name, weight)| (get_or_insert_service(catalog, name), weight.max(0.0)));
            Route::Split(parts.collect())
        }
        Destination::Gather {
            services,
            records_count,
            least_ratio,
        } => {
            let services: Arc<[ServiceKey]> = services
                .iter()
                .map(|name| get_or_insert_service(catalog, name))
                .collect();
            Route::Gather {
                records_count: *records_count,
                parts_min_count: required_parts_count(services.len(), *least_ratio),
                services,
            }
        }
    }
}

/// Returns the smallest number of parts that is at least `least_ratio` of all, and at least 1.
fn required_parts_count(services_count: usize, least_ratio: f64) -> u32 {
    // The product of a decimal fraction and an integer may exceed the exact value by a rounding
    // error, which `ceil` would turn into one part too many.
    const ROUNDING_TOLERANCE: f64 = 1e-9;
    let required_count =
        (services_count as f64 * least_ratio.clamp(0.0, 1.0) - ROUNDING_TOLERANCE).ceil();
    // The float-to-integer cast saturates. An answer contains at least one part.
    (required_count as u32).max(1)
}

fn rebuild_host_index(catalog: &mut Catalog) {
    catalog.hosts.clear();
    for (key, front) in &catalog.fronts {
        let fronts = catalog.hosts.entry(front.host.clone()).or_default();
        fronts.push(key);
    }
    let fronts = &catalog.fronts;
    for keys in catalog.hosts.values_mut() {
        keys.sort_by_key(|&key| std::cmp::Reverse(fronts[key].prefix.len()));
    }
}

fn configure_service(catalog: &mut Catalog, entry: &ServiceEntry) {
    let key = get_or_insert_service(catalog, &entry.name);
    let service = &mut catalog.services[key];
    service.connections_max_count = entry.connections_max_count;
    service.cold_max_per_s = entry.cold_max_per_s;
    service.is_configured = true;
}

/// Returns the key of a service, inserting it with default limits if it is new.
fn get_or_insert_service(catalog: &mut Catalog, name: &str) -> ServiceKey {
    if let Some(&key) = catalog.service_names.get(name) {
        return key;
    }
    let name: Arc<str> = name.into();
    let key = catalog.services.insert(Service {
        name: name.clone(),
        connections_max_count: DEFAULT_CONNECTIONS_MAX_COUNT,
        cold_max_per_s: 0.0,
        is_configured: false,
        targets: Vec::new(),
    });
    catalog.service_names.insert(name, key);
    key
}

fn remove_unused_services(catalog: &mut Catalog) {
    let mut used: HashSet<ServiceKey> = HashSet::new();
    for front in catalog.fronts.values() {
        match &front.route {
            Route::Split(parts) => used.extend(parts.iter().map(|(service, _)| *service)),
            Route::Gather { services, .. } => used.extend(services.iter().copied()),
        }
    }
    catalog.services.retain(|key, service| {
        service.is_configured || !service.targets.is_empty() || used.contains(&key)
    });
    let services = &catalog.services;
    catalog
        .service_names
        .retain(|_, key| services.contains_key(*key));
}

fn apply_registration(
    catalog: &mut Catalog,
    now: Instant,
    target_id: &str,
    registration: &Registration,
) -> Option<Change> {
    let cold_until = (!registration.cold_for.is_zero()).then(|| now + registration.cold_for);
    let known = catalog.target_ids.get(target_id).copied();
    if let Some(key) = known
        && is_same_process(catalog, key, registration)
    {
        return update_target(catalog, now, key, registration, cold_until);
    }
    if let Some(key) = known {
        record_departure(catalog, now, key);
        remove_target(catalog, key);
    }
    let id: Arc<str> = target_id.into();
    restore::record_registration(&mut catalog.restore, &id, registration.born_ms);
    let service = get_or_insert_service(catalog, &registration.service);
    let target = catalog.targets.insert(Target {
        id: id.clone(),
        service,
        address: registration.address,
        zone: registration.zone.clone(),
        slots_count: registration.slots_count.max(1),
        started_at_ms: registration.born_ms,
        cold_until,
        draining_since: registration.is_draining.then_some(now),
        has_announced_leaving: false,
        removed_since: None,
        has_lapsed: false,
        is_missing_in_copy: false,
    });
    catalog.target_ids.insert(id, target);
    catalog.services[service].targets.push(target);
    Some(Change::TargetStarted {
        target,
        replaced: known,
    })
}

fn is_same_process(catalog: &Catalog, key: TargetKey, registration: &Registration) -> bool {
    let target = &catalog.targets[key];
    target.address == registration.address
        && target.started_at_ms == registration.born_ms
        && *catalog.services[target.service].name == *registration.service
}

fn update_target(
    catalog: &mut Catalog,
    now: Instant,
    key: TargetKey,
    registration: &Registration,
    cold_until: Option<Instant>,
) -> Option<Change> {
    let target = &mut catalog.targets[key];
    let was_removed = target.removed_since.take().is_some();
    let was_draining = target.draining_since.is_some();
    let was_cold = target.cold_until.is_some_and(|until| now < until);
    target.zone.clone_from(&registration.zone);
    target.slots_count = registration.slots_count.max(1);
    target.cold_until = cold_until;
    if was_removed {
        target.has_lapsed = false;
        target.is_missing_in_copy = false;
    }
    if !registration.is_draining {
        if !target.has_announced_leaving {
            target.draining_since = None;
        }
    } else if !was_draining {
        target.draining_since = Some(now);
        return Some(Change::TargetLeaving {
            target: key,
            is_registration_missing: false,
        });
    }
    let is_draining = target.draining_since.is_some();
    let is_changed = was_removed || was_draining != is_draining || was_cold != cold_until.is_some();
    is_changed.then_some(Change::TargetChanged { target: key })
}

/// Marks a target that has said in a reply that it leaves; returns whether that was not known.
///
/// Only the next process under the same identifier receives requests again: a registration that
/// says otherwise may be older than the reply.
pub fn mark_leaving(catalog: &mut Catalog, now: Instant, target: TargetKey) -> bool {
    let Some(target) = catalog.targets.get_mut(target) else {
        return false;
    };
    target.has_announced_leaving = true;
    let was_known = target.draining_since.is_some();
    target.draining_since.get_or_insert(now);
    !was_known
}

fn mark_removed(catalog: &mut Catalog, now: Instant, target_id: &str) -> Option<Change> {
    let &key = catalog.target_ids.get(target_id)?;
    let target = &mut catalog.targets[key];
    if target.removed_since.is_some() {
        // Now it is removed, or missing from a list that is not a copy's first.
        target.is_missing_in_copy = false;
        return None;
    }
    target.removed_since = Some(now);
    target.has_lapsed = target.draining_since.is_none()
        && catalog.lapse_window_until.is_some_and(|until| now < until);
    Some(Change::TargetLeaving {
        target: key,
        is_registration_missing: true,
    })
}

fn remove_target(catalog: &mut Catalog, key: TargetKey) {
    let Some(target) = catalog.targets.remove(key) else {
        return;
    };
    catalog.target_ids.remove(&target.id);
    if let Some(service) = catalog.services.get_mut(target.service) {
        service.targets.retain(|&other| other != key);
    }
}
