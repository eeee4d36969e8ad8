//! Account of the memory and connections that outside clients take.
//!
//! It does no I/O and reads no clock. The ports reserve memory before they read data into it, and
//! close what the account says is to be shed.
//!
//! Invariants:
//! - the total is the sum of what the open clients hold;
//! - the total never exceeds the bound, nor the number of clients theirs;
//! - a client that closes releases everything that it held.

use std::time::{Duration, Instant};

use slotmap::{SlotMap, new_key_type};

/// Memory up to which a client may use the whole account: the buffers of a connection and of a body
/// in chunks, with two copies of a body of 16 KiB. Clients that hold more leave a reserve.
pub const USUAL_BYTES: usize = 128 * 1024;
/// One in this many bytes of the account is the reserve.
const RESERVE_DIVISOR: usize = 4;
/// Age from which a client that waits or receives may be shed: ordinary requests arrive sooner.
const SHED_AGE: Duration = Duration::from_millis(500);

new_key_type! {
    /// Key of an open client.
    pub struct ClientKey;
}

/// Bounds of an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Memory that all clients may hold together.
    pub memory_max_bytes: usize,
    /// Connections that may be open at the same time.
    pub clients_max_count: usize,
    /// Memory that a connection takes from its start, for its buffers.
    pub base_bytes: usize,
}

/// What a client does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Its request arrives, or it has sent nothing yet.
    Receiving,
    /// Its request is complete and has no answer yet. Such a client is never shed.
    Serving,
    /// Its answer is being sent, or it keeps an idle connection open.
    Idle,
}

/// Result of asking for memory or for a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict<T> {
    /// It is reserved.
    Granted(T),
    /// Another client is to be closed first; then ask again.
    Shed(ClientKey),
    /// Nothing can be freed for it.
    Refused,
}

#[derive(Clone, Debug)]
struct Client {
    phase: Phase,
    since: Instant,
    received_bytes: usize,
    held_bytes: usize,
    is_shed: bool,
}

/// Account of the clients of a process.
#[derive(Clone, Debug)]
pub struct Account {
    bounds: Bounds,
    held_bytes: usize,
    clients: SlotMap<ClientKey, Client>,
}

/// Returns an account without clients.
pub fn new(bounds: Bounds) -> Account {
    Account {
        bounds,
        held_bytes: 0,
        clients: SlotMap::with_key(),
    }
}

/// Returns the memory that all clients hold.
pub fn held_bytes(account: &Account) -> usize {
    account.held_bytes
}

/// Returns the number of open clients.
pub fn clients_count(account: &Account) -> usize {
    account.clients.len()
}

/// Opens a client, which holds the base memory. Another is chosen to be closed for it only if it may
/// shed, so that asking again while that one closes sheds no more.
pub fn open(account: &mut Account, may_shed: bool, now: Instant) -> Verdict<ClientKey> {
    let bounds = &account.bounds;
    let is_full = account.clients.len() >= bounds.clients_max_count
        || account.held_bytes + bounds.base_bytes > bounds.memory_max_bytes;
    if is_full && !may_shed {
        return Verdict::Refused;
    }
    if is_full {
        return shed(account, None, now);
    }
    account.held_bytes += bounds.base_bytes;
    Verdict::Granted(account.clients.insert(Client {
        phase: Phase::Receiving,
        since: now,
        received_bytes: 0,
        held_bytes: bounds.base_bytes,
        is_shed: false,
    }))
}

/// Reserves memory for a client.
pub fn reserve(account: &mut Account, key: ClientKey, bytes: usize, now: Instant) -> Verdict<()> {
    let Some(client) = account.clients.get_mut(key) else {
        return Verdict::Refused;
    };
    let memory_max_bytes = account.bounds.memory_max_bytes;
    let limit_bytes = match client.held_bytes.saturating_add(bytes) <= USUAL_BYTES {
        true => memory_max_bytes,
        false => memory_max_bytes - memory_max_bytes / RESERVE_DIVISOR,
    };
    if account.held_bytes.saturating_add(bytes) > limit_bytes {
        return shed(account, Some(key), now);
    }
    client.held_bytes += bytes;
    account.held_bytes += bytes;
    Verdict::Granted(())
}

/// Releases memory of a client, at most what it holds beyond the base.
pub fn release(account: &mut Account, key: ClientKey, bytes: usize) {
    let Some(client) = account.clients.get_mut(key) else {
        return;
    };
    let bytes = bytes.min(client.held_bytes - account.bounds.base_bytes);
    client.held_bytes -= bytes;
    account.held_bytes -= bytes;
}

/// Counts bytes that a client has sent in its phase.
pub fn receive(account: &mut Account, key: ClientKey, bytes: usize) {
    if let Some(client) = account.clients.get_mut(key) {
        client.received_bytes = client.received_bytes.saturating_add(bytes);
    }
}

/// Starts a phase of a client.
pub fn enter(account: &mut Account, key: ClientKey, phase: Phase, now: Instant) {
    if let Some(client) = account.clients.get_mut(key) {
        client.phase = phase;
        client.since = now;
        client.received_bytes = 0;
    }
}

/// Closes a client and releases what it holds.
pub fn close(account: &mut Account, key: ClientKey) {
    if let Some(client) = account.clients.remove(key) {
        account.held_bytes -= client.held_bytes;
    }
}

/// Chooses the client to close: of those that have been receiving for long, the slowest one, else
/// the one that has been idle for longest. If there is none, the newest is the one that asks.
fn shed<T>(account: &mut Account, asking: Option<ClientKey>, now: Instant) -> Verdict<T> {
    let age = |client: &Client| now.saturating_duration_since(client.since);
    let candidates = account.clients.iter_mut().filter(|(key, client)| {
        let can_be_shed = !client.is_shed && client.phase != Phase::Serving;
        can_be_shed && asking != Some(*key) && age(client) >= SHED_AGE
    });
    let chosen = candidates.min_by_key(|(_, client)| {
        let age_ms = age(client).as_millis().max(1);
        match client.phase {
            Phase::Receiving => (0, client.received_bytes as u128 * 1000 / age_ms),
            _ => (1, u128::MAX - age_ms),
        }
    });
    let Some((key, client)) = chosen else {
        return Verdict::Refused;
    };
    client.is_shed = true;
    Verdict::Shed(key)
}

#[cfg(test)]
mod tests;
