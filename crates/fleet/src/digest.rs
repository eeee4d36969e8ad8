//! Content and recipients of digests.

use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr, time::Instant};

use model::{Digest, MemberRow, MemberState, Observations};
use rand::{RngExt, seq::IteratorRandom};
use rand_chacha::ChaCha8Rng;
use settings::Settings;

use crate::{FleetState, JoinState, Member, Probe, freshness, join, member, share};

/// Limit of member rows in one digest, which bounds its size.
const ROWS_MAX_COUNT: usize = 2;
/// Interval of the probes to a random gone member.
const GONE_PROBE_INTERVAL_TICKS: u64 = 5;
/// Interval of the probes to a seed that is not a member, while other members are present.
const SEED_PROBE_INTERVAL_TICKS: u64 = 10;
/// Ticks without a message from any other zone after which every other zone is probed.
const ZONE_SILENCE_TICKS: u32 = 2;

/// Peer that a digest is sent to.
#[derive(Clone, Debug)]
pub(crate) struct Recipient {
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
    pub(crate) wants_reply: bool,
    /// When the first unanswered probe was sent, if this one retries it.
    pub(crate) first_sent_at: Option<Instant>,
}

/// Selects the recipients of this tick's digests.
///
/// The first recipient belongs to the zone that replied longest ago, so that changes propagate
/// between zones and all zones are probed in turn. A random gone member is probed every few ticks,
/// which heals partitions. If no message from another zone arrived for some ticks, one member of
/// each other zone is probed: if none replies, this instance is isolated.
pub(crate) fn select_recipients(
    fleet: &mut FleetState,
    settings: &settings::Fleet,
    now: Instant,
) -> Vec<Recipient> {
    let is_joining = fleet.join == JoinState::Waiting;
    let mut fanout_count = settings.fanout_count as usize;
    if is_joining {
        fanout_count = fanout_count.max(join::JOIN_FANOUT_COUNT);
    }
    let mut rng = fleet.rng.clone();
    let present = || fleet.members.values().filter(|member| member.is_present());
    let zone = zone_with_oldest_reply(present());
    let in_zone = present().filter(|member| Some(member.row.zone.as_str()) == zone);
    let mut chosen: Vec<&Member> = in_zone.choose(&mut rng).into_iter().collect();
    for member in present().sample(&mut rng, fanout_count) {
        let is_chosen = chosen.iter().any(|c| c.row.id.name == member.row.id.name);
        if !is_chosen && chosen.len() < fanout_count {
            chosen.push(member);
        }
    }
    let probes_min_count = match is_every_other_zone_silent(fleet, settings, now) {
        true => {
            chosen.extend(select_from_uncovered_zones(fleet, &chosen, &mut rng));
            chosen.len()
        }
        false => 1,
    };
    let gone = fleet.members.values().filter(|member| !member.is_present());
    if fleet.ticks_count.is_multiple_of(GONE_PROBE_INTERVAL_TICKS) {
        chosen.extend(gone.choose(&mut rng));
    }
    let recipients = chosen
        .into_iter()
        .enumerate()
        .map(|(index, member)| Recipient {
            name: member.row.id.name.clone(),
            address: member.row.address,
            wants_reply: index < probes_min_count || is_joining || !member.is_present(),
            first_sent_at: None,
        });
    let recipients = recipients.collect();
    fleet.rng = rng;
    recipients
}

/// Returns whether other zones have sent messages before, but none in the last ticks.
fn is_every_other_zone_silent(
    fleet: &FleetState,
    settings: &settings::Fleet,
    now: Instant,
) -> bool {
    let heard_at = share::other_zones_last_contact_at(fleet);
    heard_at.is_some_and(|at| now >= at + settings.tick * ZONE_SILENCE_TICKS)
}

/// Selects one random member from each other zone that has no chosen member yet.
fn select_from_uncovered_zones<'a>(
    fleet: &'a FleetState,
    chosen: &[&Member],
    rng: &mut ChaCha8Rng,
) -> Vec<&'a Member> {
    let is_covered =
        |zone: &str| zone == fleet.zone || chosen.iter().any(|member| member.row.zone == zone);
    let mut zones: BTreeMap<&str, Vec<&Member>> = BTreeMap::new();
    for member in fleet.members.values().filter(|member| member.is_present()) {
        if !is_covered(&member.row.zone) {
            zones.entry(&member.row.zone).or_default().push(member);
        }
    }
    let zones = zones.into_values();
    zones
        .filter_map(|members| members.into_iter().choose(rng))
        .collect()
}

/// Selects a seed to probe for other instances: every tick while no member is present, and at
/// intervals later, which merges parts of the fleet that do not know each other.
pub(crate) fn select_seed(fleet: &mut FleetState, settings: &Settings) -> Option<Recipient> {
    let seeds = &settings.gateway.as_ref()?.seeds;
    let is_alone = !fleet.members.values().any(Member::is_present);
    if !is_alone && !fleet.ticks_count.is_multiple_of(SEED_PROBE_INTERVAL_TICKS) {
        return None;
    }
    let mut rng = fleet.rng.clone();
    let others = seeds.iter().filter(|&&seed| seed != fleet.address);
    let unknown = others.filter(|&&seed| !member::knows_address(fleet, seed));
    let address = unknown.copied().choose(&mut rng);
    fleet.rng = rng;
    Some(Recipient {
        name: String::new(),
        address: address?,
        wants_reply: true,
        first_sent_at: None,
    })
}

/// Returns a digest for a recipient; if a reply is wanted, also registers the probe.
pub(crate) fn build_outgoing(
    fleet: &mut FleetState,
    now: Instant,
    recipient: &Recipient,
    observations: &Observations,
) -> Digest {
    let mut sequence = 0;
    if recipient.wants_reply {
        let probe = Probe {
            name: recipient.name.clone(),
            sent_at: now,
            first_sent_at: recipient.first_sent_at.unwrap_or(now),
            is_retried: false,
        };
        sequence = pending::register(&mut fleet.probes, recipient.address, probe);
    }
    let mut digest = build(fleet, now, &recipient.name, observations);
    digest.sequence = sequence;
    digest.wants_reply = recipient.wants_reply;
    digest.is_repeated = recipient.first_sent_at.is_some();
    digest
}

/// Returns the reply to a digest.
///
/// The sequence number is set only if the digest requested the reply.
pub(crate) fn build_reply(
    fleet: &mut FleetState,
    now: Instant,
    request: &Digest,
    observations: &Observations,
) -> Digest {
    let mut digest = build(fleet, now, &request.from.id.name, observations);
    if request.wants_reply {
        digest.sequence = request.sequence;
    }
    digest
}

fn build(
    fleet: &mut FleetState,
    now: Instant,
    recipient: &str,
    observations: &Observations,
) -> Digest {
    Digest {
        from: member::own_row(fleet),
        sequence: 0,
        wants_reply: false,
        is_repeated: false,
        revision: fleet.revision(),
        version_in_force: fleet.version_in_force,
        freshness_age: freshness::freshness_age(fleet, now),
        members: select_rows(fleet, recipient),
        observations: observations.clone(),
    }
}

/// Selects the member rows of a digest.
///
/// In order of priority: the recipient's own row unless it is alive, so that it can refute it; the
/// most urgent recent change; and a random present member.
fn select_rows(fleet: &mut FleetState, recipient: &str) -> Vec<MemberRow> {
    let mut names: Vec<String> = Vec::new();
    let about_recipient = fleet.members.get(recipient);
    if about_recipient.is_some_and(|member| member.row.state != MemberState::Alive) {
        names.push(recipient.to_owned());
    }
    let relays_max_count = relays_max_count(fleet.members.len());
    let others = fleet.members.iter().filter(|(name, _)| *name != recipient);
    let changed = others.filter(|(_, member)| member.relayed_count < relays_max_count);
    // Departures go before arrivals, because an arriving instance announces itself.
    let urgency = |member: &Member| {
        let is_alive = member.row.state == MemberState::Alive;
        (is_alive, member.relayed_count, Reverse(member.since))
    };
    if let Some((name, _)) = changed.min_by_key(|(_, member)| urgency(member)) {
        names.push(name.clone());
    }
    let index = fleet.rng.random_range(0..fleet.members.len().max(1));
    if let Some((name, member)) = fleet.members.iter().nth(index) {
        let is_unselected = name != recipient && !names.contains(name);
        if is_unselected && member.is_present() {
            names.push(name.clone());
        }
    }
    names.truncate(ROWS_MAX_COUNT);
    let rows = names.into_iter().filter_map(|name| {
        let member = fleet.members.get_mut(&name)?;
        member.relayed_count += 1;
        Some(member.row.clone())
    });
    rows.collect()
}

/// Returns how often each instance relays a change so that it reaches all instances with high
/// probability; grows with the logarithm of their number.
fn relays_max_count(members_count: usize) -> u32 {
    3 * (members_count + 1).ilog2() + 3
}

/// Returns the zone whose latest reply is the oldest; zones that never replied come first.
fn zone_with_oldest_reply<'a>(members: impl Iterator<Item = &'a Member>) -> Option<&'a str> {
    let mut zones: BTreeMap<&str, Option<Instant>> = BTreeMap::new();
    for member in members {
        let newest = zones.entry(&member.row.zone).or_default();
        *newest = (*newest).max(member.confirmed_at);
    }
    let oldest = zones.into_iter().min_by_key(|(_, newest)| *newest);
    oldest.map(|(zone, _)| zone)
}
