//! State of the configuration and the membership.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Instant,
};

use bytes::Bytes;
use findings::Findings;
use model::{InstanceId, MemberRow, MemberState, Revision};
use note::Note;
use pending::{Requests, Table};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use settings::Settings;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// State of the configuration and the membership as known to this instance.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct FleetState {
    /// Name and incarnation of this instance.
    pub id: InstanceId,
    /// Address on which this instance listens for peers.
    pub address: SocketAddr,
    /// Availability zone of this instance.
    pub zone: String,
    /// CPU capacity of this instance; 0 if it is not configured.
    pub capacity_millicores: u32,
    /// Counter that this instance raises to refute suspicion within one incarnation.
    pub counter: u64,
    /// The accepted note, that is, configuration; absent until the first one is accepted.
    pub note: Option<Note>,
    /// The accepted note as published.
    #[serde(skip)]
    pub note_body: Bytes,
    /// Version that the platform assigned to the configuration last read, or 0; distinct from
    /// the revision, which the note itself contains.
    pub platform_version: u64,
    /// Findings of the last published configuration if it was rejected; empty otherwise.
    pub rejected: Findings,
    /// Version of the store's configuration that this instance states to others; 0 if there is none.
    pub version_in_force: u64,
    /// Highest version of the store's configuration that another instance has stated; 0 if none has.
    pub heard_version_in_force: u64,
    /// Whether the process is shutting down.
    pub is_leaving: bool,
    /// Other instances by name.
    pub members: BTreeMap<String, Member>,
    /// Progress of joining the fleet.
    pub join: JoinState,
    /// When this instance started to join, or to join again after a long pause.
    #[serde(skip)]
    pub join_started_at: Option<Instant>,
    /// Highest revision in any received digest; reset to the accepted one if no digest has
    /// contained it within the join limit.
    pub heard_revision: Revision,
    /// When a digest last contained [`FleetState::heard_revision`].
    #[serde(skip)]
    pub heard_revision_at: Option<Instant>,
    /// Revision and time of the last unanswered request to a peer for a newer configuration.
    #[serde(skip)]
    pub note_request: Option<(Revision, Instant)>,
    /// Latest time at which the accepted configuration is confirmed to have been the newest one.
    #[serde(skip)]
    pub fresh_as_of: Option<Instant>,
    /// Source of the confirmation in [`FleetState::fresh_as_of`].
    #[serde(rename = "voucher")]
    pub freshness_source: FreshnessSource,
    /// Age of the latest confirmation at the last tick; absent if there is none.
    pub freshness_age_ms: Option<u64>,
    /// Whether the configuration was stale at the last tick: the latest confirmation was older than
    /// the freshness limit, or there was none.
    #[serde(rename = "is_lapsed")]
    pub is_stale: bool,
    /// State of the reads of the platform.
    #[serde(rename = "reading")]
    pub platform_reads: PlatformReadState,
    /// Probes that have not been answered.
    #[serde(skip)]
    pub probes: Requests<Probe>,
    /// Addresses of the instances to probe with the next tick.
    #[serde(skip)]
    pub(crate) requested_probes: BTreeSet<SocketAddr>,
    /// Ticks since the start.
    pub ticks_count: u64,
    /// Random number generator for jitter and the selection of peers.
    #[serde(skip)]
    pub rng: ChaCha8Rng,
}

/// Another instance.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Member {
    /// Row with the highest precedence seen so far.
    pub row: MemberRow,
    /// When this instance learned of the row's state, or resumed after a pause.
    #[serde(skip)]
    pub since: Instant,
    /// When a message of the member last arrived.
    #[serde(skip)]
    pub heard_at: Option<Instant>,
    /// Sending time of the latest probe that the member replied to.
    #[serde(skip)]
    pub confirmed_at: Option<Instant>,
    /// Number of digests that carried the row since it changed.
    pub relayed_count: u32,
    /// Whether the last valid instance list of the platform contains the member.
    pub is_listed: bool,
    /// Whether this incarnation has announced that it leaves.
    pub has_left: bool,
}

/// Digest that requested a reply and has not received it.
#[derive(Clone, Debug)]
pub struct Probe {
    /// Name of the probed instance; empty for a seed.
    pub name: String,
    /// When this probe was sent.
    pub sent_at: Instant,
    /// When the first probe was sent, if this one is a retry; otherwise [`Probe::sent_at`].
    pub first_sent_at: Instant,
    /// Whether this probe was already retried.
    pub is_retried: bool,
}

/// Progress of an instance in joining the fleet; it serves once it has left [`JoinState::Waiting`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum JoinState {
    /// Is querying the platform and its peers for the highest revision.
    Waiting,
    /// Has accepted the highest revision known to the platform and the peers that answered.
    CaughtUp,
    /// Timed out without an answer from the platform or a peer.
    #[serde(rename = "nobody-to-ask")]
    NoAnswer,
}

/// Source of the latest confirmation that the accepted configuration is current.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FreshnessSource {
    /// No confirmation yet, or none since the last pause of the process.
    #[serde(rename = "nobody")]
    None,
    /// This instance's own read of the platform.
    OwnRead,
    /// Reply of another instance.
    Peer,
}

/// State of the reads of the platform: the configuration and the instance list.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct PlatformReadState {
    /// Start time of the configuration read in flight.
    #[serde(skip)]
    pub note_in_flight: Option<Instant>,
    /// Start time of the instance list read in flight.
    #[serde(skip)]
    pub list_in_flight: Option<Instant>,
    /// Earliest start of the next configuration read; absent if it may start at once.
    #[serde(skip)]
    pub note_due: Option<Instant>,
    /// Earliest start of the next instance list read; absent until the first one has ended.
    #[serde(skip)]
    pub list_due: Option<Instant>,
    /// Consecutive failures of configuration reads.
    pub failures_count: u32,
    /// Consecutive failures of instance list reads.
    pub list_failures_count: u32,
    /// Configuration reads in flight that began before a pause, whose results confirm nothing.
    #[serde(rename = "distrusted_count")]
    pub discarded_count: u32,
    /// Whether a configuration read has ended, also by a failure, since this instance started to
    /// join.
    #[serde(rename = "is_answered")]
    pub has_note_read_ended: bool,
    /// Time until which this instance reads the configuration although it is not a reader.
    #[serde(skip)]
    pub fallback_until: Option<Instant>,
    /// Whether this instance is one of its zone's readers.
    pub is_reader: bool,
    /// Configuration reads since the start.
    pub note_reads_count: u64,
    /// Instance list reads since the start.
    pub list_reads_count: u64,
}

/// Returns the initial state of an instance.
///
/// `incarnation` must be larger than in every earlier run of the instance, and `seed` unpredictable.
pub fn new_state(settings: &Settings, incarnation: u64, seed: u64) -> FleetState {
    let name = settings.instance.name.clone();
    let jitter_seed = xxh3_64_with_seed(name.as_bytes(), incarnation);
    FleetState {
        id: InstanceId { name, incarnation },
        address: settings.listen.peers,
        zone: settings.instance.zone.clone(),
        capacity_millicores: settings.instance.capacity_millicores,
        counter: 0,
        note: None,
        note_body: Bytes::new(),
        platform_version: 0,
        rejected: Findings::default(),
        version_in_force: 0,
        heard_version_in_force: 0,
        is_leaving: false,
        members: BTreeMap::new(),
        // A gateway reads its configuration from the store only, so it does not wait for peers.
        join: match settings.gateway {
            Some(_) => JoinState::CaughtUp,
            None => JoinState::Waiting,
        },
        join_started_at: None,
        heard_revision: 0,
        heard_revision_at: None,
        note_request: None,
        fresh_as_of: None,
        freshness_source: FreshnessSource::None,
        freshness_age_ms: None,
        is_stale: false,
        platform_reads: PlatformReadState::default(),
        probes: pending::new_requests(seed, Table::Probes),
        requested_probes: BTreeSet::new(),
        ticks_count: 0,
        rng: ChaCha8Rng::seed_from_u64(jitter_seed),
    }
}

impl Member {
    /// Returns whether the member takes part in gossip, that is, is not gone.
    pub fn is_present(&self) -> bool {
        self.row.state != MemberState::Gone
    }
}

impl FleetState {
    /// Returns the accepted revision, or 0 if there is none.
    pub fn revision(&self) -> Revision {
        self.note.as_ref().map_or(0, |note| note.revision)
    }
}
