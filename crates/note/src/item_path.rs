//! Paths that identify the items of a fleet, such as `service/katalog-01`.

use crate::Fleet;

/// Returns the path of a zone.
pub(crate) fn zone(name: &str) -> String {
    format!("zone/{name}")
}

/// Returns the path of a front.
pub(crate) fn front(name: &str) -> String {
    format!("front/{name}")
}

/// Returns the path of a service, which also stands for its targets.
pub(crate) fn service(name: &str) -> String {
    format!("service/{name}")
}

/// Returns the path of a released fingerprint.
pub(crate) fn fingerprint(fingerprint: u64) -> String {
    format!("fingerprint/{fingerprint}")
}

/// Returns the paths of all items of a fleet.
pub(crate) fn all(fleet: &Fleet) -> impl Iterator<Item = String> {
    let zones = fleet.zones.iter().map(|item| zone(&item.name));
    let fronts = fleet.fronts.iter().map(|item| front(&item.name));
    let services = fleet.services.iter().map(|item| service(&item.name));
    let released = fleet.released_fingerprints.iter();
    let released = released.map(|&number| fingerprint(number));
    zones.chain(fronts).chain(services).chain(released)
}
