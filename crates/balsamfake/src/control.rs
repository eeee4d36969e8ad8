//! Commands of the control port: changes of behaviour, publications, crashes and reports.

use findings::Findings;
use model::TargetPhase;
use serde_json::json;

use crate::{
    behaviour,
    effect::{Effect, Reply},
    event::{ControlCommand, TargetKey},
    lifecycle, platform,
    state::{self, State},
    target,
};

/// Name that selects every target.
const ALL_TARGETS: &str = "all";

/// Executes a command and returns its reply.
pub fn execute(state: &mut State, command: ControlCommand<'_>, out: &mut Vec<Effect>) -> Reply {
    match command {
        ControlCommand::PublishNote { body } => publish_note(state, body, out),
        ControlCommand::PublishInstances { body } => {
            platform::publish_instances(state, body, out);
            Reply::Done
        }
        ControlCommand::UpdatePlatform { body } => update_platform(state, body, out),
        ControlCommand::UpdateTarget { target, body } => update_target(state, target, body),
        ControlCommand::Crash { target } => {
            let targets = select_targets(state, target);
            if targets.is_empty() {
                return Reply::NotFound;
            }
            for key in targets {
                lifecycle::crash(state, key, out);
            }
            Reply::Done
        }
        ControlCommand::Platform => Reply::Report(platform_report(state)),
        ControlCommand::Targets => Reply::Report(targets_report(state)),
        ControlCommand::Ledger => Reply::Report(json!(state.ledger).to_string()),
    }
}

/// Publishes a document as it is, valid or not, and starts the targets that a valid note adds.
fn publish_note(state: &mut State, body: &[u8], out: &mut Vec<Effect>) -> Reply {
    platform::publish_note(&mut state.platform, body, out);
    let mut findings = Findings::default();
    let document = std::str::from_utf8(body).unwrap_or_default();
    let Some(note) = note::read(document, &mut findings) else {
        return Reply::Done;
    };
    for key in state::add_targets(state, &note) {
        lifecycle::listen(state, key, out);
    }
    Reply::Done
}

fn update_platform(state: &mut State, body: &[u8], out: &mut Vec<Effect>) -> Reply {
    let mut findings = Findings::default();
    let platform = &mut state.platform;
    let document = std::str::from_utf8(body).unwrap_or_default();
    let Some(updated) =
        behaviour::parse_platform_update(&platform.behaviour, document, &mut findings)
    else {
        return Reply::Invalid(findings);
    };
    platform.behaviour = updated;
    platform::answer_watches(platform, out);
    Reply::Done
}

fn update_target(state: &mut State, name: &str, body: &[u8]) -> Reply {
    let targets = select_targets(state, name);
    if targets.is_empty() {
        return Reply::NotFound;
    }
    let mut findings = Findings::default();
    let document = std::str::from_utf8(body).unwrap_or_default();
    for key in targets {
        let Some(target) = state.targets.get_mut(key) else {
            continue;
        };
        let Some((updated, phase)) =
            behaviour::parse_target_update(&target.behaviour, document, &mut findings)
        else {
            return Reply::Invalid(findings);
        };
        target.behaviour = updated;
        if let Some(phase) = phase {
            target.phase = phase;
            target.warm_up_calls_count = 0;
        }
    }
    Reply::Done
}

/// Returns the targets that a name selects: the target of that name, otherwise those of the
/// availability zone or service, or all for [`ALL_TARGETS`].
fn select_targets(state: &State, name: &str) -> Vec<TargetKey> {
    if let Some(&key) = state.targets_by_name.get(name) {
        return vec![key];
    }
    let matching = state
        .targets
        .iter()
        .filter(|(_, target)| name == ALL_TARGETS || target.zone == name || target.service == name);
    matching.map(|(key, _)| key).collect()
}

fn platform_report(state: &State) -> String {
    let platform = &state.platform;
    json!({
        "behaviour": platform.behaviour,
        "served_version": platform::served_version(platform),
        "newest_version": platform.notes.len(),
        "watches_count": platform.watches.len(),
        "reads_count": platform.reads_count,
        "limited_count": platform.limited_count,
        "readers": platform.readers,
    })
    .to_string()
}

fn targets_report(state: &State) -> String {
    let rows = state.targets.iter().map(|(key, target)| {
        let report = json!({
            "zone": target.zone,
            "service": target.service,
            "address": target.address,
            "is_up": target.is_up,
            "is_cold": target.phase == TargetPhase::Cold,
            "load": target::load_report(target),
            "connections_count": lifecycle::open_connections_count(state, key),
            "counts": target.counts,
            "behaviour": target.behaviour,
        });
        (target.name.clone(), report)
    });
    serde_json::Value::Object(rows.collect()).to_string()
}
