//! The difference between two fleets, and its comparison with what a note lists.

use std::collections::{BTreeMap, BTreeSet};

use findings::Findings;
use serde::{Deserialize, Serialize};

use crate::{Fleet, Front, Note, Service, Zone, item_path};

/// What one fleet has, changes and lacks against another one, as sorted paths.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Difference {
    /// Paths of what is new.
    pub added: Vec<String>,
    /// Paths of what differs.
    pub changed: Vec<String>,
    /// Paths of what is gone.
    pub withdrawn: Vec<String>,
}

/// A part of a fleet, for comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Item<'a> {
    Zone(&'a Zone),
    Front(&'a Front),
    Service(&'a Service),
    Fingerprint,
}

/// Returns how `next` differs from `previous`.
pub fn diff(previous: &Fleet, next: &Fleet) -> Difference {
    let before = items(previous);
    let after = items(next);
    let added = after.keys().filter(|path| !before.contains_key(*path));
    let withdrawn = before.keys().filter(|path| !after.contains_key(*path));
    let changed = after.iter().filter(|(path, item)| {
        let earlier = before.get(*path);
        earlier.is_some_and(|earlier| earlier != *item)
    });
    Difference {
        added: added.cloned().collect(),
        changed: changed.map(|(path, _)| path.clone()).collect(),
        withdrawn: withdrawn.cloned().collect(),
    }
}

/// Compares what a note lists with its difference from the note before it.
///
/// Nothing is compared if `previous` is not the direct predecessor: the note is self-contained, and
/// the revisions in between are not known.
pub fn check_difference(previous: &Note, note: &Note, findings: &mut Findings) {
    if previous.revision.checked_add(1) != Some(note.revision) {
        return;
    }
    let real = diff(&previous.fleet, &note.fleet);
    let lists = [
        ("added", &note.added, &real.added),
        ("changed", &note.changed, &real.changed),
        ("withdrawn", &note.withdrawn, &real.withdrawn),
    ];
    for (field, listed, real) in lists {
        compare(field, listed, real, findings);
    }
}

fn compare(field: &str, listed: &[String], real: &[String], findings: &mut Findings) {
    let is_real: BTreeSet<&String> = real.iter().collect();
    for (index, path) in listed.iter().enumerate() {
        if !is_real.contains(path) {
            let message = format!("`{path}` is not {field} against the revision before");
            findings.add(&format!("$.{field}[{index}]"), message);
        }
    }
    let is_listed: BTreeSet<&String> = listed.iter().collect();
    for path in real {
        if !is_listed.contains(path) {
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
