//! Confinement of new work to some zones while the configuration may be out of date.

use std::collections::BTreeSet;

use model::ZoneKey;

use crate::{Routes, Target};

/// Permits new work only to the named zones, or to all zones that are in if there is no list.
pub fn confine(routes: &mut Routes, zones: Option<&BTreeSet<String>>) {
    let keys = |names: &BTreeSet<String>| -> Vec<ZoneKey> {
        let known = routes.zones.iter();
        let named = known.filter(|(_, zone)| names.contains(&zone.name));
        named.map(|(key, _)| key).collect()
    };
    routes.confined_to = zones.map(keys);
}

/// Tells whether confinement permits new work to a target.
pub(crate) fn permits(routes: &Routes, target: &Target) -> bool {
    let zones = routes.confined_to.as_ref();
    zones.is_none_or(|zones| zones.contains(&target.zone))
}
