//! Reloading of the settings while the process runs.

use findings::Findings;
use model::{Effect, Level, LogLine};
use settings::{Gateway, Settings};

use crate::State;

/// Applies reloaded settings: seeds, limits and intervals.
///
/// A document with findings changes nothing. Identity and addresses change only at a restart.
pub(crate) fn on_settings_read(state: &mut State, document: &str, out: &mut Vec<Effect>) {
    let mut findings = Findings::default();
    let Some(mut read) = settings::read(document, &mut findings) else {
        for finding in &findings.list {
            let line = LogLine::new(Level::Warn, "settings-faulty")
                .with("place", finding.path.as_str())
                .with("message", finding.message.as_str());
            out.push(Effect::Log(line));
        }
        return;
    };
    for notice in &findings.notices {
        let line = LogLine::new(Level::Warn, "setting-replaced")
            .with("place", notice.path.as_str())
            .with("message", notice.message.as_str());
        out.push(Effect::Log(line));
    }
    let needs_restart = keep_restart_only_settings(&state.settings, &mut read);
    let line = LogLine::new(Level::Info, "reloaded")
        .with("is_changed", u64::from(state.settings != read))
        .with("needs_restart", u64::from(needs_restart));
    out.push(Effect::Log(line));
    if let (Some(gateway), Some(settings)) = (&mut state.gateway, &read.gateway) {
        gateway::set_settings(gateway, settings);
    }
    state.settings = read;
}

/// Overwrites the settings that need a restart with the current ones; returns whether any differed.
fn keep_restart_only_settings(current: &Settings, read: &mut Settings) -> bool {
    let is_same = current.instance == read.instance
        && current.listen == read.listen
        && current.platform == read.platform;
    read.instance = current.instance.clone();
    read.listen = current.listen.clone();
    read.platform = current.platform.clone();
    let is_same_gateway = match (&current.gateway, &mut read.gateway) {
        (Some(current), Some(read)) => keep_gateway_addresses(current, read),
        (None, None) => true,
        (current, read) => {
            *read = current.clone();
            false
        }
    };
    !(is_same && is_same_gateway)
}

fn keep_gateway_addresses(current: &Gateway, read: &mut Gateway) -> bool {
    let addresses = |gateway: &Gateway| (gateway.listen, gateway.store, gateway.peers);
    let is_same = addresses(current) == addresses(read);
    (read.listen, read.store, read.peers) = addresses(current);
    is_same
}
