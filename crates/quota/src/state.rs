//! State of the caps, and what the functions on it report.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use model::{CallerKey, PermitAnswer, PermitQuestion, PermitReturn, UsageCap};
use pending::{Requests, Table};
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::{Limits, limits::limits, report::Reported, view::View};

/// Caps of all organisations, with the permits that this instance holds and issues.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Quota {
    /// Peer address of this instance.
    pub address: SocketAddr,
    pub(crate) view: View,
    /// Organisations with a cap, by name.
    pub(crate) organisations: BTreeMap<Arc<str>, Organisation>,
    /// Questions whose answers can still be used.
    pub(crate) questions: Requests<Question>,
    /// Grants of prefetched permits that can still be returned.
    pub(crate) grants: Requests<Grant>,
    /// Organisation of each waiting request.
    #[serde(skip)]
    pub(crate) waiting: HashMap<CallerKey, Arc<str>>,
}

/// An organisation with a cap.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Organisation {
    /// The cap in force.
    pub cap: UsageCap,
    /// What each zone's issuer may grant.
    pub limits: Limits,
    /// What this instance has counted since it knows the cap.
    pub counts: Counts,
    /// Hash of the name.
    #[serde(skip)]
    pub(crate) hash: u64,
    /// From when on this instance, as the issuer of its zone, may issue; `None` if another is.
    #[serde(skip)]
    pub(crate) issuer_since: Option<Instant>,
    /// Number of times that the cap was lowered; an answer to a question from before is not used.
    pub(crate) lowered_count: u64,
    /// Zones that have a part, in the order in which this instance asks them.
    pub(crate) routes: Vec<Route>,
    /// Version of the view by which the issuers in `routes` were selected.
    #[serde(skip)]
    pub(crate) routes_version: u64,
    /// Unspent permits.
    pub(crate) pool: Vec<Permit>,
    /// Requests that wait for a permit, oldest first.
    #[serde(skip)]
    pub(crate) waiting: VecDeque<Waiting>,
    /// The question that is not answered yet.
    #[serde(skip)]
    pub(crate) asked: Option<Asked>,
    /// Moving average of the requests per second at this instance.
    #[serde(rename = "demand_per_s")]
    pub(crate) demand_per_s: f64,
    /// Requests since the last tick.
    #[serde(skip)]
    pub(crate) arrived_count: u32,
    /// The bucket, while this instance issues.
    pub(crate) bucket: Option<Bucket>,
    /// What operators have been told.
    #[serde(skip)]
    pub(crate) reported: Reported,
}

/// What an instance counts for an organisation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Counts {
    /// Requests that needed a permit.
    pub requests_count: u64,
    /// Requests that got one.
    pub admitted_count: u64,
    /// Requests refused because the cap was used up.
    pub over_cap_count: u64,
    /// Requests refused because issuers could not be reached.
    pub unreachable_count: u64,
    /// Permits that this instance has issued, less those that were returned.
    pub issued_count: u64,
}

/// A zone's part of a cap, as seen by a holder.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub(crate) struct Route {
    pub(crate) zone: Arc<str>,
    /// Peer address of the issuer; `None` if no usable member of the zone is known.
    pub(crate) issuer: Option<SocketAddr>,
    /// Name of the issuer.
    pub(crate) issuer_name: Option<Arc<str>>,
    /// When the issuer is asked again.
    #[serde(skip)]
    pub(crate) refused_until: Option<Instant>,
    /// Until when requests wait for an answer that is overdue.
    #[serde(skip)]
    pub(crate) awaited_until: Option<Instant>,
    /// Whether it is not asked because it cannot be reached, rather than because it has no permit.
    pub(crate) is_unreachable: bool,
}

/// The right to send one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Permit {
    /// From when on it must not be spent.
    #[serde(skip)]
    pub expires_at: Instant,
    /// The grant to which it can be returned; `None` if it was granted to a waiting request.
    pub source: Option<PermitSource>,
}

/// The grant that a prefetched permit belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct PermitSource {
    /// Peer address of the issuer.
    pub issuer: SocketAddr,
    /// Number of the grant.
    pub grant_id: u64,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiting {
    pub(crate) caller: CallerKey,
    pub(crate) until: Instant,
}

/// A question that waits for its answer.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub(crate) struct Question {
    pub(crate) organisation: Arc<str>,
    pub(crate) zone: Arc<str>,
    pub(crate) lowered_count: u64,
    pub(crate) wanted_count: u32,
    pub(crate) prefetch_count: u32,
    #[serde(skip)]
    pub(crate) asked_at: Instant,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Asked {
    pub(crate) question_id: u64,
    pub(crate) route_index: usize,
    pub(crate) issuer: SocketAddr,
    pub(crate) at: Instant,
}

/// An issuer's bucket.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub(crate) struct Bucket {
    pub(crate) level_count: f64,
    /// Up to when permits have accrued.
    #[serde(skip)]
    pub(crate) at: Instant,
    /// Grants of prefetched permits that may still be held, oldest first.
    #[serde(skip)]
    pub(crate) held: VecDeque<u64>,
}

/// Prefetched permits that were granted together.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub(crate) struct Grant {
    pub(crate) organisation: Arc<str>,
    pub(crate) granted_count: u32,
    #[serde(skip)]
    pub(crate) expires_at: Instant,
}

/// Why a request gets no permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The cap is used up; the time until there is a permit again.
    OverCap(Duration),
    /// An issuer that may have a permit cannot be reached.
    Unreachable,
}

/// What has to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Ask an issuer.
    Ask {
        /// Its peer address.
        issuer: SocketAddr,
        /// The question.
        question: PermitQuestion,
    },
    /// An issuer has not answered a question in time.
    Unanswered {
        /// Its peer address.
        issuer: SocketAddr,
    },
    /// Answer a holder.
    Answer {
        /// Its peer address.
        holder: SocketAddr,
        /// The answer.
        answer: PermitAnswer,
    },
    /// Return permits to their issuer.
    Return {
        /// Its peer address.
        issuer: SocketAddr,
        /// The permits.
        permits: PermitReturn,
    },
    /// A request that waited has a permit.
    Admitted {
        /// The request.
        caller: CallerKey,
        /// Its permit; `None` if the organisation has no cap any more.
        permit: Option<Permit>,
    },
    /// A request gets none.
    Refused {
        /// The request.
        caller: CallerKey,
        /// Why.
        refusal: Refusal,
    },
}

/// Returns the state of an instance that knows no cap.
///
/// The seed must be unpredictable and differ at every start of the process.
pub fn new_state(address: SocketAddr, seed: u64) -> Quota {
    Quota {
        address,
        view: View::default(),
        organisations: BTreeMap::new(),
        questions: pending::new_requests(seed, Table::PermitQuestions),
        grants: pending::new_requests(seed, Table::PermitGrants),
        waiting: HashMap::new(),
    }
}

/// Returns whether any organisation has a cap.
pub fn is_used(quota: &Quota) -> bool {
    !quota.organisations.is_empty()
}

/// Returns the organisations with a cap, by name.
pub fn organisations(quota: &Quota) -> impl Iterator<Item = (&str, &Organisation)> {
    let organisations = quota.organisations.iter();
    organisations.map(|(name, organisation)| (&**name, organisation))
}

pub(crate) fn new_organisation(name: &str, cap: UsageCap, parts_count: usize) -> Organisation {
    Organisation {
        cap,
        limits: limits(&cap, parts_count),
        counts: Counts::default(),
        hash: xxh3_64(name.as_bytes()),
        issuer_since: None,
        lowered_count: 0,
        routes: Vec::new(),
        routes_version: 0,
        pool: Vec::new(),
        waiting: VecDeque::new(),
        asked: None,
        demand_per_s: 0.0,
        arrived_count: 0,
        bucket: None,
        reported: Reported::default(),
    }
}
