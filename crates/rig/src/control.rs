//! Publishes configurations, sets the behaviour of platform and targets, and reads the reports,
//! states and metrics of the processes.

use std::collections::BTreeMap;

use model::Revision;
use note::Fleet;
use serde_json::Value;

use crate::{
    Rig, RigError,
    http::{get, parse_json, put},
};

/// Applies a change to the published fleet, publishes the resulting configuration and returns its
/// revision.
///
/// # Errors
///
/// Returns an error if the fake platform does not accept the configuration.
pub async fn publish(rig: &mut Rig, change: impl FnOnce(&mut Fleet)) -> Result<Revision, RigError> {
    let mut fleet = rig.note.fleet.clone();
    change(&mut fleet);
    publish_fleet(rig, fleet).await
}

/// Publishes a configuration with the given fleet and returns its revision.
///
/// # Errors
///
/// Returns an error if the fake platform does not accept the configuration.
pub async fn publish_fleet(rig: &mut Rig, fleet: Fleet) -> Result<Revision, RigError> {
    rig.note = next_note(rig, fleet);
    let body = serde_json::to_string(&rig.note)
        .map_err(|error| RigError::NotJson("the note".to_owned(), error))?;
    put(&rig.client, rig.control, "/v1/values/note", body).await?;
    Ok(rig.note.revision)
}

/// Replaces the platform's list of instances.
///
/// # Errors
///
/// Returns an error if the fake platform does not accept the list.
pub async fn publish_instances(rig: &Rig, list: &Value) -> Result<(), RigError> {
    put(&rig.client, rig.control, "/v1/instances", list.to_string()).await?;
    Ok(())
}

/// Sets fields of a target's behaviour; they are listed in `docs/HTTP.md`.
///
/// # Errors
///
/// Returns an error if there is no such target or field.
pub async fn set_target_behaviour(rig: &Rig, target: &str, change: &Value) -> Result<(), RigError> {
    let path = format!("/v1/targets/{target}");
    put(&rig.client, rig.control, &path, change.to_string()).await?;
    Ok(())
}

/// Sets fields of the platform's behaviour; they are listed in `docs/HTTP.md`.
///
/// # Errors
///
/// Returns an error if there is no such field.
pub async fn set_platform_behaviour(rig: &Rig, change: &Value) -> Result<(), RigError> {
    put(&rig.client, rig.control, "/v1/platform", change.to_string()).await?;
    Ok(())
}

/// Crashes a target, which restarts cold after its restart delay.
///
/// # Errors
///
/// Returns an error if there is no such target.
pub async fn crash_target(rig: &Rig, target: &str) -> Result<(), RigError> {
    let path = format!("/v1/targets/{target}/crash");
    put(&rig.client, rig.control, &path, String::new()).await?;
    Ok(())
}

/// Returns the report of each target by target name, such as its call counts.
///
/// # Errors
///
/// Returns an error if `balsamfake` does not reply.
pub async fn target_reports(rig: &Rig) -> Result<Value, RigError> {
    let body = get(&rig.client, rig.control, "/v1/targets").await?;
    parse_json("targets", &body)
}

/// Returns the ledger of the fake targets, which lists every execution of calls that must run at
/// most once.
///
/// # Errors
///
/// Returns an error if `balsamfake` does not reply.
pub async fn ledger(rig: &Rig) -> Result<Value, RigError> {
    let body = get(&rig.client, rig.control, "/v1/ledger").await?;
    parse_json("ledger", &body)
}

/// Returns the complete state of an instance.
///
/// # Errors
///
/// Returns an error if the instance does not reply.
pub async fn state(rig: &Rig, index: usize) -> Result<Value, RigError> {
    let body = get(&rig.client, rig.instances[index].operators, "/state").await?;
    parse_json("state", &body)
}

/// Returns the metrics of an instance by name without labels; of several series of one name it
/// returns the last.
///
/// # Errors
///
/// Returns an error if the instance does not reply.
pub async fn metrics(rig: &Rig, index: usize) -> Result<BTreeMap<String, f64>, RigError> {
    let body = get(&rig.client, rig.instances[index].operators, "/metrics").await?;
    let lines = body.lines().filter(|line| !line.starts_with('#'));
    let values = lines.filter_map(|line| {
        let (name, value) = line.rsplit_once(' ')?;
        let name = name.split('{').next()?;
        Some((name.to_owned(), value.parse().ok()?))
    });
    Ok(values.collect())
}

/// Returns a note for the fleet, one revision above the published one. Its lists of changes match
/// the fleets; the fleet itself is not validated, so that tests can publish an invalid one.
fn next_note(rig: &Rig, fleet: Fleet) -> note::Note {
    let difference = note::diff(&rig.note.fleet, &fleet);
    note::Note {
        revision: rig.note.revision + 1,
        added: difference.added,
        changed: difference.changed,
        withdrawn: difference.withdrawn,
        fleet,
    }
}
