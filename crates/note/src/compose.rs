//! Composes the next note from the previous one and an operator's change.

use std::collections::BTreeSet;

use findings::Findings;
use serde::{Deserialize, Serialize};

use crate::{Fleet, Front, Note, Service, Zone, check, check_difference, diff, item_path};

/// A change requested by an operator. Empty lists change nothing.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Change {
    /// Items to add.
    pub added: Fleet,
    /// Items that replace the existing item of the same name.
    pub changed: Fleet,
    /// Paths of the items to remove, such as `service/katalog-01`.
    pub withdrawn: Vec<String>,
}

/// Applies a change to the previous note and returns the next one, with the revision incremented.
///
/// Returns `None` if the change or the resulting note has any finding.
pub fn compose(previous: &Note, change: &Change, findings: &mut Findings) -> Option<Note> {
    let mut fleet = previous.fleet.clone();
    withdraw(&mut fleet, &change.withdrawn, findings);
    replace(&mut fleet, &change.changed, findings);
    add(&mut fleet, &change.added, findings);
    let Some(revision) = previous.revision.checked_add(1) else {
        findings.add("$.revision", "there is no larger revision");
        return None;
    };
    let difference = diff(&previous.fleet, &fleet);
    let note = Note {
        revision,
        added: difference.added,
        changed: difference.changed,
        withdrawn: difference.withdrawn,
        fleet,
    };
    check(&note, findings);
    check_difference(previous, &note, findings);
    findings.is_empty().then_some(note)
}

fn withdraw(fleet: &mut Fleet, paths: &[String], findings: &mut Findings) {
    let present: BTreeSet<String> = item_path::all(fleet).collect();
    for (index, path) in paths.iter().enumerate() {
        if !present.contains(path) {
            let message = format!("the fleet has no `{path}`");
            findings.add(&format!("$.withdrawn[{index}]"), message);
        }
    }
    let is_kept = |path: String| !paths.contains(&path);
    fleet
        .zones
        .retain(|zone| is_kept(item_path::zone(&zone.name)));
    fleet
        .fronts
        .retain(|front| is_kept(item_path::front(&front.name)));
    let services = &mut fleet.services;
    services.retain(|service| is_kept(item_path::service(&service.name)));
    let released = &mut fleet.released_fingerprints;
    released.retain(|&number| is_kept(item_path::fingerprint(number)));
}

fn replace(fleet: &mut Fleet, changed: &Fleet, findings: &mut Findings) {
    let zone = |zone: &Zone| zone.name.clone();
    let json_path = "$.changed.zones";
    replace_each(&mut fleet.zones, &changed.zones, zone, json_path, findings);
    let front = |front: &Front| front.name.clone();
    let json_path = "$.changed.fronts";
    replace_each(
        &mut fleet.fronts,
        &changed.fronts,
        front,
        json_path,
        findings,
    );
    let service = |service: &Service| service.name.clone();
    let json_path = "$.changed.services";
    replace_each(
        &mut fleet.services,
        &changed.services,
        service,
        json_path,
        findings,
    );
    if !changed.released_fingerprints.is_empty() {
        let message = "a fingerprint can only be added or withdrawn";
        findings.add("$.changed.released_fingerprints", message);
    }
}

fn replace_each<T: Clone>(
    items: &mut [T],
    changed: &[T],
    name: impl Fn(&T) -> String,
    json_path: &str,
    findings: &mut Findings,
) {
    for (index, item) in changed.iter().enumerate() {
        let found = items.iter_mut().find(|known| name(known) == name(item));
        match found {
            Some(known) => *known = item.clone(),
            None => findings.add(
                &format!("{json_path}[{index}]"),
                format!("there is no `{}` to change", name(item)),
            ),
        }
    }
}

/// Appends the added items and reports those whose path already exists.
fn add(fleet: &mut Fleet, added: &Fleet, findings: &mut Findings) {
    let present: BTreeSet<String> = item_path::all(fleet).collect();
    for path in item_path::all(added).filter(|path| present.contains(path)) {
        findings.add("$.added", format!("the fleet already has `{path}`"));
    }
    fleet.zones.extend(added.zones.iter().cloned());
    fleet.fronts.extend(added.fronts.iter().cloned());
    fleet.services.extend(added.services.iter().cloned());
    let released = added.released_fingerprints.iter().copied();
    fleet.released_fingerprints.extend(released);
}
