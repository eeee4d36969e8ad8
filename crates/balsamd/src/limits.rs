//! Limits for outside clients of all ports: the account of their memory and connections, and what
//! each of them is doing.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::{Rc, Weak},
    task::Waker,
    time::{Duration, Instant},
};

use intake::{Account, Bounds, ClientKey, Phase, Verdict};
use model::{Level, LogLine};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge},
};
use slotmap::SecondaryMap;
use tokio::sync::Notify;

use crate::metrics::InputMetrics;

/// Memory of the machine if the settings do not state it: the smallest that is in use.
const MEMORY_DEFAULT_MB: u32 = 160;
/// One part in this many of the machine's memory is for what callers send; the rest is for the
/// catalog, the targets' replies (32 MiB), peers and the program.
const CALLERS_MEMORY_DIVISOR: usize = 4;
/// Descriptors of the process if the settings do not state them: the fewest that are in use.
const DESCRIPTORS_DEFAULT_COUNT: u32 = 4_100;
/// Descriptors that are reserved for files.
const FILES_COUNT: u32 = 200;
/// One in this many of the other descriptors is for callers; targets, store and peers need the rest.
const CALLERS_DESCRIPTORS_DIVISOR: u32 = 2;
/// One in this many of the other descriptors is for connections that other instances open.
const PEERS_DESCRIPTORS_DIVISOR: u32 = 4;
/// Operators' connections and memory, beside one in this many of the callers': the platform's checks
/// and a few operators use one each.
const OPERATORS_DIVISOR: usize = 8;
/// Fewest connections for operators: readiness, liveness, metrics and one operator.
const OPERATORS_MIN_COUNT: usize = 4;
/// Least memory for operators: that of these connections, and two long heads.
const OPERATORS_MIN_BYTES: usize = OPERATORS_MIN_COUNT * BASE_BYTES + 2 * HEAD_BYTES;

/// Memory of a connection: read and write buffers of 8 KiB each, the connection's and request's
/// state.
const BASE_BYTES: usize = 24 * 1024;
/// Upper limit of a head: twice what the platform permits.
pub const HEAD_MAX_BYTES: usize = 32 * 1024;
/// Memory reserved for a longer head; its buffer doubles as it grows.
pub const HEAD_BYTES: usize = 2 * HEAD_MAX_BYTES;

/// Time for which a refused body is still read, so that its refusal reaches the caller.
pub const REFUSED_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait of a connection for one that closes, which takes up to [`REFUSED_TIMEOUT`].
const ADMISSION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Connections that wait for others to close.
const WAITING_MAX_COUNT: usize = 32;
/// Longest wait for memory that a client to be closed frees.
const FREE_TIMEOUT: Duration = Duration::from_millis(100);
/// Interval of the log lines of one cause.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Reason for which a client is refused or closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// Too many connections.
    Connections,
    /// The account of memory is full.
    Memory,
    /// Shed, so that others are served.
    Shed,
    /// Head too large.
    HeadSize,
    /// Head incomplete for too long.
    HeadTime,
    /// Body beyond the limit.
    BodySize,
    /// Body below the least rate.
    BodyRate,
    /// Response not read for too long.
    UnreadResponse,
    /// Too many connections of other instances.
    PeerConnections,
}

fn cause_name(cause: Cause) -> &'static str {
    match cause {
        Cause::Connections => "connections",
        Cause::Memory => "memory",
        Cause::Shed => "shed",
        Cause::HeadSize => "head-size",
        Cause::HeadTime => "head-time",
        Cause::BodySize => "body-size",
        Cause::BodyRate => "body-rate",
        Cause::UnreadResponse => "unread-response",
        Cause::PeerConnections => "peer-connections",
    }
}

/// Limits that the ports of a process share.
#[derive(Clone)]
pub struct Limits(Rc<Shared>);

struct Shared {
    bounds: Bounds,
    account: RefCell<Account>,
    clients: RefCell<SecondaryMap<ClientKey, Weak<Client>>>,
    /// Notified when a client closes or releases memory.
    freed: Notify,
    /// Connections that wait for others to close.
    waiting: Cell<usize>,
    peers: Cell<u32>,
    peers_max_count: u32,
    refused: Counter<u64>,
    held: Gauge<u64>,
    open: Gauge<u64>,
    /// Time of the last log line of each cause, and the number of refusals since.
    logged: RefCell<BTreeMap<Cause, (Instant, u64)>>,
}

/// Returns the limits of a machine.
pub fn new(instance: &settings::Instance, metrics: InputMetrics) -> Limits {
    let memory_mb = instance.memory_mb.unwrap_or(MEMORY_DEFAULT_MB) as usize;
    let descriptors_count = instance.descriptors_max_count;
    let descriptors_count = descriptors_count.unwrap_or(DESCRIPTORS_DEFAULT_COUNT);
    let usable_count = descriptors_count.saturating_sub(FILES_COUNT);
    let bounds = Bounds {
        memory_max_bytes: memory_mb * 1024 * 1024 / CALLERS_MEMORY_DIVISOR,
        clients_max_count: (usable_count / CALLERS_DESCRIPTORS_DIVISOR).max(1) as usize,
        base_bytes: BASE_BYTES,
    };
    Limits(Rc::new(Shared {
        bounds,
        account: RefCell::new(intake::new(bounds)),
        clients: RefCell::default(),
        freed: Notify::new(),
        waiting: Cell::new(0),
        peers: Cell::new(0),
        peers_max_count: (usable_count / PEERS_DESCRIPTORS_DIVISOR).max(1),
        refused: metrics.refused,
        held: metrics.held_bytes,
        open: metrics.connections,
        logged: RefCell::default(),
    }))
}

/// Returns limits for the operators' port with an account of its own: a readiness check that callers
/// shut out would take the instance out of service.
pub fn for_operators(limits: &Limits) -> Limits {
    let shared = &limits.0;
    let bounds = shared.bounds;
    let bounds = Bounds {
        memory_max_bytes: (bounds.memory_max_bytes / OPERATORS_DIVISOR).max(OPERATORS_MIN_BYTES),
        clients_max_count: (bounds.clients_max_count / OPERATORS_DIVISOR).max(OPERATORS_MIN_COUNT),
        ..bounds
    };
    Limits(Rc::new(Shared {
        bounds,
        account: RefCell::new(intake::new(bounds)),
        clients: RefCell::default(),
        freed: Notify::new(),
        waiting: Cell::new(0),
        peers: Cell::new(0),
        peers_max_count: 0,
        refused: shared.refused.clone(),
        held: shared.held.clone(),
        open: shared.open.clone(),
        logged: RefCell::default(),
    }))
}

/// Sets the gauges of the account.
pub fn set_gauges(limits: &Limits) {
    let account = limits.0.account.borrow();
    let held_bytes = intake::held_bytes(&account) as u64;
    limits.0.held.record(held_bytes, &[]);
    let clients_count = intake::clients_count(&account) as u64;
    limits.0.open.record(clients_count, &[]);
}

/// Counts a refusal, and logs it if its cause was not logged shortly before.
pub fn report(limits: &Limits, cause: Cause) {
    let shared = &limits.0;
    let name = cause_name(cause);
    shared.refused.add(1, &[KeyValue::new("cause", name)]);
    let now = Instant::now();
    let mut logged = shared.logged.borrow_mut();
    let entry = logged.entry(cause).or_insert((now, 0));
    entry.1 += 1;
    if entry.1 > 1 && now.saturating_duration_since(entry.0) < LOG_INTERVAL {
        return;
    }
    let line = LogLine::new(Level::Warn, "client-refused").with("cause", name);
    logs::write(&line.with("count", entry.1));
    *entry = (now, 1);
}

/// A connection of another instance that is counted until it is dropped.
pub struct PeerConnection(Limits);

impl Drop for PeerConnection {
    fn drop(&mut self) {
        let peers = &self.0.0.peers;
        peers.set(peers.get() - 1);
    }
}

/// Counts a connection of another instance; returns `None` if there are too many.
pub fn open_peer(limits: &Limits) -> Option<PeerConnection> {
    let shared = &limits.0;
    if shared.peers.get() >= shared.peers_max_count {
        report(limits, Cause::PeerConnections);
        return None;
    }
    shared.peers.set(shared.peers.get() + 1);
    Some(PeerConnection(limits.clone()))
}

/// State of a client's connection, shared by its stream and its requests.
pub struct Client {
    /// Limits that it is subject to.
    pub limits: Limits,
    key: ClientKey,
    state: Cell<State>,
    /// Bytes received in the state.
    received_bytes: Cell<usize>,
    /// Memory reserved beyond the base.
    reserved_bytes: Cell<usize>,
    is_shed: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

/// What is read from a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Nothing since the last response.
    Idle,
    /// A head.
    Head,
    /// A body.
    Body,
    /// Requests sent ahead of the response.
    Ahead,
    /// The rest of a refused body.
    Refused,
}

impl Drop for Client {
    fn drop(&mut self) {
        let shared = &self.limits.0;
        intake::close(&mut shared.account.borrow_mut(), self.key);
        shared.clients.borrow_mut().remove(self.key);
        shared.freed.notify_waiters();
    }
}

/// Result of a new connection.
pub enum Admission {
    /// It is open.
    Admitted(Rc<Client>),
    /// It waits until another client closes; see [`await_admission`].
    Waiting,
    /// It is closed.
    Refused,
}

/// Admits a connection at once if there is room, so that connections that have to wait delay no
/// others.
pub fn admit(limits: &Limits) -> Admission {
    let waiting = &limits.0.waiting;
    let can_wait = waiting.get() < WAITING_MAX_COUNT;
    let verdict = intake::open(&mut limits.0.account.borrow_mut(), can_wait, Instant::now());
    match verdict {
        Verdict::Granted(key) => return Admission::Admitted(open(limits, key)),
        Verdict::Shed(key) => shed(limits, key),
        Verdict::Refused => {}
    }
    if !can_wait {
        report(limits, Cause::Connections);
        return Admission::Refused;
    }
    waiting.set(waiting.get() + 1);
    Admission::Waiting
}

/// Waits until another client closes; returns `None` if none does in time.
pub async fn await_admission(limits: &Limits) -> Option<Rc<Client>> {
    let deadline = Instant::now() + ADMISSION_TIMEOUT;
    let key = loop {
        let freed = limits.0.freed.notified();
        let now = Instant::now();
        let verdict = intake::open(&mut limits.0.account.borrow_mut(), false, now);
        if let Verdict::Granted(key) = verdict {
            break Some(key);
        }
        let wait = deadline.saturating_duration_since(now);
        if actix_rt::time::timeout(wait, freed).await.is_err() {
            break None;
        }
    };
    let waiting = &limits.0.waiting;
    waiting.set(waiting.get() - 1);
    if key.is_none() {
        report(limits, Cause::Connections);
    }
    key.map(|key| open(limits, key))
}

fn open(limits: &Limits, key: ClientKey) -> Rc<Client> {
    let client = Rc::new(Client {
        limits: limits.clone(),
        key,
        state: Cell::new(State::Idle),
        received_bytes: Cell::new(0),
        reserved_bytes: Cell::new(0),
        is_shed: Cell::new(false),
        waker: RefCell::new(None),
    });
    let weak = Rc::downgrade(&client);
    limits.0.clients.borrow_mut().insert(key, weak);
    client
}

fn shed(limits: &Limits, key: ClientKey) {
    let client = limits.0.clients.borrow().get(key).and_then(Weak::upgrade);
    let Some(client) = client else {
        return;
    };
    client.is_shed.set(true);
    report(limits, Cause::Shed);
    wake(&client);
}

fn wake(client: &Client) {
    if let Some(waker) = client.waker.borrow_mut().take() {
        waker.wake();
    }
}

/// Starts a state of the client's connection.
pub fn enter(client: &Client, state: State) {
    client.state.set(state);
    client.received_bytes.set(0);
    let phase = match state {
        State::Head | State::Body => Phase::Receiving,
        State::Ahead => Phase::Serving,
        State::Idle | State::Refused => Phase::Idle,
    };
    let mut account = client.limits.0.account.borrow_mut();
    intake::enter(&mut account, client.key, phase, Instant::now());
}

/// Releases all but the base memory.
pub fn release_all(client: &Client) {
    let bytes = client.reserved_bytes.replace(0);
    if bytes == 0 {
        return;
    }
    let shared = &client.limits.0;
    intake::release(&mut shared.account.borrow_mut(), client.key, bytes);
    shared.freed.notify_waiters();
}

/// Returns what is read from the connection.
pub fn state(client: &Client) -> State {
    client.state.get()
}

/// Returns the bytes received in the state.
pub fn received_bytes(client: &Client) -> usize {
    client.received_bytes.get()
}

/// Returns the memory reserved beyond the base.
pub fn reserved_bytes(client: &Client) -> usize {
    client.reserved_bytes.get()
}

/// Returns whether the connection is to be closed so that others are served.
pub fn is_shed(client: &Client) -> bool {
    client.is_shed.get()
}

/// Has the task woken when the client is shed or its state changes.
pub fn set_waker(client: &Client, waker: &Waker) {
    *client.waker.borrow_mut() = Some(waker.clone());
}

/// Counts received bytes.
pub fn receive(client: &Client, count: usize) {
    client
        .received_bytes
        .set(client.received_bytes.get() + count);
    intake::receive(&mut client.limits.0.account.borrow_mut(), client.key, count);
}

/// Starts to serve a complete request.
pub fn begin(client: &Client) {
    enter(client, State::Ahead);
}

/// Ends a request: its body is dropped, and its response can be sent.
pub fn end(client: &Client) {
    release_all(client);
    if client.state.get() != State::Refused {
        enter(client, State::Idle);
    }
    wake(client);
}

/// Reserves memory at once; a client to be closed for it frees it for a later one.
pub fn reserve_now(client: &Client, bytes: usize) -> bool {
    let limits = &client.limits;
    let now = Instant::now();
    let verdict = intake::reserve(&mut limits.0.account.borrow_mut(), client.key, bytes, now);
    match verdict {
        Verdict::Granted(()) => {
            client
                .reserved_bytes
                .set(client.reserved_bytes.get() + bytes);
            true
        }
        Verdict::Shed(key) => {
            shed(limits, key);
            false
        }
        Verdict::Refused => false,
    }
}

/// Reserves memory, and waits shortly for clients that are closed for it.
pub async fn reserve(client: &Client, bytes: usize) -> bool {
    if reserve_now(client, bytes) {
        return true;
    }
    let deadline = Instant::now() + FREE_TIMEOUT;
    loop {
        let freed = client.limits.0.freed.notified();
        let wait = deadline.saturating_duration_since(Instant::now());
        if actix_rt::time::timeout(wait, freed).await.is_err() {
            return false;
        }
        if reserve_now(client, bytes) {
            return true;
        }
    }
}
