//! Events of the gateway, and what the other areas contribute to them.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use catalog::{Answered, Change, Role, Shared};
use fleet::FleetState;
use gateway::Gateway;
use model::{
    AttemptKey, AttemptReply, CallFailure, CallerKey, Effect, ExchangeKey, HttpRequest, Level,
    LogLine, Message, NotRunReason, RelayedRequest, ReplyStatus, StoreArea, StoreChanges,
    StoreFailure, StoreRead, to_word,
};

use crate::{State, leave, poison};

/// Time after the start from which on an instance that has heard of no other takes itself for the
/// only one.
const ALONE_AFTER: Duration = Duration::from_secs(4);
/// Multiple of the own processor time from which on another instance runs large queries instead.
const LARGER_FACTOR: u32 = 2;
/// Other instances of a zone from which on a reader costs fewer calls than their own watches: it
/// reads five times as often.
const READER_MIN_COUNT: usize = 6;
/// Instances of a zone that read the store for the others.
const READERS_PER_ZONE_COUNT: u32 = 1;
/// Version changes and target changes that are logged in full for one answer of the store; the rest
/// is counted.
const CHANGES_LOGGED_COUNT: usize = 16;

/// Time without a word of any instance of another zone after which this one may be cut off: four
/// ticks, in each of which the zone that was heard longest ago is asked.
const CUT_OFF_AFTER: Duration = Duration::from_millis(800);

/// Starts to read the store.
pub(crate) fn started(state: &mut State, now: Instant, out: &mut Vec<Effect>) {
    state.started_at = Some(now);
    if let Some(gateway) = &mut state.gateway {
        catalog::started(&mut gateway.sync, now, out);
    }
}

/// Takes in a caller's request.
pub(crate) fn offered(
    state: &mut State,
    now: Instant,
    caller: CallerKey,
    request: Arc<HttpRequest>,
    out: &mut Vec<Effect>,
) {
    leave::note_activity(state, now);
    let refusal = if leave::is_refusing(state, now) {
        Some(NotRunReason::Leaving)
    } else if is_request_quarantined(state, now, &request) {
        Some(NotRunReason::Quarantined)
    } else {
        None
    };
    let Some(gateway) = &mut state.gateway else {
        return;
    };
    if let Some(reason) = refusal {
        gateway::refuse(gateway, caller, &request, reason, out);
        return;
    }
    gateway::offered(gateway, now, caller, request, out);
}

/// Takes in a target's whole reply.
pub(crate) fn replied(
    state: &mut State,
    now: Instant,
    key: AttemptKey,
    reply: &AttemptReply<'_>,
    out: &mut Vec<Effect>,
) {
    let fingerprint = fingerprint(state, key);
    if let Some(fingerprint) = fingerprint
        && reply.status == ReplyStatus::Done
    {
        poison::exonerate(state, fingerprint);
    }
    let is_quarantined = fingerprint.is_some_and(|f| poison::is_quarantined(state, now, f));
    if let Some(gateway) = &mut state.gateway {
        gateway::attempt_replied(gateway, now, key, reply, is_quarantined, out);
    }
}

/// Takes in an attempt that ended without a whole reply.
pub(crate) fn failed(
    state: &mut State,
    now: Instant,
    key: AttemptKey,
    failure: CallFailure,
    out: &mut Vec<Effect>,
) {
    let gateway = state.gateway.as_ref();
    let attempt = gateway.and_then(|gateway| gateway.attempts.get(key));
    let attempt = attempt.map(|attempt| (attempt.fingerprint, attempt.sent_at));
    let mut is_quarantined = false;
    if let Some((fingerprint, sent_at)) = attempt {
        if failure == CallFailure::ConnectionLost {
            poison::strike(state, now, fingerprint, sent_at, out);
        }
        is_quarantined = poison::is_quarantined(state, now, fingerprint);
    }
    if let Some(gateway) = &mut state.gateway {
        gateway::attempt_failed(gateway, now, key, failure, is_quarantined, out);
    }
}

/// Ends the exchange of a caller that has left.
pub(crate) fn caller_gone(
    state: &mut State,
    now: Instant,
    caller: CallerKey,
    out: &mut Vec<Effect>,
) {
    if let Some(gateway) = &mut state.gateway {
        gateway::caller_gone(gateway, now, caller, out);
    }
}

/// Does what is due for an exchange.
pub(crate) fn exchange_due(
    state: &mut State,
    now: Instant,
    key: ExchangeKey,
    out: &mut Vec<Effect>,
) {
    if let Some(gateway) = &mut state.gateway {
        gateway::due(gateway, now, key, out);
    }
}

/// Starts the read of the store that an area needs next.
pub(crate) fn store_due(state: &mut State, now: Instant, area: StoreArea, out: &mut Vec<Effect>) {
    if let Some(gateway) = &mut state.gateway {
        catalog::due(&mut gateway.sync, now, area, out);
    }
}

/// Takes in an answer of the store.
pub(crate) fn store_answered(
    state: &mut State,
    now: Instant,
    answer: &Answered<'_>,
    published: &Bytes,
    out: &mut Vec<Effect>,
) {
    share(state, answer, published, out);
    let Some(gateway) = &mut state.gateway else {
        return;
    };
    let area = catalog::area(&gateway.sync, answer.read.area());
    if area.failures_count > 0 {
        let line = LogLine::new(Level::Info, "store-regained")
            .with("area", to_word(&answer.read.area()).as_str())
            .with("failures_count", u64::from(area.failures_count));
        out.push(Effect::Log(line));
    }
    let was_known = gateway::is_known(gateway);
    let sync = &mut gateway.sync;
    let changes = catalog::answered(sync, &mut gateway.catalog, now, answer, out);
    note_changes(gateway, &changes, out);
    if !was_known && gateway::is_known(gateway) {
        let line = LogLine::new(Level::Info, "catalog-known")
            .with("version", gateway.catalog.version)
            .with("targets_count", gateway.catalog.targets.len() as u64);
        out.push(Effect::Log(line));
    }
}

/// Takes in what the reader of the zone has learned from the store.
pub(crate) fn store_shared(
    state: &mut State,
    now: Instant,
    shared: &Shared<'_>,
    out: &mut Vec<Effect>,
) {
    let Some(gateway) = &mut state.gateway else {
        return;
    };
    let changes = catalog::shared(&mut gateway.sync, &mut gateway.catalog, now, shared);
    note_changes(gateway, &changes, out);
}

/// Tells the others of the zone what a watch has answered, if this instance reads for them. While
/// it is behind itself, they know as much or soon read by themselves.
fn share(state: &State, answer: &Answered<'_>, published: &Bytes, out: &mut Vec<Effect>) {
    let StoreRead::Watch {
        area,
        after_revision,
        ..
    } = answer.read
    else {
        return;
    };
    let gateway = state.gateway.as_ref();
    if answer.is_behind || gateway.is_none_or(|gateway| gateway.sync.role != Role::Reader) {
        return;
    }
    let body = match answer.records.is_empty() {
        true => Bytes::new(),
        false => published.clone(),
    };
    for address in fleet::zone_addresses(&state.fleet) {
        let message = Message::StoreChanges(StoreChanges {
            area: *area,
            after_revision: *after_revision,
            revision: answer.revision,
            body: body.clone(),
        });
        out.push(Effect::Send { address, message });
    }
}

/// Takes in the failure of a read of the store.
pub(crate) fn store_failed(
    state: &mut State,
    read: &StoreRead,
    failure: StoreFailure,
    out: &mut Vec<Effect>,
) {
    let Some(gateway) = &mut state.gateway else {
        return;
    };
    let failures_count = catalog::area(&gateway.sync, read.area()).failures_count;
    // A store that stays away is reported at the start and after each doubling of the failures.
    if (failures_count + 1).is_power_of_two() {
        let line = LogLine::new(Level::Info, "store-lost")
            .with("area", to_word(&read.area()).as_str())
            .with("reason", to_word(&failure).as_str())
            .with("failures_count", u64::from(failures_count) + 1)
            .with("version", gateway.catalog.version);
        out.push(Effect::Log(line));
    }
    catalog::failed(&mut gateway.sync, &mut gateway.rng, read, failure, out);
}

/// Does the regular work.
pub(crate) fn tick(state: &mut State, now: Instant, out: &mut Vec<Effect>) {
    let is_long_started = state
        .started_at
        .is_some_and(|at| now.saturating_duration_since(at) >= ALONE_AFTER);
    let fleet = &state.fleet;
    let is_counted = fleet::may_hold_count(fleet) > 1 || is_long_started;
    let share_ratio = is_counted.then(|| fleet::capacity_ratio(fleet));
    let larger = fleet::larger_in_zone(fleet, LARGER_FACTOR);
    let heard_at = fleet::other_zones_heard_at(fleet);
    let role = role(fleet);
    let Some(gateway) = &mut state.gateway else {
        return;
    };
    if gateway.sync.role != role {
        let line = LogLine::new(Level::Info, "store-role").with("role", to_word(&role).as_str());
        out.push(Effect::Log(line));
        gateway.sync.role = role;
    }
    // What arrived during a pause of the process has not been read yet.
    let heard_at = heard_at.map(|at| {
        gateway
            .resumed_at
            .map_or(at, |resumed_at| at.max(resumed_at))
    });
    let fleet = gateway::Fleet {
        share_ratio,
        larger,
        is_cut_off: heard_at.is_some_and(|at| now >= at + CUT_OFF_AFTER),
    };
    gateway::set_fleet(gateway, fleet);
    gateway::tick(gateway, now, out);
}

/// Returns whose reads of the store an instance relies on.
fn role(fleet: &FleetState) -> Role {
    if fleet::zone_addresses(fleet).len() < READER_MIN_COUNT {
        Role::Alone
    } else if fleet::is_reader(fleet, READERS_PER_ZONE_COUNT) {
        Role::Reader
    } else {
        Role::Follower
    }
}

/// Takes in a query that a smaller instance hands over.
pub(crate) fn relayed(
    state: &mut State,
    now: Instant,
    request: &RelayedRequest,
    out: &mut Vec<Effect>,
) {
    leave::note_activity(state, now);
    let is_isolated = state
        .gateway
        .as_ref()
        .is_some_and(|gateway| gateway.is_isolated);
    let refusal = if state.fleet.is_leaving {
        Some(NotRunReason::Leaving)
    } else if is_isolated {
        Some(NotRunReason::CutOff)
    } else if is_request_quarantined(state, now, &request.request) {
        Some(NotRunReason::Quarantined)
    } else {
        None
    };
    if let Some(gateway) = &mut state.gateway {
        gateway::relayed(gateway, now, request, refusal, out);
    }
}

fn fingerprint(state: &State, key: AttemptKey) -> Option<u64> {
    if state.once.suspects.is_empty() {
        return None;
    }
    let attempt = state.gateway.as_ref()?.attempts.get(key)?;
    Some(attempt.fingerprint)
}

fn is_request_quarantined(state: &State, now: Instant, request: &HttpRequest) -> bool {
    if state.once.suspects.is_empty() {
        return false;
    }
    let Some(gateway) = &state.gateway else {
        return false;
    };
    let catalog = &gateway.catalog;
    let Some(front) = catalog::find_front(catalog, &request.host, &request.path) else {
        return false;
    };
    let fingerprint = gateway::fingerprint(&catalog.fronts[front].name, request);
    poison::is_quarantined(state, now, fingerprint)
}

/// Logs changes of the catalog, and forgets targets that others have replaced.
fn note_changes(gateway: &mut Gateway, changes: &[Change], out: &mut Vec<Effect>) {
    log_changes(gateway, changes, out);
    for change in changes {
        if let Change::TargetStarted {
            replaced: Some(replaced),
            ..
        } = change
        {
            gateway::targets_gone(gateway, &[*replaced], out);
        }
    }
}

fn log_changes(gateway: &Gateway, changes: &[Change], out: &mut Vec<Effect>) {
    let targets = &gateway.catalog.targets;
    let id = |key| targets.get(key).map_or("", |target| &*target.id);
    for change in changes.iter().take(CHANGES_LOGGED_COUNT) {
        let line = match change {
            Change::Configuration { from } => LogLine::new(Level::Info, "configuration-in-force")
                .with("version", gateway.catalog.version)
                .with("from_version", *from)
                .with("fronts_count", gateway.catalog.fronts.len() as u64),
            Change::OldConfiguration { version } => {
                LogLine::new(Level::Info, "configuration-not-newer")
                    .with("version", *version)
                    .with("in_force_version", gateway.catalog.version)
            }
            Change::ZoneOut { zone, is_out } => LogLine::new(Level::Info, "zone-changed")
                .with("zone", zone.as_str())
                .with("state", if *is_out { "out" } else { "in" }),
            Change::TargetStarted { target, replaced } => {
                LogLine::new(Level::Info, "target-started")
                    .with("target", id(*target))
                    .with("is_replacement", u64::from(replaced.is_some()))
            }
            Change::TargetLeaving { target, is_removed } => {
                LogLine::new(Level::Info, "target-leaving")
                    .with("target", id(*target))
                    .with("is_removed", u64::from(*is_removed))
            }
            Change::TargetChanged { target } => {
                LogLine::new(Level::Info, "target-changed").with("target", id(*target))
            }
            Change::Unreadable { key, reason } => LogLine::new(Level::Warn, "item-unreadable")
                .with("key", key.as_str())
                .with("reason", reason.as_str()),
        };
        out.push(Effect::Log(line));
    }
    let more_count = changes.len().saturating_sub(CHANGES_LOGGED_COUNT);
    if more_count > 0 {
        let line = LogLine::new(Level::Info, "more-changes");
        out.push(Effect::Log(line.with("changes_count", more_count as u64)));
    }
}
