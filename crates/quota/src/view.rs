//! Zones, the members that may issue, and the selection of issuers.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use serde::Serialize;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    Quota,
    limits::{PARTS_MAX_COUNT, limits},
    state::{Organisation, Route},
};

/// Time for which a new issuer waits until the others have learned of the change.
const TAKEOVER_DELAY: Duration = Duration::from_secs(3);
/// Time in which a started instance learns of one member: digests and their replies carry three
/// rows each and arrive at a rate of about 15 a second.
const LEARNING_TIME_PER_MEMBER: Duration = Duration::from_millis(30);
/// Time for which a member that is no longer a candidate is remembered, to derive since when its
/// successor has been the issuer.
const DEPARTED_RETENTION: Duration = Duration::from_secs(600);
/// Assumed capacity of an instance that does not publish one.
const DEFAULT_CAPACITY_MILLICORES: u32 = 1000;

/// A member that understands permits and may be running.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its availability zone.
    pub zone: &'a str,
    /// Its peer address.
    pub address: SocketAddr,
    /// Its CPU capacity; 0 if unknown.
    pub capacity_millicores: u32,
}

/// The fleet as this instance sees it.
#[derive(Clone, Copy, Debug)]
pub struct FleetView<'a> {
    /// Name of this instance.
    pub own_name: &'a str,
    /// Availability zone of this instance.
    pub own_zone: &'a str,
    /// Zones among which caps are divided.
    pub zones: &'a [String],
    /// When the process started.
    pub started_at: Instant,
    /// Whether the settings name no other instance.
    pub is_alone: bool,
    /// Whether a message of another instance has arrived since the start.
    pub has_heard: bool,
    /// Members that may issue; this instance too, unless it leaves.
    pub candidates: &'a [Candidate<'a>],
}

/// What [`FleetView`] last stated, with the members that have departed since.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub(crate) struct View {
    pub(crate) own_name: Arc<str>,
    pub(crate) own_zone: Arc<str>,
    /// Sorted by name.
    pub(crate) zones: Vec<Arc<str>>,
    pub(crate) members: BTreeMap<Arc<str>, ViewMember>,
    /// Increases with every change of zones or members.
    pub(crate) version: u64,
    /// Since when this instance may issue; `None` if it may not.
    #[serde(skip)]
    pub(crate) ready_at: Option<Instant>,
    /// When the process last resumed from a pause.
    #[serde(skip)]
    pub(crate) resumed_at: Option<Instant>,
}

#[derive(Clone, Debug)]
#[derive(Serialize)]
pub(crate) struct ViewMember {
    hash: u64,
    zone: Arc<str>,
    address: SocketAddr,
    weight: f64,
    #[serde(skip)]
    departed_at: Option<Instant>,
}

/// Updates the view of the fleet.
pub fn set_view(quota: &mut Quota, now: Instant, fleet: &FleetView<'_>) {
    let view = &mut quota.view;
    let mut is_changed = &*view.own_name != fleet.own_name || &*view.own_zone != fleet.own_zone;
    if is_changed {
        view.own_name = fleet.own_name.into();
        view.own_zone = fleet.own_zone.into();
    }
    let mut zones: Vec<&str> = fleet.zones.iter().map(String::as_str).collect();
    zones.sort_unstable();
    zones.dedup();
    if !zones
        .iter()
        .copied()
        .eq(view.zones.iter().map(|zone| &**zone))
    {
        view.zones = zones.into_iter().map(Arc::from).collect();
        is_changed = true;
    }
    for candidate in fleet.candidates {
        is_changed |= update_member(view, candidate);
    }
    let mut names: Vec<&str> = fleet.candidates.iter().map(|c| c.name).collect();
    names.sort_unstable();
    for (name, member) in &mut view.members {
        if member.departed_at.is_none() && names.binary_search(&&**name).is_err() {
            member.departed_at = Some(now);
            is_changed = true;
        }
    }
    view.members.retain(|_, member| {
        member
            .departed_at
            .is_none_or(|at| now < at + DEPARTED_RETENTION)
    });
    view.version += u64::from(is_changed);
    view.ready_at = ready_at(view, fleet);
    if is_changed {
        for organisation in quota.organisations.values_mut() {
            update_routes(&quota.view, organisation, now);
        }
    }
}

fn update_member(view: &mut View, candidate: &Candidate<'_>) -> bool {
    let weight = match candidate.capacity_millicores {
        0 => f64::from(DEFAULT_CAPACITY_MILLICORES),
        stated => f64::from(stated),
    };
    if let Some(member) = view.members.get(candidate.name) {
        let is_same = member.departed_at.is_none()
            && &*member.zone == candidate.zone
            && member.address == candidate.address
            && member.weight == weight;
        if is_same {
            return false;
        }
    }
    let member = ViewMember {
        hash: xxh3_64(candidate.name.as_bytes()),
        zone: candidate.zone.into(),
        address: candidate.address,
        weight,
        departed_at: None,
    };
    view.members.insert(candidate.name.into(), member);
    true
}

/// Returns since when this instance knows enough of the fleet to issue.
///
/// An instance that has just started or resumed knows few members, or old ones, and would take
/// itself for the issuer of other instances' organisations.
fn ready_at(view: &View, fleet: &FleetView<'_>) -> Option<Instant> {
    let settled_at = match fleet.is_alone {
        true => fleet.started_at,
        false if !fleet.has_heard => return None,
        false => {
            let members_count = u32::try_from(view.members.len()).unwrap_or(u32::MAX);
            let learning = LEARNING_TIME_PER_MEMBER.saturating_mul(members_count);
            // While it learns of the others, they learn of it.
            fleet.started_at + TAKEOVER_DELAY.max(learning)
        }
    };
    let resumed_at = view.resumed_at.map(|at| at + TAKEOVER_DELAY);
    Some(resumed_at.map_or(settled_at, |at| at.max(settled_at)))
}

/// Selects the zones that have a part of an organisation's cap and their issuers.
pub(crate) fn update_routes(view: &View, organisation: &mut Organisation, now: Instant) {
    if organisation.routes_version == view.version && !organisation.routes.is_empty() {
        return;
    }
    organisation.routes_version = view.version;
    let hash = organisation.hash;
    let mut zones: Vec<&Arc<str>> = view.zones.iter().collect();
    zones.sort_by_key(|zone| xxh3_64_with_seed(zone.as_bytes(), hash));
    zones.truncate(PARTS_MAX_COUNT);
    let own_hash = xxh3_64(view.own_name.as_bytes());
    // The own zone comes first, and the others in an order that differs by instance.
    zones.sort_by_key(|&zone| {
        let order = xxh3_64_with_seed(zone.as_bytes(), own_hash);
        (*zone != view.own_zone, order)
    });
    let parts_count = zones.len();
    let old = std::mem::take(&mut organisation.routes);
    for zone in zones {
        let present = view.members.iter();
        let present = present.filter(|(_, m)| m.departed_at.is_none() && m.zone == *zone);
        let issuer = present.min_by(|(_, a), (_, b)| score(hash, a).total_cmp(&score(hash, b)));
        let address = issuer.map(|(_, member)| member.address);
        let mut old = old.iter();
        let old = old.find(|old| old.zone == *zone && old.issuer == address);
        organisation.routes.push(Route {
            zone: zone.clone(),
            issuer: address,
            issuer_name: issuer.map(|(name, _)| name.clone()),
            refused_until: old.and_then(|old| old.refused_until),
            awaited_until: old.and_then(|old| old.awaited_until),
            is_unreachable: old.is_some_and(|old| old.is_unreachable),
        });
    }
    // Indices of routes have changed; a late answer finds its route by the zone.
    organisation.asked = None;
    organisation.limits = limits(&organisation.cap, parts_count);
    if !is_issuer(view, organisation) {
        organisation.bucket = None;
        organisation.issuer_since = None;
    } else if organisation.issuer_since.is_none() {
        // Another member has been the issuer, unless the cap is new here.
        let delay = match old.is_empty() {
            true => Duration::ZERO,
            false => TAKEOVER_DELAY,
        };
        organisation.issuer_since = Some(now + delay);
    }
}

/// Weighted rendezvous hashing: the lowest score wins, with a probability in proportion to weight.
fn score(organisation_hash: u64, member: &ViewMember) -> f64 {
    let hash = xxh3_64_with_seed(&member.hash.to_le_bytes(), organisation_hash);
    // The upper 53 bits fit a float exactly; adding a half keeps the logarithm finite.
    let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -uniform.ln() / member.weight
}

fn is_issuer(view: &View, organisation: &Organisation) -> bool {
    let mut routes = organisation.routes.iter();
    let own = routes.find(|route| route.zone == view.own_zone);
    own.is_some_and(|route| route.issuer_name.as_ref() == Some(&view.own_name))
}

/// Returns since when this instance issues permits of an organisation; `None` if it does not.
///
/// A member that departed counts for [`TAKEOVER_DELAY`] longer: where a cap is new to this instance,
/// it may have been the issuer.
pub(crate) fn issuing_since(
    view: &View,
    organisation: &Organisation,
    now: Instant,
) -> Option<Instant> {
    let issuer_since = organisation.issuer_since?;
    let hash = organisation.hash;
    let own_score = score(hash, view.members.get(&view.own_name)?);
    let rivals = view.members.values().filter(|member| {
        member.departed_at.is_some()
            && member.zone == view.own_zone
            && score(hash, member) < own_score
    });
    let taken_over_at = rivals.filter_map(|member| member.departed_at).max();
    let since = view.ready_at?.max(issuer_since);
    let since = taken_over_at.map_or(since, |at| since.max(at + TAKEOVER_DELAY));
    (now >= since).then_some(since)
}

/// Returns zone and name of the issuers of an organisation.
pub fn issuers(organisation: &Organisation) -> impl Iterator<Item = (&str, Option<&str>)> {
    let routes = organisation.routes.iter();
    routes.map(|route| (&*route.zone, route.issuer_name.as_deref()))
}
