//! The state of configuration and membership.

use std::{collections::BTreeMap, net::SocketAddr, time::Instant};

use bytes::Bytes;
use findings::Findings;
use model::{InstanceId, MemberRow, MemberState, Revision};
use note::Note;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use settings::Settings;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// What this instance knows about the configuration and about the other instances.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct FleetState {
    /// This run of this instance.
    pub id: InstanceId,
    /// Address of this instance's peers' port.
    pub address: SocketAddr,
    /// Availability zone of this instance.
    pub zone: String,
    /// Processor time that this instance may use, in thousandths of a core; 0 if it is not set.
    pub capacity_millicores: u32,
    /// Counter that this instance raises to refute a suspicion about itself.
    pub counter: u64,
    /// The accepted configuration.
    pub note: Option<Note>,
    /// The accepted configuration as published.
    #[serde(skip)]
    pub note_body: Bytes,
    /// The platform's version of the last value read.
    pub platform_version: u64,
    /// Faults of the last published value that was not accepted.
    pub rejected: Findings,
    /// Whether the process is shutting down.
    pub is_leaving: bool,
    /// The other instances by name.
    pub members: BTreeMap<String, Member>,
    /// Whether this instance may serve.
    pub join: Join,
    /// When this instance started to catch up with the fleet.
    #[serde(skip)]
    pub join_started_at: Option<Instant>,
    /// Highest revision that any message has named.
    pub heard_revision: Revision,
    /// When [`FleetState::heard_revision`] was last named.
    #[serde(skip)]
    pub heard_revision_at: Option<Instant>,
    /// When the published value was last asked for, and the revision asked for.
    #[serde(skip)]
    pub note_request: Option<(Revision, Instant)>,
    /// Time at which somebody with a current reading vouched that nothing newer was published.
    #[serde(skip)]
    pub vouched_at: Option<Instant>,
    /// Who vouched last.
    #[serde(rename = "voucher")]
    pub freshness_source: FreshnessSource,
    /// Age of the newest confirmation at the last tick, if there is one.
    pub freshness_age_ms: Option<u64>,
    /// Whether the freshness of the configuration had lapsed at the last tick.
    pub is_lapsed: bool,
    /// Reads of the platform.
    pub reading: PlatformReadState,
    /// Digests that wait for their reply, by sequence number.
    #[serde(skip)]
    pub probes: BTreeMap<u64, Probe>,
    /// Sequence number of the last digest that wanted a reply.
    pub sequence: u64,
    /// Ticks since the start.
    pub ticks_count: u64,
    /// Generator of jitter and of the choice of peers.
    #[serde(skip)]
    pub rng: ChaCha8Rng,
}

/// Another instance.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Member {
    /// The newest word about it.
    pub row: MemberRow,
    /// When the row's state began here.
    #[serde(skip)]
    pub since: Instant,
    /// When a message of it last arrived.
    #[serde(skip)]
    pub heard_at: Option<Instant>,
    /// Sending time of the newest question that it answered.
    #[serde(skip)]
    pub confirmed_at: Option<Instant>,
    /// How often the row was relayed since it changed.
    pub relayed_count: u32,
    /// Whether the platform's last list names it.
    pub is_listed: bool,
}

/// A digest that waits for its reply.
#[derive(Clone, Debug)]
pub struct Probe {
    /// Name of the instance that was asked.
    pub name: String,
    /// When it was asked.
    pub sent_at: Instant,
    /// When the first question of the series was sent.
    pub first_sent_at: Instant,
    /// Whether a further question of the series was sent after this one.
    pub is_retried: bool,
}

/// Whether this instance has caught up with the fleet since it started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Join {
    /// Still learns the highest revision.
    Waiting,
    /// Holds the highest revision that the platform and its peers could tell.
    CaughtUp,
    /// The limit passed and neither the platform nor a peer had answered.
    NobodyToAsk,
}

/// Where the newest confirmation of the configuration came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FreshnessSource {
    /// There is none.
    #[serde(rename = "nobody")]
    None,
    /// This instance's own read of the platform.
    OwnRead,
    /// Another instance.
    Peer,
}

/// Reads of the platform.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct PlatformReadState {
    /// When the read of the configuration in flight began.
    #[serde(skip)]
    pub note_in_flight: Option<Instant>,
    /// When the read of the list in flight began.
    #[serde(skip)]
    pub list_in_flight: Option<Instant>,
    /// Earliest time of the next read of the configuration.
    #[serde(skip)]
    pub note_due: Option<Instant>,
    /// Earliest time of the next read of the list.
    #[serde(skip)]
    pub list_due: Option<Instant>,
    /// Failures of reads of the configuration in a row.
    pub failures_count: u32,
    /// Failures of reads of the list in a row.
    pub list_failures_count: u32,
    /// Reads of the configuration that began before a pause and have not ended.
    #[serde(rename = "distrusted_count")]
    pub discarded_count: u32,
    /// Whether any read of the configuration has ended since this instance started to catch up.
    pub is_answered: bool,
    /// End of the term in which this instance reads although it is not one of the readers.
    #[serde(skip)]
    pub fallback_until: Option<Instant>,
    /// Whether this instance is one of its zone's readers.
    pub is_reader: bool,
    /// Reads of the configuration so far.
    pub note_reads_count: u64,
    /// Reads of the list so far.
    pub list_reads_count: u64,
}

/// Returns the state of an instance that has just started.
///
/// `incarnation` must be larger than that of every earlier run of the instance.
pub fn open(settings: &Settings, incarnation: u64) -> FleetState {
    let name = settings.instance.name.clone();
    let seed = xxh3_64_with_seed(name.as_bytes(), incarnation);
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
        is_leaving: false,
        members: BTreeMap::new(),
        // A gateway learns its configuration from the store alone.
        join: match settings.gateway {
            Some(_) => Join::CaughtUp,
            None => Join::Waiting,
        },
        join_started_at: None,
        heard_revision: 0,
        heard_revision_at: None,
        note_request: None,
        vouched_at: None,
        freshness_source: FreshnessSource::None,
        freshness_age_ms: None,
        is_lapsed: false,
        reading: PlatformReadState::default(),
        probes: BTreeMap::new(),
        sequence: 0,
        ticks_count: 0,
        rng: ChaCha8Rng::seed_from_u64(seed),
    }
}

impl Member {
    /// Tells whether the instance takes part in the exchange.
    pub fn is_present(&self) -> bool {
        self.row.state != MemberState::Gone
    }
}

impl FleetState {
    /// Returns the accepted revision, or 0.
    pub fn revision(&self) -> Revision {
        self.note.as_ref().map_or(0, |note| note.revision)
    }
}
