//! A stream that enforces the limits of a client's connection around the HTTP library, and the reader
//! of its bodies.

use std::{
    future::poll_fn,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use actix_http::Payload;
use actix_rt::time::{Sleep, sleep};
use bytes::{Bytes, BytesMut};
use futures_util::Stream;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use crate::limits::{
    self, Cause, Client, HEAD_BYTES, HEAD_MAX_BYTES, REFUSED_TIMEOUT, State, enter, release_all,
    reserve, reserve_now,
};

/// Bytes read before the request's task gets a turn to take what was decoded from them.
const TURN_BYTES: usize = 4 * 1024;
/// Memory of the list of chunks that are decoded in a turn: 2,048 handles of 32 bytes.
const CHUNKS_BYTES: usize = 64 * 1024;
/// Part of a body that the HTTP library decodes ahead: 32 KiB and what it reads at a time.
const PAYLOAD_BUFFER_BYTES: usize = 40 * 1024;
/// Part of a head, or of requests sent ahead, that the base memory covers.
const HEAD_BASE_BYTES: usize = 8 * 1024;
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
/// Bytes of a refused body that are still read.
const REFUSED_MAX_BYTES: usize = 256 * 1024;

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

/// Returns the stream of an admitted connection.
pub fn open(stream: TcpStream, client: Rc<Client>) -> LimitedStream {
    LimitedStream {
        stream,
        client,
        turn_bytes: 0,
        is_refused: false,
        read_timer: None,
        write_timer: None,
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
        limits::report(&client.limits, cause);
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
        if limits::is_shed(client) {
            return Poll::Ready(Err(Cause::Memory));
        }
        if let Poll::Ready(chunk) = Pin::new(&mut *payload).poll_next(context) {
            return Poll::Ready(Ok(chunk));
        }
        limits::set_waker(client, context.waker());
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
    limits::report(&client.limits, cause);
    Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()))
}

/// Checks the limits of the state before more is read; the stream is not read while this is
/// pending.
fn check_read(stream: &mut LimitedStream, context: &mut Context<'_>) -> Poll<io::Result<()>> {
    let client = &stream.client;
    let received_bytes = limits::received_bytes(client);
    match limits::state(client) {
        State::Idle | State::Head if limits::is_shed(client) => {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        State::Head if received_bytes > HEAD_MAX_BYTES => return fail(client, Cause::HeadSize),
        State::Head
            if received_bytes > HEAD_BASE_BYTES
                && limits::reserved_bytes(client) == 0
                && !reserve_now(client, HEAD_BYTES) =>
        {
            return fail(client, Cause::Memory);
        }
        State::Ahead if received_bytes > HEAD_BASE_BYTES => {
            limits::set_waker(client, context.waker());
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
            limits::set_waker(client, context.waker());
            let is_late = limits::state(client) == State::Head
                && is_expired(&mut this.read_timer, HEAD_TIMEOUT, context);
            return match is_late {
                true => fail(client, Cause::HeadTime),
                false => Poll::Pending,
            };
        }
        let count = buffer.filled().len() - before;
        this.turn_bytes += count;
        if limits::state(client) == State::Idle && count > 0 {
            this.read_timer = None;
            enter(client, State::Head);
        }
        limits::receive(client, count);
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
            limits::report(&this.client.limits, Cause::UnreadResponse);
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
