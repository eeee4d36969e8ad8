//! State of the gateway.

use std::{
    collections::{BTreeSet, HashMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use catalog::{Catalog, SyncState};
use model::{
    AttemptKey, CallerKey, ExchangeKey, FrontKey, HttpRequest, ProxiedReply, Requester, ServiceKey,
    TargetKey,
};
use once::Evidence;
use organisation::KeyHash;
use pending::{Requests, Table};
use quota::{Permit, Quota};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use slotmap::{SecondaryMap, SlotMap};

use crate::{
    budget::RetryBudget, health::Health, latency::LatencyEstimate, permit::Held,
    rate_limit::ShareHolders, unresolved::UnresolvedAttempt,
};

/// State of the gateway; serialised for the state dump.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Gateway {
    /// Settings of the gateway.
    pub settings: settings::Gateway,
    /// Configuration and targets as published in the store.
    pub catalog: Catalog,
    /// Progress of the reads and watches that keep the catalog up to date.
    pub sync: SyncState,
    /// Requests that have not been answered yet.
    pub exchanges: SlotMap<ExchangeKey, Exchange>,
    /// Queries relayed to larger instances, until their exchange ends.
    pub relays: Requests<ExchangeKey>,
    /// Requests to targets that are in flight, including abandoned ones.
    pub attempts: SlotMap<AttemptKey, Attempt>,
    /// Dropped attempts without a reply, oldest first, in case their target turns out to have ended.
    pub unresolved: VecDeque<UnresolvedAttempt>,
    /// Health of targets as observed by this instance.
    pub health: SecondaryMap<TargetKey, Health>,
    /// Retry budget of each service.
    #[serde(rename = "spending")]
    pub retry_budgets: SecondaryMap<ServiceKey, RetryBudget>,
    /// Recent traffic of each front.
    #[serde(rename = "usage")]
    pub front_stats: SecondaryMap<FrontKey, FrontStats>,
    /// Parts that wait for a free connection to a target, oldest first.
    #[serde(rename = "waiting")]
    pub queued_parts: VecDeque<(ExchangeKey, usize)>,
    /// This instance's share of the limits that all instances have in common; `None` until another
    /// instance has been heard from or the wait for one is over.
    pub share_ratio: Option<f64>,
    /// The instances that share the rate limits of targets.
    pub share_holders: ShareHolders,
    /// Ticks whose digests have been sent; selects the rate limits that the next ones repeat.
    #[serde(skip)]
    pub digests_count: usize,
    /// Whether this instance has lost contact with the instances of all other zones.
    pub is_cut_off: bool,
    /// Whether this instance is cut off and reaches too few targets to serve a front in use. Once
    /// set, it stays so until contact with another zone is regained.
    pub is_isolated: bool,
    /// Peer addresses of larger instances of the same zone, which can run queries for this one.
    #[serde(rename = "larger")]
    pub relay_candidates: Vec<SocketAddr>,
    /// Relay candidates in backoff after they failed to run a query, with the end of the backoff.
    #[serde(skip)]
    pub relay_backoffs: HashMap<SocketAddr, Instant>,
    /// Instances that have not answered a request in time since the last tick.
    #[serde(skip)]
    pub unanswered_peers: BTreeSet<SocketAddr>,
    /// When the process last resumed from a pause. If a request was sent before, its missing reply
    /// says nothing about the target: it may have arrived but not been read.
    #[serde(skip)]
    pub resumed_at: Option<Instant>,
    /// Moving average of the time by which timers of exchanges fire late: the events that wait
    /// before them on the thread, each of which delays an answer likewise.
    pub timer_lateness: Duration,
    /// Usage caps of organisations.
    pub quota: Quota,
    /// Requests that wait for a permit.
    #[serde(skip)]
    pub held: HashMap<CallerKey, Held>,
    /// Random number generator for jitter.
    #[serde(skip)]
    pub rng: ChaCha8Rng,
}

/// Recent traffic of a front.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct FrontStats {
    /// Longest timeout of a caller in the current and the previous window.
    pub timeouts_max: [Duration; 2],
    /// Start of the current window.
    #[serde(skip)]
    pub window_start: Option<Instant>,
    /// Credit of each service of a split, in requests: by how many the service is behind its
    /// weighted share.
    pub split_credits: Vec<f64>,
    /// Reply latency over all targets.
    pub latency: LatencyEstimate,
}

/// A caller's request from arrival to response.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Exchange {
    /// Receiver of the response.
    pub requester: Requester,
    /// The larger instance that runs the query on behalf of this one, if any.
    pub relay: Option<Relay>,
    /// Number of the relayed query in [`Gateway::relays`]. It stays when the query is taken back,
    /// because an answer of the relay that is on its way can still be passed on.
    pub relay_number: Option<u64>,
    /// The request.
    #[serde(skip)]
    pub request: Arc<HttpRequest>,
    /// The permit that it spends with its first attempt, if its organisation has a cap. The query
    /// of another instance has none here.
    pub permit: Option<Permit>,
    /// Hash of the request's content, see [`fingerprint`].
    pub fingerprint: u64,
    /// The front that matched host and path.
    pub front: FrontKey,
    /// Version of the configuration that the services were taken from.
    pub version: u64,
    /// Priority rank: that of the organisation, or else of the front; 0 is the highest.
    pub rank: u32,
    /// Organisation of the caller; `None` if it belongs to none.
    pub organisation: Option<Arc<str>>,
    /// Hash of the caller's key; `None` if it sent none, or if another instance relayed the query.
    #[serde(skip)]
    pub key_hash: Option<KeyHash>,
    /// Whether the configuration in force no longer admits the caller: nothing is sent unless a
    /// target may have received the request before.
    pub is_revoked: bool,
    /// Whether a request may be executed more than once.
    pub is_idempotent: bool,
    /// Whether the request is quarantined: nothing more is sent for it.
    pub is_quarantined: bool,
    /// Whether a part was not sent because of the rate limits of its targets.
    pub is_rate_limited: bool,
    /// Maximum number of targets that each part may be sent to.
    pub attempts_max_count: u32,
    /// Further attempts of each part that the instance that relayed the query has not granted yet.
    pub attempts_withheld_count: u32,
    /// Maximum number of records in a merged answer; `None` unless the front gathers.
    pub records_count: Option<u32>,
    /// Minimum number of answered parts for a successful answer.
    #[serde(rename = "least_count")]
    pub parts_min_count: u32,
    /// Arrival of the request.
    #[serde(skip)]
    pub arrived_at: Instant,
    /// Latency goal: the answer should be sent by then, if enough parts are there. `None` if the
    /// front has no goal or the goal has passed.
    #[serde(skip)]
    pub goal_at: Option<Instant>,
    /// Until when it waits for a connection if no part of it has been sent.
    #[serde(skip)]
    pub queue_until: Instant,
    /// When the exchange is answered at the latest, whatever has arrived.
    #[serde(skip)]
    pub deadline: Instant,
    /// When the timer of the exchange fires; `None` if no timer is set.
    #[serde(skip)]
    pub due_at: Option<Instant>,
    /// One part per service that has to contribute.
    pub parts: Vec<Part>,
    /// Parts in state [`PartState::Pending`].
    #[serde(rename = "open_count")]
    pub pending_count: u32,
    /// Parts in state [`PartState::Answered`].
    pub answered_count: u32,
    /// Number of extra calls of all parts together.
    pub extra_count: u32,
    /// Results of the attempts so far, from which the outcome of the request is derived.
    pub evidence: Evidence,
    /// Latest error response of a target, passed to the caller if no attempt succeeds.
    #[serde(skip)]
    pub failure: Option<ProxiedReply>,
}

/// A larger instance that runs a query on behalf of this one.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize)]
pub struct Relay {
    /// Address of its listener for peers.
    pub address: SocketAddr,
    /// When it must have confirmed the start of the query; `None` once it has.
    #[serde(skip)]
    pub accept_deadline: Option<Instant>,
    /// Attempts of each part that were handed over with the query.
    pub attempts_count: u32,
}

/// The contribution of one service to an exchange.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Part {
    /// The service.
    pub service: ServiceKey,
    /// Whether the service has replied.
    pub state: PartState,
    /// Targets of all attempts, including those that were not reached.
    pub tried: Vec<TargetKey>,
    /// Number of targets that may have received the request.
    pub sent_count: u32,
    /// Attempts that have not ended.
    #[serde(rename = "running")]
    pub in_flight: Vec<AttemptKey>,
    /// When a hedge is due; `None` before the first attempt and once no hedge is possible.
    #[serde(skip)]
    pub hedge_at: Option<Instant>,
}

/// State of a part.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub enum PartState {
    /// No successful reply yet, but one is still possible.
    #[serde(rename = "Open")]
    Pending,
    /// A complete, successful reply has arrived.
    Answered {
        /// Proof of the target that the reply is its own, passed to the caller.
        proof: Arc<str>,
        /// Body of the reply.
        #[serde(skip)]
        body: Bytes,
    },
    /// No reply will arrive: no further attempt is possible.
    Missing,
}

/// A request to a target.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Attempt {
    /// The exchange, which may have been answered already.
    pub exchange: ExchangeKey,
    /// Index of the part in [`Exchange::parts`].
    pub part_index: usize,
    /// The front, by which latencies are kept.
    pub front: FrontKey,
    /// The service of the part.
    pub service: ServiceKey,
    /// The target.
    pub target: TargetKey,
    /// Whether it is an extra call, which counts against the retry budget.
    pub is_extra: bool,
    /// When it was sent.
    #[serde(skip)]
    pub sent_at: Instant,
    /// From when on its reply counts as late.
    #[serde(skip)]
    pub late_at: Instant,
    /// Whether the silence timeout of this attempt has already been processed.
    pub is_silence_noted: bool,
    /// Since when its reply is no longer needed.
    #[serde(skip)]
    pub abandoned_since: Option<Instant>,
    /// Whether the service has executed the same request since.
    pub is_superseded: bool,
    /// Whether the end of its target is already recorded as a strike.
    pub is_strike: bool,
    /// Whether the request may be executed more than once.
    pub is_idempotent: bool,
    /// Hash of the request's content, see [`fingerprint`].
    pub fingerprint: u64,
}

/// Creates the state of a gateway; `seed` makes its jitter reproducible.
pub fn new_state(settings: &settings::Gateway, seed: u64) -> Gateway {
    Gateway {
        settings: settings.clone(),
        catalog: catalog::new_catalog(seed),
        sync: catalog::new_sync_state(watch_wait(settings)),
        exchanges: SlotMap::with_key(),
        relays: pending::new_requests(seed, Table::Relays),
        attempts: SlotMap::with_key(),
        unresolved: VecDeque::new(),
        health: SecondaryMap::new(),
        retry_budgets: SecondaryMap::new(),
        front_stats: SecondaryMap::new(),
        queued_parts: VecDeque::new(),
        share_ratio: None,
        share_holders: ShareHolders::default(),
        digests_count: 0,
        is_cut_off: false,
        is_isolated: false,
        relay_candidates: Vec::new(),
        relay_backoffs: HashMap::new(),
        unanswered_peers: BTreeSet::new(),
        resumed_at: None,
        timer_lateness: Duration::ZERO,
        quota: quota::new_state(settings.peers, seed),
        held: HashMap::new(),
        rng: ChaCha8Rng::seed_from_u64(seed),
    }
}

/// Replaces the settings while the process runs.
pub fn set_settings(gateway: &mut Gateway, settings: &settings::Gateway) {
    gateway.settings = settings.clone();
    gateway.sync.watch_wait = watch_wait(settings);
}

/// Returns the time after which watches of the store end. Configurations, evacuations and drains come
/// through the same watches, so the shortest of their limits counts.
fn watch_wait(settings: &settings::Gateway) -> Duration {
    let change_limit = settings
        .configuration_limit
        .min(settings.evacuation_limit)
        .min(settings.drain_limit);
    catalog::watch_wait(settings.contact_limit, change_limit)
}

/// Returns whether a configuration and the targets have been read from the store.
pub fn is_known(gateway: &Gateway) -> bool {
    gateway.catalog.version > 0 && gateway.sync.targets.is_known
}

/// Returns a hash of a request's host, path and body: equal for all callers, repetitions and
/// configurations.
pub fn fingerprint(request: &HttpRequest) -> u64 {
    once::fingerprint(&request.host, Some(&request.path), &request.body)
}
