//! Compares two fleets, and checks the item paths that a note lists against their difference.

use std::collections::{BTreeMap, BTreeSet};

use findings::Findings;
use serde::{Deserialize, Serialize};

use crate::{Fleet, Front, Note, Service, Zone, item_path};

/// The difference between two fleets, as sorted paths of items.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Difference {
    /// Paths that only the next fleet has.
    pub added: Vec<String>,
    /// Paths of items that differ between the fleets.
    pub changed: Vec<String>,
    /// Paths that only the previous fleet has.
    pub withdrawn: Vec<String>,
}

/// An item of a fleet, for comparison. A fingerprint has no content besides its path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Item<'a> {
    Zone(&'a Zone),
    Front(&'a Front),
    Service(&'a Service),
    Fingerprint,
}

/// Returns the difference of `next` from `previous`.
pub fn diff(previous: &Fleet, next: &Fleet) -> Difference {
    let before = items(previous);
    let after = items(next);
    let added = after.keys().filter(|path| !before.contains_key(*path));
    let withdrawn = before.keys().filter(|path| !after.contains_key(*path));
    let changed = after.iter().filter(|(path, item)| {
        let previous_item = before.get(*path);
        previous_item.is_some_and(|previous_item| previous_item != *item)
    });
    Difference {
        added: added.cloned().collect(),
        changed: changed.map(|(path, _)| path.clone()).collect(),
        withdrawn: withdrawn.cloned().collect(),
    }
}

/// Checks that the paths listed in a note are its difference from the previous note.
///
/// Checks nothing if `previous` is not the direct predecessor: the note is self-contained, and the
/// revisions in between are unknown.
pub fn check_difference(previous: &Note, note: &Note, findings: &mut Findings) {
    if previous.revision.checked_add(1) != Some(note.revision) {
        return;
    }
    let expected = diff(&previous.fleet, &note.fleet);
    let lists = [
        ("added", &note.added, &expected.added),
        ("changed", &note.changed, &expected.changed),
        ("withdrawn", &note.withdrawn, &expected.withdrawn),
    ];
    for (field, listed, expected) in lists {
        check_listed(field, listed, expected, findings);
    }
}

fn check_listed(field: &str, listed: &[String], expected: &[String], findings: &mut Findings) {
    let expected_set: BTreeSet<&String> = expected.iter().collect();
    for (index, path) in listed.iter().enumerate() {
        if !expected_set.contains(path) {
            let message = format!("`{path}` is listed but not {field} since the previous revision");
            findings.add(&format!("$.{field}[{index}]"), message);
        }
    }
    let listed_set: BTreeSet<&String> = listed.iter().collect();
    for path in expected {
        if !listed_set.contains(path) {
            findings.add(
                &format!("$.{field}"),
                format!("`{path}` is {field} but not listed"),
            );
        }
    }
}

fn items(fleet: &Fleet) -> BTreeMap<String, Item<'_>> {
    let zones = fleet.zones.iter();
    let zones = zones.map(|item| (item_path::zone(&item.name), Item::Zone(item)));
    let fronts = fleet.fronts.iter();
    let fronts = fronts.map(|item| (item_path::front(&item.name), Item::Front(item)));
    let services = fleet.services.iter();
    let services = services.map(|item| (item_path::service(&item.name), Item::Service(item)));
    let released = fleet.released_fingerprints.iter();
    let released = released.map(|&item| (item_path::fingerprint(item), Item::Fingerprint));
    zones
        .chain(fronts)
        .chain(services)
        .chain(released)
        .collect()
}
