//! What a digest carries, and who receives one.

use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr, time::Instant};

use model::{Digest, MemberRow, MemberState, QuarantineRow};
use rand::{RngExt, seq::IteratorRandom};
use rand_chacha::ChaCha8Rng;
use settings::Settings;

use crate::{FleetState, Join, Member, Probe, freshness, join, member, share};

/// Rows about members in one digest, which bounds its size.
const ROWS_MAX_COUNT: usize = 2;
/// Ticks between two attempts to reach an instance that counts as gone.
const GONE_PROBE_INTERVAL_TICKS: u64 = 5;
/// Ticks between two questions to a seed that is not known as a member.
const SEED_PROBE_INTERVAL_TICKS: u64 = 10;

/// Ticks without a word of any other zone after which each of them is asked.
const ZONE_SILENCE_TICKS: u32 = 2;

/// An instance that receives a digest this tick.
#[derive(Clone, Debug)]
pub(crate) struct Recipient {
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
    pub(crate) wants_reply: bool,
    /// When the first unanswered question was sent, if this one repeats it.
    pub(crate) first_sent_at: Option<Instant>,
}

/// Chooses this tick's receivers.
///
/// The first comes from the zone that answered longest ago, so news cross the zones and every zone
/// is asked in turn. An instance that counts as gone is tried now and then, which ends partitions.
/// If no other zone was heard for some ticks, each of them is asked: either one answers, or this
/// instance is cut off.
pub(crate) fn select_recipients(
    fleet: &mut FleetState,
    settings: &settings::Fleet,
    now: Instant,
) -> Vec<Recipient> {
    let is_joining = fleet.join == Join::Waiting;
    let mut fanout_count = settings.fanout_count as usize;
    if is_joining {
        fanout_count = fanout_count.max(join::JOIN_FANOUT_COUNT);
    }
    let mut rng = fleet.rng.clone();
    let present = || fleet.members.values().filter(|member| member.is_present());
    let zone = stalest_zone(present());
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

/// Tells whether no instance of another zone was heard for some ticks, though there are some.
fn is_every_other_zone_silent(
    fleet: &FleetState,
    settings: &settings::Fleet,
    now: Instant,
) -> bool {
    let heard_at = share::other_zones_heard_at(fleet);
    heard_at.is_some_and(|at| now >= at + settings.tick * ZONE_SILENCE_TICKS)
}

/// Chooses an instance of each other zone that none of the chosen ones belongs to.
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

/// Chooses a seed that is asked for the other instances: every tick until somebody is known, and
/// now and then later, which joins parts of the fleet that know nothing of each other.
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

/// Returns a digest that asks for a reply, or tells without asking.
pub(crate) fn build_outgoing(
    fleet: &mut FleetState,
    now: Instant,
    recipient: &Recipient,
    quarantine: &[QuarantineRow],
) -> Digest {
    let mut sequence = 0;
    if recipient.wants_reply {
        fleet.sequence += 1;
        sequence = fleet.sequence;
        let probe = Probe {
            name: recipient.name.clone(),
            sent_at: now,
            first_sent_at: recipient.first_sent_at.unwrap_or(now),
            is_retried: false,
        };
        fleet.probes.insert(sequence, probe);
    }
    let mut digest = build(fleet, now, &recipient.name, quarantine);
    digest.sequence = sequence;
    digest.wants_reply = recipient.wants_reply;
    digest
}

/// Returns the reply to a digest.
pub(crate) fn build_reply(
    fleet: &mut FleetState,
    now: Instant,
    request: &Digest,
    quarantine: &[QuarantineRow],
) -> Digest {
    let mut digest = build(fleet, now, &request.from.id.name, quarantine);
    if request.wants_reply {
        digest.sequence = request.sequence;
    }
    digest
}

fn build(
    fleet: &mut FleetState,
    now: Instant,
    recipient: &str,
    quarantine: &[QuarantineRow],
) -> Digest {
    Digest {
        from: member::own_row(fleet),
        sequence: 0,
        wants_reply: false,
        revision: fleet.revision(),
        freshness_age: freshness::freshness_age(fleet, now),
        members: select_rows(fleet, recipient),
        quarantine: quarantine.to_vec(),
    }
}

/// Chooses the rows: what is wrong about the receiver, the most urgent change, and any other.
fn select_rows(fleet: &mut FleetState, recipient: &str) -> Vec<MemberRow> {
    let mut names: Vec<String> = Vec::new();
    let about_recipient = fleet.members.get(recipient);
    if about_recipient.is_some_and(|member| member.row.state != MemberState::Alive) {
        names.push(recipient.to_owned());
    }
    let relays_max_count = relays_max_count(fleet.members.len());
    let others = fleet.members.iter().filter(|(name, _)| *name != recipient);
    let changed = others.filter(|(_, member)| member.relayed_count < relays_max_count);
    // Departures go before arrivals, which the arriving instance tells by itself.
    let urgency = |member: &Member| {
        let is_alive = member.row.state == MemberState::Alive;
        (is_alive, member.relayed_count, Reverse(member.since))
    };
    if let Some((name, _)) = changed.min_by_key(|(_, member)| urgency(member)) {
        names.push(name.clone());
    }
    let index = fleet.rng.random_range(0..fleet.members.len().max(1));
    if let Some((name, member)) = fleet.members.iter().nth(index) {
        let is_new = name != recipient && !names.contains(name);
        if is_new && member.is_present() {
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

/// Returns how often each instance relays a change so that all hear of it with high probability.
fn relays_max_count(members_count: usize) -> u32 {
    3 * (members_count + 1).ilog2() + 3
}

/// Returns the zone whose newest confirmation is the oldest.
fn stalest_zone<'a>(members: impl Iterator<Item = &'a Member>) -> Option<&'a str> {
    let mut zones: BTreeMap<&str, Option<Instant>> = BTreeMap::new();
    for member in members {
        let newest = zones.entry(&member.row.zone).or_default();
        *newest = (*newest).max(member.confirmed_at);
    }
    let oldest = zones.into_iter().min_by_key(|(_, newest)| *newest);
    oldest.map(|(zone, _)| zone)
}
