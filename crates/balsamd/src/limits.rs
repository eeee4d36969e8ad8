//! Limits for outside clients of the HTTP ports: the account of their memory, deadlines of heads,
//! the least rate of bodies, and a stream that enforces them around the HTTP library.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    future::poll_fn,
    io,
    pin::Pin,
    rc::{Rc, Weak},
    task::{Context, Poll, Waker},
    time::{Duration, Instant},
};

use actix_http::Payload;
use actix_rt::time::{Sleep, sleep};
use bytes::{Bytes, BytesMut};
use futures_util::Stream;
use intake::{Account, Bounds, ClientKey, Phase, Verdict};
use model::{Level, LogLine};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge},
};
use slotmap::SecondaryMap;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    sync::Notify,
};

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
/// Bytes read before the request's task gets a turn to take what was decoded from them.
const TURN_BYTES: usize = 4 * 1024;
/// Memory of the list of chunks that are decoded in a turn: 2,048 handles of 32 bytes.
const CHUNKS_BYTES: usize = 64 * 1024;
/// Part of a body that the HTTP library decodes ahead: 32 KiB and what it reads at a time.
const PAYLOAD_BUFFER_BYTES: usize = 40 * 1024;
/// Upper limit of a head: twice what the platform permits.
const HEAD_MAX_BYTES: usize = 32 * 1024;
/// Part of a head, or of requests sent ahead, that the base memory covers.
const HEAD_BASE_BYTES: usize = 8 * 1024;
/// Memory reserved for a longer head; its buffer doubles as it grows.
const HEAD_BYTES: usize = 2 * HEAD_MAX_BYTES;
/// Copies of a body that exist at the same time: as received, and as passed on.
const BODY_COPIES_COUNT: usize = 2;

/// Time limit for a head, from its first byte. Callers send theirs within 3 s.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Time that every body gets, as long as callers keep idle connections open.
const BODY_GRACE: Duration = Duration::from_secs(15);
/// Least rate of a body after that; a caller that sends single bytes reaches far more.
const BODY_MIN_BYTES_PER_S: f64 = 4096.0;
/// Time limit for a caller to read any part of its response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(15);
/// Time for which a refused body is still read, so that its refusal reaches the caller.
const REFUSED_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes of a refused body that are still read.
const REFUSED_MAX_BYTES: usize = 256 * 1024;
/// Longest wait of a connection for one that closes, which takes up to [`REFUSED_TIMEOUT`].
const ADMISSION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Connections that wait for others to close.
const WAITING_MAX_COUNT: usize = 32;
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
fn report(limits: &Limits, cause: Cause) {
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
    limits: Limits,
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
enum State {
    /// Nothing since the last response.
    Idle,
    Head,
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

/// Stream of a client's connection.
pub struct LimitedStream {
    stream: TcpStream,
    /// State that the connection's requests share.
    pub client: Rc<Client>,
    turn_bytes: usize,
    /// Whether the timer is that of a refused body.
    is_refused: bool,
    read_timer: Option<Pin<Box<Sleep>>>,
    write_timer: Option<Pin<Box<Sleep>>>,
}

/// Result of a new connection.
pub enum Admission {
    /// It is open.
    Admitted(LimitedStream),
    /// It waits until another client closes; see [`await_admission`].
    Waiting(TcpStream),
    /// It is closed.
    Refused,
}

/// Admits a connection at once if there is room, so that connections that have to wait delay no
/// others.
pub fn admit(limits: &Limits, stream: TcpStream) -> Admission {
    let waiting = &limits.0.waiting;
    let can_wait = waiting.get() < WAITING_MAX_COUNT;
    let verdict = intake::open(&mut limits.0.account.borrow_mut(), can_wait, Instant::now());
    match verdict {
        Verdict::Granted(key) => return Admission::Admitted(open(limits, key, stream)),
        Verdict::Shed(key) => shed(limits, key),
        Verdict::Refused => {}
    }
    if !can_wait {
        report(limits, Cause::Connections);
        return Admission::Refused;
    }
    waiting.set(waiting.get() + 1);
    Admission::Waiting(stream)
}

/// Waits until another client closes; returns `None` if none does in time.
pub async fn await_admission(limits: &Limits, stream: TcpStream) -> Option<LimitedStream> {
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
    key.map(|key| open(limits, key, stream))
}

fn open(limits: &Limits, key: ClientKey, stream: TcpStream) -> LimitedStream {
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
    LimitedStream {
        stream,
        client,
        turn_bytes: 0,
        is_refused: false,
        read_timer: None,
        write_timer: None,
    }
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

fn enter(client: &Client, state: State) {
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
fn release_all(client: &Client) {
    let bytes = client.reserved_bytes.replace(0);
    if bytes == 0 {
        return;
    }
    let shared = &client.limits.0;
    intake::release(&mut shared.account.borrow_mut(), client.key, bytes);
    shared.freed.notify_waiters();
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
fn reserve_now(client: &Client, bytes: usize) -> bool {
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
async fn reserve(client: &Client, bytes: usize) -> bool {
    if reserve_now(client, bytes) {
        return true;
    }
    let deadline = Instant::now() + intake::FREE_TIMEOUT;
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

/// Reads a body whose announced length, if any, is within the limit.
///
/// # Errors
///
/// Returns the cause for which the request is refused, or `None` if the connection has failed.
pub async fn read_body(
    client: &Client,
    mut payload: Payload,
    announced_bytes: Option<usize>,
    max_bytes: usize,
) -> Result<Bytes, Option<Cause>> {
    let refuse = |cause| {
        enter(client, State::Refused);
        release_all(client);
        report(&client.limits, cause);
        Some(cause)
    };
    release_all(client);
    enter(client, State::Body);
    if announced_bytes.is_some_and(|bytes| bytes > max_bytes) {
        return Err(refuse(Cause::BodySize));
    }
    // Only a body without a length arrives in chunks that are smaller than what is read.
    let buffered_bytes =
        announced_bytes.map_or(CHUNKS_BYTES, |bytes| bytes.min(PAYLOAD_BUFFER_BYTES));
    if !reserve(client, buffered_bytes).await {
        return Err(refuse(Cause::Memory));
    }
    let mut body = BytesMut::new();
    let start = Instant::now();
    let mut timer = None;
    loop {
        let chunk = match next_chunk(client, &mut payload, &mut timer, start, body.len()).await {
            Ok(Some(Ok(chunk))) => chunk,
            Ok(Some(Err(_))) => return Err(None),
            Ok(None) => return Ok(body.freeze()),
            Err(cause) => return Err(refuse(cause)),
        };
        let length = body.len() + chunk.len();
        if length > max_bytes {
            return Err(refuse(Cause::BodySize));
        }
        if length > body.capacity() {
            let whole_bytes = announced_bytes.unwrap_or(max_bytes);
            let capacity = (2 * body.capacity()).clamp(length, whole_bytes.max(length));
            let more_bytes = capacity - body.capacity();
            if !reserve(client, more_bytes * BODY_COPIES_COUNT).await {
                return Err(refuse(Cause::Memory));
            }
            let mut grown = BytesMut::with_capacity(capacity);
            grown.extend_from_slice(&body);
            body = grown;
        }
        body.extend_from_slice(&chunk);
    }
}

/// Waits for the next chunk, until the client is shed or falls below the least rate.
async fn next_chunk(
    client: &Client,
    payload: &mut Payload,
    timer: &mut Option<Pin<Box<Sleep>>>,
    start: Instant,
    received_bytes: usize,
) -> Result<Option<Result<Bytes, actix_http::error::PayloadError>>, Cause> {
    let allowance = Duration::from_secs_f64(received_bytes as f64 / BODY_MIN_BYTES_PER_S);
    let deadline = start + BODY_GRACE + allowance;
    poll_fn(|context| {
        if client.is_shed.get() {
            return Poll::Ready(Err(Cause::Memory));
        }
        if let Poll::Ready(chunk) = Pin::new(&mut *payload).poll_next(context) {
            return Poll::Ready(Ok(chunk));
        }
        *client.waker.borrow_mut() = Some(context.waker().clone());
        // A timer that was set for fewer received bytes ends early, and is set again.
        loop {
            let wait = deadline.saturating_duration_since(Instant::now());
            if wait.is_zero() {
                return Poll::Ready(Err(Cause::BodyRate));
            }
            let sleeping = timer.get_or_insert_with(|| Box::pin(sleep(wait)));
            match sleeping.as_mut().poll(context) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(()) => *timer = None,
            }
        }
    })
    .await
}

/// Polls a timer that starts at the first call; returns whether it has expired.
fn is_expired(
    timer: &mut Option<Pin<Box<Sleep>>>,
    limit: Duration,
    context: &mut Context<'_>,
) -> bool {
    let sleeping = timer.get_or_insert_with(|| Box::pin(sleep(limit)));
    sleeping.as_mut().poll(context).is_ready()
}

fn fail(client: &Client, cause: Cause) -> Poll<io::Result<()>> {
    report(&client.limits, cause);
    Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()))
}

/// Checks the limits of the state before more is read; the stream is not read while this is
/// pending.
fn check_read(stream: &mut LimitedStream, context: &mut Context<'_>) -> Poll<io::Result<()>> {
    let client = &stream.client;
    let received_bytes = client.received_bytes.get();
    match client.state.get() {
        State::Idle | State::Head if client.is_shed.get() => {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        State::Head if received_bytes > HEAD_MAX_BYTES => return fail(client, Cause::HeadSize),
        State::Head
            if received_bytes > HEAD_BASE_BYTES
                && client.reserved_bytes.get() == 0
                && !reserve_now(client, HEAD_BYTES) =>
        {
            return fail(client, Cause::Memory);
        }
        State::Ahead if received_bytes > HEAD_BASE_BYTES => {
            *client.waker.borrow_mut() = Some(context.waker().clone());
            return Poll::Pending;
        }
        State::Refused => {
            if !stream.is_refused {
                stream.is_refused = true;
                stream.read_timer = None;
            }
            let is_over = received_bytes > REFUSED_MAX_BYTES
                || is_expired(&mut stream.read_timer, REFUSED_TIMEOUT, context);
            if is_over {
                return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
            }
        }
        _ => {}
    }
    Poll::Ready(Ok(()))
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        match check_read(this, context) {
            Poll::Ready(Ok(())) => {}
            other => return other,
        }
        if this.turn_bytes >= TURN_BYTES {
            this.turn_bytes = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        let result = Pin::new(&mut this.stream).poll_read(context, buffer);
        let client = &this.client;
        if result.is_pending() {
            this.turn_bytes = 0;
            *client.waker.borrow_mut() = Some(context.waker().clone());
            let is_late = client.state.get() == State::Head
                && is_expired(&mut this.read_timer, HEAD_TIMEOUT, context);
            return match is_late {
                true => fail(client, Cause::HeadTime),
                false => Poll::Pending,
            };
        }
        let count = buffer.filled().len() - before;
        this.turn_bytes += count;
        if client.state.get() == State::Idle && count > 0 {
            this.read_timer = None;
            enter(client, State::Head);
        }
        client
            .received_bytes
            .set(client.received_bytes.get() + count);
        intake::receive(&mut client.limits.0.account.borrow_mut(), client.key, count);
        result
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let result = Pin::new(&mut this.stream).poll_write(context, bytes);
        if result.is_ready() {
            this.write_timer = None;
            return result;
        }
        if is_expired(&mut this.write_timer, WRITE_TIMEOUT, context) {
            report(&this.client.limits, Cause::UnreadResponse);
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        Poll::Pending
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }
}
