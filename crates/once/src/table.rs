//! The tickets of this run that were used, and the requesters that wait for an outcome.

use std::{collections::BTreeMap, net::SocketAddr, time::Instant};

use model::{Answer, CallKey, Requester, WaitKey};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use slotmap::SlotMap;

use crate::{LateCall, Owner, SealKey, Suspect, ticket::draw_seal_key};

/// Everything about requests that run at most once.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct OnceState {
    /// This run of this instance.
    pub owner: Owner,
    /// Key of the seal of this run's tickets.
    #[serde(skip)]
    pub seal_key: SealKey,
    /// Number that this run adds to the keys of forwarded requests, so that an answer to an earlier
    /// run at the same address meets no waiting request of this one.
    #[serde(skip)]
    pub forward_base: u64,
    /// When the first ticket was issued.
    #[serde(skip)]
    pub epoch: Option<Instant>,
    /// Serial number of the next ticket.
    pub next_serial: u64,
    /// Tickets with a smaller serial and without a row may have been used and forgotten.
    pub forgotten_below: u64,
    /// Used tickets by serial.
    pub rows: BTreeMap<u64, Row>,
    /// Bytes of results held in the rows.
    pub held_bytes: u64,
    /// Requesters that wait for the outcome of a ticket.
    pub waits: SlotMap<WaitKey, Wait>,
    /// Calls in flight whose request has been answered.
    pub late_calls: BTreeMap<CallKey, LateCall>,
    /// Requests during whose execution targets were lost, by fingerprint.
    pub suspects: BTreeMap<u64, Suspect>,
    /// Strikes told to every instance at once since the last tick.
    pub announced_count: u32,
}

/// A used ticket.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Row {
    /// Fingerprint of the one request that the ticket stands for.
    pub fingerprint: u64,
    /// When the ticket was issued.
    #[serde(skip)]
    pub issued_at: Instant,
    /// What has come of the request.
    pub state: RowState,
}

/// What has come of a ticket's request.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub enum RowState {
    /// The request waits or runs.
    Running {
        /// Requesters of resends.
        waits: Vec<WaitKey>,
    },
    /// The request has ended.
    Ended {
        /// The answer, with the identifier of the first request.
        answer: Box<Answer>,
    },
}

/// A requester that waits for the outcome of a ticket.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Wait {
    /// Who waits.
    pub requester: Requester,
    /// Identifier that the answer repeats.
    pub request_id: String,
    /// The owner that the request was forwarded to; `None` if this instance is the owner.
    pub forwarded_to: Option<SocketAddr>,
}

/// Returns the state of an instance that has just started.
///
/// The seed must be unpredictable and differ from run to run.
pub fn open(owner: Owner, seed: u64) -> OnceState {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    OnceState {
        owner,
        seal_key: draw_seal_key(&mut rng),
        forward_base: rng.next_u64(),
        epoch: None,
        next_serial: 0,
        forgotten_below: 0,
        rows: BTreeMap::new(),
        held_bytes: 0,
        waits: SlotMap::with_key(),
        late_calls: BTreeMap::new(),
        suspects: BTreeMap::new(),
        announced_count: 0,
    }
}
