//! The tables of the gateway.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use catalog::{Catalog, Sync};
use model::{
    AttemptKey, ExchangeKey, FrontKey, HttpRequest, PassedReply, Requester, ServiceKey, TargetKey,
};
use once::Evidence;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use slotmap::{SecondaryMap, SlotMap};

use crate::{budget::RetryBudget, health::Health, latency::LatencyEstimate};

/// The state of the gateway.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Gateway {
    /// Limits from the settings.
    pub settings: settings::Gateway,
    /// What the store publishes.
    pub catalog: Catalog,
    /// Reads of the store.
    pub sync: Sync,
    /// Callers' requests that are not answered.
    pub exchanges: SlotMap<ExchangeKey, Exchange>,
    /// Requests to targets that have not ended.
    pub attempts: SlotMap<AttemptKey, Attempt>,
    /// Own evidence about targets.
    pub health: SecondaryMap<TargetKey, Health>,
    /// Requests and extra calls of each service.
    #[serde(rename = "spending")]
    pub retry_budgets: SecondaryMap<ServiceKey, RetryBudget>,
    /// Recent use of each front.
    #[serde(rename = "usage")]
    pub front_stats: SecondaryMap<FrontKey, FrontStats>,
    /// Parts that wait for a connection, oldest first.
    pub waiting: VecDeque<(ExchangeKey, usize)>,
    /// This instance's part of what all instances may use, once others were heard of or nobody
    /// answered.
    pub share_ratio: Option<f64>,
    /// Whether no instance of another zone is heard any more.
    pub is_cut_off: bool,
    /// Whether this instance is cut off from more targets than its callers can do without.
    pub is_isolated: bool,
    /// Larger instances of the zone, by their peers' ports.
    #[serde(rename = "larger")]
    pub relay_candidates: Vec<SocketAddr>,
    /// Larger instances that did not take a query in time, and until when they are avoided.
    #[serde(skip)]
    pub relay_backoffs: HashMap<SocketAddr, Instant>,
    /// When the process last woke up from a pause; silence before says nothing about targets.
    #[serde(skip)]
    pub resumed_at: Option<Instant>,
    /// Generator of jitter.
    #[serde(skip)]
    pub rng: ChaCha8Rng,
}

/// Recent use of a front.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct FrontStats {
    /// Longest time that callers were willing to wait, in the present and the last period.
    pub timeouts_max: [Duration; 2],
    /// When the present period began.
    #[serde(skip)]
    pub window_start: Option<Instant>,
    /// Lead of each service of a split over its weight's share.
    pub split_credits: Vec<f64>,
    /// Time until a reply, of all targets together.
    pub latency: LatencyEstimate,
}

/// A caller's request.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Exchange {
    /// Who waits.
    pub requester: Requester,
    /// The larger instance that runs it, if one does.
    pub relay: Option<Relay>,
    /// The request.
    #[serde(skip)]
    pub request: Arc<HttpRequest>,
    /// Hash of what the request asks for.
    pub fingerprint: u64,
    /// The front.
    pub front: FrontKey,
    /// Version of the configuration that chose the services.
    pub version: u64,
    /// Whether a request may be executed more than once.
    pub is_idempotent: bool,
    /// Targets of a service to which the request may be sent.
    pub attempts_max_count: u32,
    /// Records in a merged answer; nothing on a front that does not gather.
    pub records_count: Option<u32>,
    /// Parts that have to be in the answer.
    pub least_count: u32,
    /// When it arrived.
    #[serde(skip)]
    pub arrived_at: Instant,
    /// When an answer has to leave to be of full use.
    #[serde(skip)]
    pub goal_at: Option<Instant>,
    /// When the answer has to leave.
    #[serde(skip)]
    pub deadline: Instant,
    /// When its timer is due.
    #[serde(skip)]
    pub due_at: Option<Instant>,
    /// What each service has to contribute.
    pub parts: Vec<Part>,
    /// Parts in state [`PartState::Pending`].
    #[serde(rename = "open_count")]
    pub pending_count: u32,
    /// Parts in state [`PartState::Answered`].
    pub answered_count: u32,
    /// Calls beyond the first one of each part.
    pub extra_count: u32,
    /// What is known about the attempts that have ended.
    pub evidence: Evidence,
    /// A target's failure, passed on if nothing better comes.
    #[serde(skip)]
    pub failure: Option<PassedReply>,
}

/// A larger instance that runs an exchange.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize)]
pub struct Relay {
    /// Its peers' port.
    pub address: SocketAddr,
    /// Until when it has to say that it has started; nothing once it has.
    #[serde(skip)]
    pub accept_deadline: Option<Instant>,
}

/// What one service has to contribute.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Part {
    /// The service.
    pub service: ServiceKey,
    /// What has come of it.
    pub state: PartState,
    /// Targets that were tried.
    pub tried: Vec<TargetKey>,
    /// Targets that the request was, or may have been, sent to.
    pub sent_count: u32,
    /// Attempts that have not ended.
    #[serde(rename = "running")]
    pub in_flight: Vec<AttemptKey>,
    /// When its newest attempt is late, unless that has been dealt with.
    #[serde(skip)]
    pub hedge_at: Option<Instant>,
}

/// What has come of a part.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub enum PartState {
    /// No usable reply yet.
    #[serde(rename = "Open")]
    Pending,
    /// A whole reply.
    Answered {
        /// The target's proof.
        proof: Arc<str>,
        /// Its body.
        #[serde(skip)]
        body: Bytes,
    },
    /// Nothing will come.
    Missing,
}

/// A request to a target.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Attempt {
    /// The exchange.
    pub exchange: ExchangeKey,
    /// Position of the part.
    pub part_index: usize,
    /// The front, which tells how long a reply should take.
    pub front: FrontKey,
    /// The target.
    pub target: TargetKey,
    /// Whether it is beyond the first call of its part.
    pub is_extra: bool,
    /// When it was sent.
    #[serde(skip)]
    pub sent_at: Instant,
    /// When its reply is late.
    #[serde(skip)]
    pub late_at: Instant,
    /// Whether the target's silence since then has been taken for a failure.
    pub is_silence_noted: bool,
    /// When nobody needed its reply any more.
    #[serde(skip)]
    pub abandoned_since: Option<Instant>,
    /// Whether the request may be executed more than once.
    pub is_idempotent: bool,
    /// Hash of what the request asks for.
    pub fingerprint: u64,
}

/// Returns the state of a gateway that has just started.
pub fn open(settings: &settings::Gateway, seed: u64) -> Gateway {
    Gateway {
        settings: settings.clone(),
        catalog: Catalog::default(),
        sync: catalog::open(),
        exchanges: SlotMap::with_key(),
        attempts: SlotMap::with_key(),
        health: SecondaryMap::new(),
        retry_budgets: SecondaryMap::new(),
        front_stats: SecondaryMap::new(),
        waiting: VecDeque::new(),
        share_ratio: None,
        is_cut_off: false,
        is_isolated: false,
        relay_candidates: Vec::new(),
        relay_backoffs: HashMap::new(),
        resumed_at: None,
        rng: ChaCha8Rng::seed_from_u64(seed),
    }
}

/// Tells whether the configuration and the targets are known.
pub fn is_known(gateway: &Gateway) -> bool {
    gateway.catalog.version > 0 && gateway.sync.targets.is_known
}

/// Returns the hash of what a request asks for, whoever sends it and however often.
pub fn fingerprint(front: &str, request: &HttpRequest) -> u64 {
    once::fingerprint(front, Some(&request.path), &request.body)
}
