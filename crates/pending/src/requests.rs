//! The table of waiting requests.

use std::net::SocketAddr;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use slotmap::{Key, KeyData, SlotMap, new_key_type};

new_key_type! {
    /// A request to another instance that waits for its reply.
    struct RequestKey;
}

/// Requests of one kind that wait for a reply, with what waits for it.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Requests<T> {
    /// Random offset of the numbers. Unlike the keys, which start anew with each process, the
    /// numbers of two processes differ.
    #[serde(skip)]
    base: u64,
    waiting: SlotMap<RequestKey, Waiting<T>>,
}

#[derive(Clone, Debug)]
#[derive(Serialize)]
struct Waiting<T> {
    asked: SocketAddr,
    value: T,
}

/// Table of a process. Each draws its numbers from a random stream of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Table {
    /// Queries relayed to larger instances.
    Relays,
    /// Requests forwarded to the owners of their tickets.
    Forwards,
    /// Digests that request a reply.
    Probes,
    /// Questions for permits of capped organisations.
    PermitQuestions,
    /// Prefetched permits that their holders may return.
    PermitGrants,
}

/// Returns an empty table.
///
/// The seed must be unpredictable and differ at every start of the process.
pub fn new_requests<T>(seed: u64, table: Table) -> Requests<T> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    // Stream 0 is the process's own random number generator, which makes its secrets.
    rng.set_stream(1 + table as u64);
    Requests {
        base: rng.next_u64(),
        waiting: SlotMap::with_key(),
    }
}

/// Registers a request to the instance at a peer address; returns the number that its reply repeats.
pub fn register<T>(requests: &mut Requests<T>, asked: SocketAddr, value: T) -> u64 {
    let key = requests.waiting.insert(Waiting { asked, value });
    requests.base.wrapping_add(key.data().as_ffi())
}

/// Returns what waits for a reply, if its sender was asked and its request still waits.
///
/// `from` is the peer address of the sender; an instance of an earlier version does not state it.
pub fn accept<T>(requests: &Requests<T>, from: Option<SocketAddr>, number: u64) -> Option<&T> {
    let waiting = requests.waiting.get(key(requests, number))?;
    let is_asked = from.is_none_or(|from| from == waiting.asked);
    is_asked.then_some(&waiting.value)
}

/// Ends the wait for a reply.
pub fn remove<T>(requests: &mut Requests<T>, number: u64) -> Option<T> {
    let key = key(requests, number);
    let waiting = requests.waiting.remove(key)?;
    Some(waiting.value)
}

/// Ends the waits for which `is_kept` returns false.
pub fn retain<T>(requests: &mut Requests<T>, mut is_kept: impl FnMut(&T) -> bool) {
    requests
        .waiting
        .retain(|_, waiting| is_kept(&waiting.value));
}

/// Ends all waits.
pub fn clear<T>(requests: &mut Requests<T>) {
    requests.waiting.clear();
}

/// Returns what waits, in no particular order.
pub fn values<T>(requests: &Requests<T>) -> impl Iterator<Item = &T> {
    requests.waiting.values().map(|waiting| &waiting.value)
}

/// Returns what waits, to be changed, in no particular order.
pub fn values_mut<T>(requests: &mut Requests<T>) -> impl Iterator<Item = &mut T> {
    let waiting = requests.waiting.values_mut();
    waiting.map(|waiting| &mut waiting.value)
}

fn key<T>(requests: &Requests<T>, number: u64) -> RequestKey {
    KeyData::from_ffi(number.wrapping_sub(requests.base)).into()
}
