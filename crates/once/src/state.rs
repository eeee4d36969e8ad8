//! State of at-most-once execution and quarantine.

use std::{collections::BTreeMap, net::SocketAddr, time::Instant};

use model::{Answer, CallKey, Requester, WaitKey};
use pending::{Requests, Table};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use slotmap::SlotMap;

use crate::{LateCall, MacKey, Owner, QuarantineEntry, ticket::generate_mac_key};

/// State of all requests that run at most once, and of the quarantine.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct OnceState {
    /// This process, as named in the tickets that it issues.
    pub owner: Owner,
    /// Key that authenticates this process's tickets; a new one at every start.
    #[serde(skip)]
    pub mac_key: MacKey,
    /// Requests forwarded to the owners of their tickets.
    pub forwards: Requests<WaitKey>,
    /// When the first ticket was issued; `None` before that.
    #[serde(skip)]
    pub epoch: Option<Instant>,
    /// Serial number of the next ticket.
    pub next_serial: u64,
    /// Tickets with a smaller serial and no entry may have been redeemed and evicted.
    pub forgotten_below: u64,
    /// Redeemed tickets by serial.
    #[serde(rename = "rows")]
    pub tickets: BTreeMap<u64, TicketEntry>,
    /// Result bytes stored in the entries of `tickets`.
    pub held_bytes: u64,
    /// Requesters that wait for the outcome of a ticket.
    #[serde(rename = "waits")]
    pub waiters: SlotMap<WaitKey, Waiter>,
    /// Calls in flight whose request has already been answered.
    pub late_calls: BTreeMap<CallKey, LateCall>,
    /// Requests that crashed targets or may have done so, by fingerprint.
    #[serde(rename = "suspects")]
    pub quarantine_entries: BTreeMap<u64, QuarantineEntry>,
    /// Recent executions: hash of request and service, and when it was executed. Empty until the
    /// first one.
    #[serde(skip)]
    pub executions: Vec<Option<(u64, Instant)>>,
    /// Strikes that this process has observed, for their numbers.
    pub observed_strikes_count: u64,
    /// Fingerprint of the unchanged entry that was last sent again in a digest.
    pub last_repeated_fingerprint: u64,
    /// Strikes broadcast to all instances since the last tick, for the limit per tick.
    #[serde(rename = "announced_count")]
    pub announced_strikes_count: u32,
}

/// A redeemed ticket.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct TicketEntry {
    /// Fingerprint of the request that redeemed the ticket; any other request is refused.
    pub fingerprint: u64,
    /// When the ticket was issued.
    #[serde(skip)]
    pub issued_at: Instant,
    /// Progress of the request.
    pub state: TicketState,
}

/// Progress of a ticket's request.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub enum TicketState {
    /// The request is queued or running.
    Running {
        /// Requesters that resent the request and wait for its outcome.
        #[serde(rename = "waits")]
        waiters: Vec<WaitKey>,
    },
    /// The request has ended.
    Ended {
        /// The stored answer, with the request identifier of the first request.
        answer: Box<Answer>,
    },
}

/// A requester that waits for the outcome of a ticket.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Waiter {
    /// Where the answer goes.
    pub requester: Requester,
    /// Request identifier that the answer repeats.
    pub request_id: String,
    /// The forwarded request; `None` if this instance is the owner of the ticket.
    pub forward: Option<Forward>,
}

/// A request forwarded to the owner of its ticket.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize)]
pub struct Forward {
    /// Peer address of the owner.
    pub owner: SocketAddr,
    /// Number in [`OnceState::forwards`].
    pub number: u64,
}

/// Removes a requester that waits for the outcome of a ticket.
pub fn remove_waiter(once: &mut OnceState, key: WaitKey) -> Option<Waiter> {
    let waiter = once.waiters.remove(key)?;
    if let Some(forward) = &waiter.forward {
        pending::remove(&mut once.forwards, forward.number);
    }
    Some(waiter)
}

/// Returns the initial state of an instance.
///
/// The seed must be unpredictable and differ at every start: the MAC key is derived from it.
pub fn new_state(owner: Owner, seed: u64) -> OnceState {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    OnceState {
        owner,
        mac_key: generate_mac_key(&mut rng),
        forwards: pending::new_requests(seed, Table::Forwards),
        epoch: None,
        next_serial: 0,
        forgotten_below: 0,
        tickets: BTreeMap::new(),
        held_bytes: 0,
        waiters: SlotMap::with_key(),
        late_calls: BTreeMap::new(),
        quarantine_entries: BTreeMap::new(),
        executions: Vec::new(),
        observed_strikes_count: 0,
        last_repeated_fingerprint: 0,
        announced_strikes_count: 0,
    }
}
