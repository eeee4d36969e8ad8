//! Gateway events, combined with shutdown, quarantine and membership state.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use catalog::{Change, FailedRead, Role, SharedChanges, StoreAnswer};
use fleet::FleetState;
use gateway::{Gateway, ShareHolder, ShareHolders};
use model::{
    AttemptKey, AttemptReply, CallFailure, CallerKey, Counter, Effect, ExchangeKey, HttpRequest,
    Level, LogLine, Message, NotRunReason, RelayedRequest, ReplyStatus, StoreArea, StoreChanges,
    StoreFailure, StoreRead, variant_name,
};
use settings::Settings;

use crate::{State, quarantine, quota, shutdown, store_era, strikes};

/// Time since startup after which an instance that has heard of no other assumes that it is the
/// only one.
const ASSUME_ALONE_AFTER: Duration = Duration::from_secs(4);
/// Smallest ratio of another instance's CPU capacity to this instance's at which large queries are
/// relayed to it.
const LARGER_INSTANCE_FACTOR: u32 = 2;
/// Number of other instances in the zone from which a shared reader causes fewer store calls than
/// separate watches; a reader reads five times as often.
const READER_PEERS_MIN_COUNT: usize = 6;
/// Instances per zone that read the store on behalf of the others.
const READERS_PER_ZONE_COUNT: u32 = 1;
/// Catalog changes per store answer that are logged individually; the rest is logged as a count.
const CHANGES_LOGGED_MAX_COUNT: usize = 16;

/// Time without a message from any other zone after which this instance may be cut off: four ticks,
/// each of which sends a digest to the zone heard from least recently.
const CUT_OFF_AFTER: Duration = Duration::from_millis(800);

/// Records the time of the start and, with a gateway, starts reading the store.
pub(crate) fn on_start(state: &mut State, now: Instant, out: &mut Vec<Effect>) {
    state.started_at = Some(now);
    if let Some(gateway) = &mut state.gateway {
        catalog::start(&mut gateway.sync, now, out);
    }
}

/// Handles a caller's HTTP request: refuses it or passes it to the gateway.
pub(crate) fn on_request(
    state: &mut State,
    now: Instant,
    caller: CallerKey,
    request: Arc<HttpRequest>,
    out: &mut Vec<Effect>,
) {
    shutdown::record_activity(state, now);
    // The gateway refuses an unauthenticated request before anything else is decided about it.
    let gateway = state.gateway.as_ref();
    let is_authenticated =
        gateway.is_none_or(|gateway| gateway::is_authenticated(gateway, &request));
    let refusal = if !is_authenticated {
        // The key may be one that a later version of the configuration has added.
        store_era::may_hold_older_version(state).then_some(NotRunReason::NoConfiguration)
    } else if shutdown::is_refusing_requests(state, now) {
        Some(NotRunReason::Leaving)
    } else if is_http_request_quarantined(state, now, &request) {
        Some(NotRunReason::Quarantined)
    } else if store_era::is_behind(state) {
        Some(NotRunReason::NoConfiguration)
    } else {
        None
    };
    let Some(gateway) = &mut state.gateway else {
        return;
    };
    if let Some(reason) = refusal {
        if reason == NotRunReason::Quarantined {
            out.push(Effect::Count {
                counter: Counter::QuarantineRefusals,
                amount_count: 1,
            });
        }
        gateway::refuse(gateway, caller, &request, reason, out);
        return;
    }
    gateway::on_request(gateway, now, caller, request, out);
}

/// Handles a target's complete reply to an attempt.
pub(crate) fn on_attempt_reply(
    state: &mut State,
    now: Instant,
    key: AttemptKey,
    reply: &AttemptReply<'_>,
    out: &mut Vec<Effect>,
) {
    match reply.status {
        ReplyStatus::Done => strikes::record_execution(state, now, key, out),
        ReplyStatus::Misdirected => strikes::record_replaced_target(state, now, key, out),
        _ => {}
    }
    if let Some(gateway) = &mut state.gateway {
        gateway::on_attempt_reply(gateway, now, key, reply, out);
    }
}

/// Handles an attempt that ended without a complete reply.
pub(crate) fn on_attempt_failure(
    state: &mut State,
    now: Instant,
    key: AttemptKey,
    failure: CallFailure,
    out: &mut Vec<Effect>,
) {
    if failure.may_have_reached_target() {
        strikes::record_lost_attempt(state, now, key, out);
    }
    if let Some(gateway) = &mut state.gateway {
        gateway::on_attempt_failure(gateway, now, key, failure, out);
    }
}

/// Ends the exchange of a caller that has disconnected.
pub(crate) fn on_caller_gone(
    state: &mut State,
    now: Instant,
    caller: CallerKey,
    out: &mut Vec<Effect>,
) {
    if let Some(gateway) = &mut state.gateway {
        gateway::on_caller_gone(gateway, now, caller, out);
    }
}

/// Handles an exchange's timer.
pub(crate) fn on_exchange_timer(
    state: &mut State,
    now: Instant,
    key: ExchangeKey,
    out: &mut Vec<Effect>,
) {
    if let Some(gateway) = &mut state.gateway {
        gateway::on_exchange_timer(gateway, now, key, out);
    }
}

/// Handles the timer of a request that waits for a permit.
pub(crate) fn on_permit_timer(
    state: &mut State,
    now: Instant,
    caller: CallerKey,
    out: &mut Vec<Effect>,
) {
    if let Some(gateway) = &mut state.gateway {
        gateway::on_permit_timer(gateway, now, caller, out);
    }
}

/// Starts the next read of a store area.
pub(crate) fn on_store_timer(
    state: &mut State,
    now: Instant,
    area: StoreArea,
    out: &mut Vec<Effect>,
) {
    if let Some(gateway) = &mut state.gateway {
        catalog::start_next_read(&mut gateway.sync, now, area, out);
    }
}

/// Handles a store answer: shares it within the zone and applies it to the catalog.
pub(crate) fn on_store_answer(
    state: &mut State,
    now: Instant,
    answer: &StoreAnswer<'_>,
    published: &Bytes,
    out: &mut Vec<Effect>,
) {
    let before = store_era::before(state);
    let Some(gateway) = &state.gateway else {
        return;
    };
    if catalog::is_earlier_era(&gateway.sync, answer) {
        let failed = FailedRead {
            read: answer.read,
            failure: StoreFailure::EarlierEra,
            era: answer.era,
        };
        return on_store_read_failure(state, now, &failed, out);
    }
    share_with_zone(state, answer, published, out);
    let Some(gateway) = &mut state.gateway else {
        return;
    };
    let area = catalog::area_progress(&gateway.sync, answer.read.area());
    if area.failures_count > 0 {
        let line = LogLine::new(Level::Info, "store-regained")
            .with("area", variant_name(&answer.read.area()).as_str())
            .with("failures_count", u64::from(area.failures_count));
        out.push(Effect::Log(line));
    }
    let was_known = gateway::is_known(gateway);
    let sync = &mut gateway.sync;
    let changes = catalog::on_store_answer(sync, &mut gateway.catalog, now, answer, out);
    process_changes(state, now, &changes, out);
    store_era::on_store_event(state, now, before, out);
    let Some(gateway) = &state.gateway else {
        return;
    };
    if !was_known && gateway::is_known(gateway) {
        let line = LogLine::new(Level::Info, "catalog-known")
            .with("version", gateway.catalog.version)
            .with("targets_count", gateway.catalog.targets.len() as u64);
        out.push(Effect::Log(line));
    }
}

/// Applies store changes received from the zone's reader.
pub(crate) fn on_shared_changes(
    state: &mut State,
    now: Instant,
    shared: &SharedChanges<'_>,
    out: &mut Vec<Effect>,
) {
    let before = store_era::before(state);
    let Some(gateway) = &mut state.gateway else {
        return;
    };
    let sync = &mut gateway.sync;
    let changes = catalog::on_shared_changes(sync, &mut gateway.catalog, now, shared, out);
    process_changes(state, now, &changes, out);
    store_era::on_store_event(state, now, before, out);
}

/// Sends a watch answer to the other instances of the zone if this instance is their reader.
///
/// Nothing is sent while the reader itself is behind, because the others are already as up to
/// date or will soon read the store themselves.
fn share_with_zone(
    state: &State,
    answer: &StoreAnswer<'_>,
    published: &Bytes,
    out: &mut Vec<Effect>,
) {
    let StoreRead::Watch {
        area,
        era,
        after_revision,
        ..
    } = answer.read
    else {
        return;
    };
    let gateway = state.gateway.as_ref();
    // An answer of a new era holds changes after a revision of another one.
    if answer.is_behind
        || answer.era != *era
        || gateway.is_none_or(|gateway| gateway.sync.role != Role::Reader)
    {
        return;
    }
    let body = match answer.records.is_empty() {
        true => Bytes::new(),
        false => published.clone(),
    };
    for address in fleet::zone_peer_addresses(&state.fleet) {
        let message = Message::StoreChanges(StoreChanges {
            area: *area,
            era: *era,
            after_revision: *after_revision,
            revision: answer.revision,
            body: body.clone(),
        });
        out.push(Effect::Send { address, message });
    }
}

/// Handles a failed store read.
pub(crate) fn on_store_read_failure(
    state: &mut State,
    now: Instant,
    failed: &FailedRead<'_>,
    out: &mut Vec<Effect>,
) {
    let before = store_era::before(state);
    let Some(gateway) = &mut state.gateway else {
        return;
    };
    let FailedRead { read, failure, .. } = *failed;
    let failures_count = catalog::area_progress(&gateway.sync, read.area()).failures_count;
    // A lasting outage is logged at its first failure and whenever the failure count has doubled.
    let is_counted = !catalog::is_replaced(&gateway.sync, read);
    if is_counted && failures_count.saturating_add(1).is_power_of_two() {
        let line = LogLine::new(Level::Info, "store-lost")
            .with("area", variant_name(&read.area()).as_str())
            .with("reason", variant_name(&failure).as_str())
            .with("failures_count", u64::from(failures_count) + 1)
            .with("version", gateway.catalog.version);
        out.push(Effect::Log(line));
    }
    let (sync, catalog) = (&mut gateway.sync, &mut gateway.catalog);
    catalog::on_read_failure(sync, catalog, &mut gateway.rng, now, failed, out);
    store_era::on_store_event(state, now, before, out);
}

/// Updates the gateway's view of the fleet and runs its periodic work.
pub(crate) fn tick(state: &mut State, now: Instant, out: &mut Vec<Effect>) {
    let is_discovery_over = state
        .started_at
        .is_some_and(|at| now.saturating_duration_since(at) >= ASSUME_ALONE_AFTER);
    let fleet = &state.fleet;
    let is_fleet_size_known = fleet::connection_holders_count(fleet) > 1 || is_discovery_over;
    let due_zones = store_era::due_zones(state, now);
    process_changes(state, now, &due_zones, out);
    store_era::update(state, now, out);
    let fleet = &state.fleet;
    let share_ratio = is_fleet_size_known.then(|| fleet::capacity_ratio(fleet));
    let share_holders = share_holders(state, now);
    let relay_candidates = fleet::larger_in_zone(fleet, LARGER_INSTANCE_FACTOR);
    let heard_at = fleet::other_zones_last_contact_at(fleet);
    let role = store_role(fleet);
    let Some(gateway) = &mut state.gateway else {
        return;
    };
    if gateway.sync.role != role {
        let line =
            LogLine::new(Level::Info, "store-role").with("role", variant_name(&role).as_str());
        out.push(Effect::Log(line));
        gateway.sync.role = role;
    }
    // Messages that arrived during a process pause may not have been handled yet, so silence is
    // counted from the end of the pause.
    let heard_at = heard_at.map(|at| {
        gateway
            .resumed_at
            .map_or(at, |resumed_at| at.max(resumed_at))
    });
    let fleet = gateway::Fleet {
        share_ratio,
        share_holders,
        relay_candidates,
        is_cut_off: heard_at.is_some_and(|at| now >= at + CUT_OFF_AFTER),
    };
    gateway::set_fleet(gateway, fleet);
    gateway::tick(gateway, now, out);
    probe_unanswered_peers(state, now);
}

/// Has the instances probed that have not answered requests in time, the reader of the zone among
/// them. Membership alone probes each pair of instances of a large fleet twice a minute.
fn probe_unanswered_peers(state: &mut State, now: Instant) {
    let Some(gateway) = &mut state.gateway else {
        return;
    };
    for address in std::mem::take(&mut gateway.unanswered_peers) {
        fleet::request_probe(&mut state.fleet, address);
    }
    if catalog::has_lost_reader(&gateway.sync, now)
        && let Some(address) = fleet::zone_reader_address(&state.fleet)
    {
        fleet::request_probe(&mut state.fleet, address);
    }
}

/// Returns the instances that share the rate limits of targets; none while their number is unknown.
///
/// An instance that has heard of no other since its start cannot tell whether it is alone or cut
/// off, unless its settings name no other.
fn share_holders(state: &State, now: Instant) -> ShareHolders {
    let shares = fleet::capacity_shares(&state.fleet, now);
    let own_hash = shares[0].0;
    let is_known = shares.len() > 1 || !has_other_seeds(&state.settings);
    let holders = shares.into_iter().filter(|_| is_known);
    let holders = holders.map(|(name_hash, ratio)| ShareHolder { name_hash, ratio });
    ShareHolders {
        own_hash,
        all: holders.collect(),
    }
}

pub(crate) fn has_other_seeds(settings: &Settings) -> bool {
    let gateway = settings.gateway.as_ref();
    let mut seeds = gateway.iter().flat_map(|gateway| &gateway.seeds);
    seeds.any(|&seed| seed != settings.listen.peers)
}

/// Returns this instance's role in reading the store, from the instances alive in its zone.
fn store_role(fleet: &FleetState) -> Role {
    if fleet::zone_peer_addresses(fleet).len() < READER_PEERS_MIN_COUNT {
        Role::Alone
    } else if fleet::is_reader(fleet, READERS_PER_ZONE_COUNT) {
        Role::Reader
    } else {
        Role::Follower
    }
}

/// Handles a request relayed by a smaller instance.
pub(crate) fn on_relay_request(
    state: &mut State,
    now: Instant,
    request: &RelayedRequest,
    out: &mut Vec<Effect>,
) {
    shutdown::record_activity(state, now);
    let is_isolated = state
        .gateway
        .as_ref()
        .is_some_and(|gateway| gateway.is_isolated);
    let refusal = if state.fleet.is_leaving {
        Some(NotRunReason::Leaving)
    } else if is_isolated {
        Some(NotRunReason::CutOff)
    } else if store_era::is_behind(state) {
        Some(NotRunReason::NoConfiguration)
    } else if is_http_request_quarantined(state, now, &request.request) {
        Some(NotRunReason::Quarantined)
    } else {
        None
    };
    if let Some(gateway) = &mut state.gateway {
        gateway::on_relay_request(gateway, now, request, refusal, out);
    }
}

fn is_http_request_quarantined(state: &State, now: Instant, request: &HttpRequest) -> bool {
    if state.once.quarantine_entries.is_empty() {
        return false;
    }
    let fingerprint = gateway::fingerprint(request);
    quarantine::is_refused_on_arrival(state, now, fingerprint)
        || may_be_at_strike_limit(state, now, fingerprint)
}

/// Returns whether a request is one strike short of the limit while a target has fallen silent under
/// it: that it has ended becomes known only when its registration lapses.
fn may_be_at_strike_limit(state: &State, now: Instant, fingerprint: u64) -> bool {
    let strikes_count = once::strikes_count(&state.once, now, fingerprint);
    strikes_count + 1 >= state.settings.once.strikes_max_count
        && state
            .gateway
            .as_ref()
            .is_some_and(|gateway| gateway::has_silent_target(gateway, now, fingerprint))
}

/// Logs catalog changes, records strikes for targets that have ended, and drops the state of
/// replaced targets.
fn process_changes(state: &mut State, now: Instant, changes: &[Change], out: &mut Vec<Effect>) {
    if let Some(gateway) = &state.gateway {
        log_changes(gateway, changes, out);
    }
    for change in changes {
        match *change {
            Change::Configuration { .. } => {
                if let Some(gateway) = &mut state.gateway {
                    gateway::on_configuration(gateway, now, out);
                }
                quota::on_configuration(state, now, out);
            }
            Change::TargetStarted {
                replaced: Some(replaced),
                ..
            } => {
                strikes::record_ended_target(state, now, replaced, out);
                if let Some(gateway) = &mut state.gateway {
                    gateway::remove_targets(gateway, now, &[replaced], out);
                }
            }
            Change::TargetLeaving {
                target,
                is_registration_missing: true,
            } => strikes::record_ended_target(state, now, target, out),
            _ => {}
        }
    }
}

fn log_changes(gateway: &Gateway, changes: &[Change], out: &mut Vec<Effect>) {
    let targets = &gateway.catalog.targets;
    let id = |key| targets.get(key).map_or("", |target| &*target.id);
    for change in changes.iter().take(CHANGES_LOGGED_MAX_COUNT) {
        let line = match change {
            Change::Configuration { from } => LogLine::new(Level::Info, "configuration-in-force")
                .with("version", gateway.catalog.version)
                .with("from_version", *from)
                .with("fronts_count", gateway.catalog.fronts.len() as u64)
                .with(
                    "organisations_count",
                    gateway.catalog.organisations.entries.len() as u64,
                )
                .with(
                    "keys_count",
                    organisation::keys_count(&gateway.catalog.organisations) as u64,
                ),
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
            Change::TargetLeaving {
                target,
                is_registration_missing,
            } => LogLine::new(Level::Info, "target-leaving")
                .with("target", id(*target))
                .with("is_removed", u64::from(*is_registration_missing)),
            Change::TargetChanged { target } => {
                LogLine::new(Level::Info, "target-changed").with("target", id(*target))
            }
            Change::TargetHeldBack { target_id } => {
                LogLine::new(Level::Info, "target-held-back").with("target", target_id.as_str())
            }
            Change::ZoneKept { zone, is_out } => LogLine::new(Level::Info, "zone-kept")
                .with("zone", zone.as_str())
                .with("state", if *is_out { "out" } else { "in" }),
            Change::Unreadable { key, reason } => LogLine::new(Level::Warn, "item-unreadable")
                .with("key", key.as_str())
                .with("reason", reason.as_str()),
        };
        out.push(Effect::Log(line));
    }
    let unreadable = changes.iter();
    let unreadable = unreadable.filter(|change| matches!(change, Change::Unreadable { .. }));
    let unreadable_count = unreadable.count() as u64;
    if unreadable_count > 0 {
        out.push(Effect::Count {
            counter: Counter::RefusedInputs,
            amount_count: unreadable_count,
        });
    }
    let unlogged_count = changes.len().saturating_sub(CHANGES_LOGGED_MAX_COUNT);
    if unlogged_count > 0 {
        let line = LogLine::new(Level::Info, "more-changes");
        out.push(Effect::Log(
            line.with("changes_count", unlogged_count as u64),
        ));
    }
}
