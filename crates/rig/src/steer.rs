//! Causing changes and failures, and reading what the processes report.

use std::collections::BTreeMap;

use model::Revision;
use note::Fleet;
use serde_json::Value;

use crate::{
    Rig, RigError,
    http::{get, parse, put},
};

/// Changes the fleet and publishes the resulting configuration; returns its revision.
///
/// # Errors
///
/// Returns an error if the platform does not take it.
pub async fn publish(rig: &mut Rig, change: impl FnOnce(&mut Fleet)) -> Result<Revision, RigError> {
    let mut fleet = rig.note.fleet.clone();
    change(&mut fleet);
    publish_fleet(rig, fleet).await
}

/// Publishes a configuration with the given fleet; returns its revision.
///
/// # Errors
///
/// Returns an error if the platform does not take it.
pub async fn publish_fleet(rig: &mut Rig, fleet: Fleet) -> Result<Revision, RigError> {
    rig.note = compose(rig, fleet);
    let body = serde_json::to_string(&rig.note)
        .map_err(|error| RigError::NotJson("the note".to_owned(), error))?;
    put(&rig.client, rig.control, "/v1/values/note", body).await?;
    Ok(rig.note.revision)
}

/// Sets the platform's list of instances.
///
/// # Errors
///
/// Returns an error if the platform does not take it.
pub async fn publish_instances(rig: &Rig, list: &Value) -> Result<(), RigError> {
    put(&rig.client, rig.control, "/v1/instances", list.to_string()).await?;
    Ok(())
}

/// Changes how a target behaves; see `docs/HTTP.md` for the fields.
///
/// # Errors
///
/// Returns an error if there is no such target or field.
pub async fn steer_target(rig: &Rig, target: &str, change: &Value) -> Result<(), RigError> {
    let path = format!("/v1/targets/{target}");
    put(&rig.client, rig.control, &path, change.to_string()).await?;
    Ok(())
}

/// Changes how the platform behaves; see `docs/HTTP.md` for the fields.
///
/// # Errors
///
/// Returns an error if there is no such field.
pub async fn steer_platform(rig: &Rig, change: &Value) -> Result<(), RigError> {
    put(&rig.client, rig.control, "/v1/platform", change.to_string()).await?;
    Ok(())
}

/// Makes a target crash; it restarts cold after its restart delay.
///
/// # Errors
///
/// Returns an error if there is no such target.
pub async fn crash(rig: &Rig, target: &str) -> Result<(), RigError> {
    let path = format!("/v1/targets/{target}/crash");
    put(&rig.client, rig.control, &path, String::new()).await?;
    Ok(())
}

/// Returns what each target has done, by name.
///
/// # Errors
///
/// Returns an error if the stand-in does not reply.
pub async fn target_reports(rig: &Rig) -> Result<Value, RigError> {
    let body = get(&rig.client, rig.control, "/v1/targets").await?;
    parse("targets", &body)
}

/// Returns every execution of calls that must run at most once.
///
/// # Errors
///
/// Returns an error if the stand-in does not reply.
pub async fn ledger(rig: &Rig) -> Result<Value, RigError> {
    let body = get(&rig.client, rig.control, "/v1/ledger").await?;
    parse("ledger", &body)
}

/// Returns the dump of an instance's state.
///
/// # Errors
///
/// Returns an error if the instance does not reply.
pub async fn state(rig: &Rig, instance: usize) -> Result<Value, RigError> {
    let body = get(&rig.client, rig.instances[instance].operators, "/state").await?;
    parse("state", &body)
}

/// Returns the metrics of an instance by name.
///
/// # Errors
///
/// Returns an error if the instance does not reply.
pub async fn metrics(rig: &Rig, instance: usize) -> Result<BTreeMap<String, f64>, RigError> {
    let body = get(&rig.client, rig.instances[instance].operators, "/metrics").await?;
    let lines = body.lines().filter(|line| !line.starts_with('#'));
    let values = lines.filter_map(|line| {
        let (name, value) = line.rsplit_once(' ')?;
        let name = name.split('{').next()?;
        Some((name.to_owned(), value.parse().ok()?))
    });
    Ok(values.collect())
}

/// Returns the next note, whose lists are the real difference. It may be faulty on purpose.
fn compose(rig: &Rig, fleet: Fleet) -> note::Note {
    let difference = note::diff(&rig.note.fleet, &fleet);
    note::Note {
        revision: rig.note.revision + 1,
        added: difference.added,
        changed: difference.changed,
        withdrawn: difference.withdrawn,
        fleet,
    }
}
