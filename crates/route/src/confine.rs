//! Confinement of new calls to some zones while the configuration may be out of date.

use std::collections::BTreeSet;

use model::ZoneKey;

use crate::{Routes, Target};

/// Permits new calls only to the named zones, or lifts the restriction if there is no list.
pub fn confine(routes: &mut Routes, zones: Option<&BTreeSet<String>>) {
    let keys = |names: &BTreeSet<String>| -> Vec<ZoneKey> {
        let known = routes.zones.iter();
        let named = known.filter(|(_, zone)| names.contains(&zone.name));
        named.map(|(key, _)| key).collect()
    };
    routes.confined_to = zones.map(keys);
}

/// Returns whether the zone of a target may receive new calls.
pub(crate) fn permits_zone_of(routes: &Routes, target: &Target) -> bool {
    let zones = routes.confined_to.as_ref();
    zones.is_none_or(|zones| zones.contains(&target.zone))
}
