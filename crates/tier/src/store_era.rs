//! Eras of the store: what the reducer does when the store was restored from a copy, and the
//! readiness of an instance that may have read a configuration older than the one in force.

use std::time::{Duration, Instant};

use bytes::Bytes;
use catalog::{Change, Role, SyncState};
use model::{Effect, Level, LogLine, Message, StoreArea, StoreChanges, variant_name};
use serde::Serialize;

use crate::{State, gateway};

/// Longest time for which an instance waits for the version that others have in force. Operators
/// write a lost version again sooner; beyond it, callers lose more than an older version costs.
const CATCH_UP_LIMIT: Duration = Duration::from_secs(8);
/// Time in which an instance that may be behind waits to hear another one's version: five ticks,
/// each of which sends a digest to a seed.
const CATCH_UP_SILENCE: Duration = Duration::from_secs(1);

/// Whether this instance has to wait for the version that others have in force.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Serialize)]
pub struct CatchUp {
    /// Whether the instance serves; set back only after a pause across a restore.
    pub is_over: bool,
    /// When the instance could have served for the first time.
    #[serde(skip)]
    since: Option<Instant>,
    /// Whether it was logged that a later version is in force elsewhere.
    is_logged: bool,
}

/// Returns whether this instance must not serve yet, because others have a later version of the
/// configuration in force, or may have. One that has no catalog yet refuses requests for that reason.
pub(crate) fn is_behind(state: &State) -> bool {
    let is_known = state.gateway.as_ref().is_some_and(::gateway::is_known);
    is_known && !state.catch_up.is_over
}

/// Returns whether the configuration that this instance has read, if any, may be older than one in
/// force elsewhere. A store that was never restored lists the one in force.
pub(crate) fn may_hold_older_version(state: &State) -> bool {
    let gateway = state.gateway.as_ref();
    is_behind(state) && gateway.is_some_and(|gateway| catalog::era(&gateway.sync) > 0)
}

/// Decides whether this instance has caught up, and sets the version that it states to others.
///
/// A store that states no era was never restored, so what it lists is in force.
pub(crate) fn update(state: &mut State, now: Instant, out: &mut Vec<Effect>) {
    let Some(gateway) = state
        .gateway
        .as_ref()
        .filter(|gateway| ::gateway::is_known(gateway))
    else {
        return;
    };
    let version = gateway.catalog.version;
    let heard_version = state.fleet.heard_version_in_force;
    if !state.catch_up.is_over {
        let since = *state.catch_up.since.get_or_insert(now);
        let waited = now.saturating_duration_since(since);
        let has_heard = heard_version > 0
            || waited >= CATCH_UP_SILENCE
            || !gateway::has_other_seeds(&state.settings);
        let is_current = has_heard && version >= heard_version;
        state.catch_up.is_over =
            catalog::era(&gateway.sync) == 0 || is_current || waited >= CATCH_UP_LIMIT;
    }
    log_change(state, version, out);
    state.fleet.version_in_force = match state.catch_up.is_over {
        true => version,
        false => 0,
    };
}

/// Logs that a later version is in force elsewhere, and the end of the wait for it.
fn log_change(state: &mut State, version: u64, out: &mut Vec<Effect>) {
    let heard_version = state.fleet.heard_version_in_force;
    let catch_up = &mut state.catch_up;
    let is_waiting = !catch_up.is_over && version < heard_version;
    if is_waiting == catch_up.is_logged || (!catch_up.is_over && !is_waiting) {
        return;
    }
    catch_up.is_logged = is_waiting;
    let name = match is_waiting {
        true => "configuration-behind",
        false => "configuration-caught-up",
    };
    let line = LogLine::new(Level::Info, name)
        .with("version", version)
        .with("heard_version", heard_version);
    out.push(Effect::Log(line));
}

/// State of the replication before an event, with which [`on_store_event`] compares.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Before {
    era: u64,
    is_restoring: [bool; 2],
}

/// Returns what [`on_store_event`] compares with.
pub(crate) fn before(state: &State) -> Before {
    let sync = state.gateway.as_ref().map(|gateway| &gateway.sync);
    Before {
        era: sync.map_or(0, catalog::era),
        is_restoring: sync.map_or([false; 2], is_restoring),
    }
}

fn is_restoring(sync: &SyncState) -> [bool; 2] {
    [sync.operators.is_restoring, sync.targets.is_restoring]
}

/// Logs a restore of the store and the end of each new list, and passes a new era on.
pub(crate) fn on_store_event(
    state: &mut State,
    now: Instant,
    before: Before,
    out: &mut Vec<Effect>,
) {
    let Some(gateway) = &state.gateway else {
        return;
    };
    let sync = &gateway.sync;
    let era = catalog::era(sync);
    let restoring = is_restoring(sync);
    if era > before.era && restoring.contains(&true) {
        let line = LogLine::new(Level::Warn, "store-restored")
            .with("era", era)
            .with("from_era", before.era)
            .with("version", gateway.catalog.version);
        out.push(Effect::Log(line));
        tell_followers(state, era, out);
        wait_after_pause(state, now);
    } else if era < before.era {
        let line = LogLine::new(Level::Warn, "era-given-up")
            .with("era", era)
            .with("from_era", before.era)
            .with("version", gateway.catalog.version);
        out.push(Effect::Log(line));
    } else if era == before.era {
        let areas = [StoreArea::Operators, StoreArea::Targets];
        for (index, area) in areas.into_iter().enumerate() {
            if before.is_restoring[index] && !restoring[index] {
                let line = LogLine::new(Level::Info, "store-relisted")
                    .with("area", variant_name(&area).as_str())
                    .with("era", era)
                    .with("version", gateway.catalog.version)
                    .with("targets_count", gateway.catalog.targets.len() as u64);
                out.push(Effect::Log(line));
            }
        }
    }
    update(state, now, out);
}

/// Tells the zone's followers of a new era, so that they do not rely on this reader's next answer.
///
/// The message holds no change: an instance that knows the era, or is of an earlier version, takes
/// it for an old one.
fn tell_followers(state: &State, era: u64, out: &mut Vec<Effect>) {
    let gateway = state.gateway.as_ref();
    if gateway.is_none_or(|gateway| gateway.sync.role != Role::Reader) {
        return;
    }
    for address in fleet::zone_peer_addresses(&state.fleet) {
        let message = Message::StoreChanges(StoreChanges {
            area: StoreArea::Operators,
            era,
            after_revision: 0,
            revision: 0,
            body: Bytes::new(),
        });
        out.push(Effect::Send { address, message });
    }
}

/// Makes an instance whose process was paused shortly before it heard of the restore wait for the
/// version in force: it may have missed one that the copy lacks. A wait that has begun goes on.
fn wait_after_pause(state: &mut State, now: Instant) {
    let resumed_at = state
        .gateway
        .as_ref()
        .and_then(|gateway| gateway.resumed_at);
    let was_paused =
        resumed_at.is_some_and(|at| now.saturating_duration_since(at) < CATCH_UP_LIMIT);
    if was_paused && state.catch_up.is_over {
        state.catch_up = CatchUp::default();
        state.fleet.heard_version_in_force = 0;
    }
}

/// Returns the changes of zones that were kept after a restore and are due.
pub(crate) fn due_zones(state: &mut State, now: Instant) -> Vec<Change> {
    let gateway = state.gateway.as_mut();
    gateway.map_or_else(Vec::new, |gateway| {
        catalog::apply_due_zones(&mut gateway.catalog, now)
    })
}
