//! A single HTTP/1.1 connection to a target or to the store. It exposes what a pooled client hides:
//! unread bytes, how a body ended, and whether the request was written completely.

use std::{cell::Cell, io, net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{
    ConnectionType, Method, RequestHead, RequestHeadType, ResponseHead, ServiceConfig, StatusCode,
    body::BodySize,
    error::PayloadError,
    h1::{ClientCodec, Message, MessageType},
    header::{self, HeaderMap},
};
use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpStream, tcp::ReadHalf},
};
use tokio_util::codec::{Decoder, Encoder};

/// Time limit for opening a connection to the store.
const STORE_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit for opening a connection to a target, which takes a few milliseconds at one that lives.
/// A dropped opening packet is repeated after a second, when most callers' time is over.
const TARGET_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Initial capacity of the buffers: enough for a response's head and a small body.
const BUFFER_BYTES: usize = 2 * 1024;
/// Upper limit of a response body.
const BODY_MAX_BYTES: usize = 16 * 1024 * 1024;
/// Upper limit of the bytes received in an exchange: a body with the overhead of small chunks.
const RECEIVED_MAX_BYTES: usize = 2 * BODY_MAX_BYTES;
/// Upper limit of the memory that what all exchanges in progress have received takes, beyond which
/// only those up to [`HELD_USUAL_BYTES`] go on.
const HELD_TOTAL_MAX_BYTES: usize = 32 * 1024 * 1024;
/// Memory that a usual response takes.
const HELD_USUAL_BYTES: usize = 64 * 1024;
/// Framing of chunks beyond which it may not take more bytes than the body itself.
const FRAMING_MAX_BYTES: usize = 64 * 1024;
/// Responses skipped before the exchange fails: informational ones, and stray ones such as those to
/// earlier requests.
const STRAY_RESPONSES_MAX_COUNT: usize = 2;

/// Time limit for the final response after an informational one, far beyond what targets take for a
/// call. Without it, a response that never follows would take all of the caller's time.
const FINAL_RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Highest status that HTTP defines (RFC 9110, section 15).
const STATUS_MAX: u16 = 599;

/// An open connection.
pub struct Connection {
    stream: TcpStream,
    codec: ClientCodec,
    /// Memory that what the exchanges of all connections have received takes.
    held_bytes: Rc<Cell<usize>>,
    /// Whether it has carried an exchange, so that a late copy of its response may arrive.
    is_used: bool,
}

/// Whether a response belongs to the request of an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Relation {
    /// It does.
    Own,
    /// It belongs to another request.
    Stray,
    /// It does not say.
    Unnamed,
}

/// A complete response.
pub struct Response {
    /// Status line and headers.
    pub head: ResponseHead,
    /// Body, without transfer encoding.
    pub body: Bytes,
    /// Whether the connection can carry another request.
    pub is_reusable: bool,
}

/// Reason why there is no complete response.
#[derive(Debug)]
#[derive(Display)]
pub enum ClientError {
    /// cannot connect: {0}
    Connect(io::Error),
    /// request cannot be encoded as HTTP
    Unwritable,
    /// connection lost before the first byte of the response: {0}
    Lost(io::Error),
    /// response truncated: {0}
    Truncated(io::Error),
    /// invalid HTTP response: {0}
    Malformed(String),
}

/// What all connections share.
#[derive(Clone)]
pub struct ClientConfig {
    service: ServiceConfig,
    /// Time limit for opening a connection.
    connect_timeout: Duration,
    /// Memory that what the exchanges in progress have received takes.
    held_bytes: Rc<Cell<usize>>,
}

/// Returns the configuration that all connections to targets share.
pub fn config() -> ClientConfig {
    ClientConfig {
        service: ServiceConfig::default(),
        connect_timeout: TARGET_CONNECT_TIMEOUT,
        held_bytes: Rc::default(),
    }
}

/// Returns the configuration of a connection to the store, which may be slow to accept one.
pub fn for_store(config: ClientConfig) -> ClientConfig {
    ClientConfig {
        connect_timeout: STORE_CONNECT_TIMEOUT,
        ..config
    }
}

/// Opens a connection.
///
/// # Errors
///
/// Returns an error if the peer refuses the connection or does not accept it in time.
pub async fn open(address: SocketAddr, config: ClientConfig) -> Result<Connection, ClientError> {
    let connecting = TcpStream::connect(address);
    let stream = match actix_rt::time::timeout(config.connect_timeout, connecting).await {
        Ok(stream) => stream.map_err(ClientError::Connect)?,
        Err(_) => return Err(ClientError::Connect(io::ErrorKind::TimedOut.into())),
    };
    // Nagle's algorithm would delay a small request until the previous one is acknowledged.
    stream.set_nodelay(true).map_err(ClientError::Connect)?;
    Ok(Connection {
        stream,
        codec: ClientCodec::new(config.service),
        held_bytes: config.held_bytes,
        is_used: false,
    })
}

/// Waits until an idle connection is closed or receives unsolicited bytes; either way it cannot be
/// used any more.
pub async fn wait_idle_close(connection: &mut Connection) {
    loop {
        if connection.stream.readable().await.is_err() {
            return;
        }
        match connection.stream.try_read(&mut [0; 1]) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            _ => return,
        }
    }
}

/// Sends a request and reads its response, told apart by `relation`; informational and stray
/// responses before it are skipped.
///
/// An unnamed response is accepted on a new connection only, which is not used again: after an
/// earlier exchange it may be a second copy of that one's response.
///
/// # Errors
///
/// Returns an error if there is no complete response; the connection is then dropped.
pub async fn exchange(
    connection: Connection,
    head: Rc<RequestHead>,
    more_headers: Option<HeaderMap>,
    body: &Bytes,
    relation: impl Fn(&ResponseHead) -> Relation,
) -> Result<(Response, Connection), ClientError> {
    let Connection {
        mut stream,
        mut codec,
        held_bytes,
        is_used,
    } = connection;
    let size = match (body.len(), &head.method) {
        (0, &Method::GET | &Method::HEAD | &Method::DELETE) => BodySize::None,
        (length, _) => BodySize::Sized(length as u64),
    };
    let mut request_bytes = BytesMut::with_capacity(BUFFER_BYTES);
    let message = Message::Item((RequestHeadType::Rc(head, more_headers), size));
    if codec.encode(message, &mut request_bytes).is_err() {
        return Err(ClientError::Unwritable);
    }
    request_bytes.extend_from_slice(body);
    let (mut reader, mut writer) = stream.split();
    let mut incoming = Incoming {
        reader: &mut reader,
        buffer: BytesMut::with_capacity(BUFFER_BYTES),
        bytes_count: 0,
        body: Body::default(),
        held_bytes: 0,
        total_held_bytes: &held_bytes,
    };
    let mut is_written = false;
    let received = {
        let receiving = read_own_response(&mut incoming, codec, is_used, &relation);
        let sending = writer.write_all(&request_bytes);
        tokio::pin!(receiving, sending);
        // The peer may respond before it has read a long body.
        loop {
            tokio::select! {
                received = &mut receiving => break received,
                sent = &mut sending, if !is_written => match sent {
                    Ok(()) => is_written = true,
                    // A response that the peer sent before it closed may still be read.
                    Err(_) => break receiving.await,
                },
            }
        }
    };
    let (mut response, codec) = received?;
    // After a partly written body the peer would take the next request for its rest.
    response.is_reusable &= is_written && incoming.buffer.is_empty();
    drop(incoming);
    let connection = Connection {
        stream,
        codec,
        held_bytes,
        is_used: true,
    };
    Ok((response, connection))
}

/// Receiving side of an exchange.
struct Incoming<'a> {
    reader: &'a mut ReadHalf<'a>,
    buffer: BytesMut,
    /// Bytes read in the exchange so far.
    bytes_count: usize,
    /// The part of the current response's body that has been decoded.
    body: Body,
    /// Memory of `buffer` and `body` that is counted in `total_held_bytes`.
    held_bytes: usize,
    total_held_bytes: &'a Cell<usize>,
}

impl Drop for Incoming<'_> {
    fn drop(&mut self) {
        let total_bytes = self.total_held_bytes.get();
        self.total_held_bytes.set(total_bytes - self.held_bytes);
    }
}

/// The chunks of a body. A single one is not copied; several are copied together, because the
/// handle of a chunk takes more memory than a small chunk and keeps the buffer it was read into.
#[derive(Default)]
struct Body {
    only_chunk: Bytes,
    joined: BytesMut,
}

fn append(body: &mut Body, chunk: Bytes) {
    if body.only_chunk.is_empty() && body.joined.is_empty() {
        body.only_chunk = chunk;
        return;
    }
    let first = std::mem::take(&mut body.only_chunk);
    body.joined.extend_from_slice(&first);
    body.joined.extend_from_slice(&chunk);
}

fn body_length(body: &Body) -> usize {
    body.only_chunk.len() + body.joined.len()
}

fn body_capacity(body: &Body) -> usize {
    body.only_chunk.len() + body.joined.capacity()
}

fn take_body(body: &mut Body) -> Bytes {
    let Body { only_chunk, joined } = std::mem::take(body);
    match joined.is_empty() {
        true => only_chunk,
        false => joined.freeze(),
    }
}

/// Reads responses until one belongs to the request; fails after too many others.
async fn read_own_response(
    incoming: &mut Incoming<'_>,
    mut codec: ClientCodec,
    is_used: bool,
    relation: &impl Fn(&ResponseHead) -> Relation,
) -> Result<(Response, ClientCodec), ClientError> {
    let mut is_after_informational = false;
    for _ in 0..=STRAY_RESPONSES_MAX_COUNT {
        let reading = read_response(incoming, codec);
        let read = match is_after_informational {
            false => reading.await,
            true => actix_rt::time::timeout(FINAL_RESPONSE_TIMEOUT, reading)
                .await
                .unwrap_or_else(|_| Err(ClientError::Truncated(io::ErrorKind::TimedOut.into()))),
        };
        let (mut response, next_codec) = read?;
        codec = next_codec;
        if response.head.status.is_informational() {
            is_after_informational = true;
            continue;
        }
        match relation(&response.head) {
            Relation::Own => return Ok((response, codec)),
            Relation::Unnamed if !is_used => {
                response.is_reusable = false;
                return Ok((response, codec));
            }
            Relation::Unnamed => {
                let message = "response does not name its request".to_owned();
                return Err(ClientError::Malformed(message));
            }
            Relation::Stray if !response.is_reusable => break,
            Relation::Stray => {}
        }
    }
    let message = "only stray responses were received".to_owned();
    Err(ClientError::Malformed(message))
}

/// Reads one response. A close before the first byte of the exchange is `Lost`, a later one
/// `Truncated`.
async fn read_response(
    incoming: &mut Incoming<'_>,
    mut codec: ClientCodec,
) -> Result<(Response, ClientCodec), ClientError> {
    let head = loop {
        match codec.decode(&mut incoming.buffer) {
            Ok(Some(head)) => break head,
            Ok(None) => {}
            Err(error) => return Err(ClientError::Malformed(error.to_string())),
        }
        if let Err(error) = read_more(incoming).await {
            return Err(match incoming.bytes_count {
                0 => ClientError::Lost(error),
                _ => ClientError::Truncated(error),
            });
        }
    };
    let has_length = head.headers.contains_key(header::CONTENT_LENGTH)
        || head.headers.contains_key(header::TRANSFER_ENCODING);
    let status = head.status;
    // Such an answer has no defined meaning. This client asks for no other protocol, and an
    // informational response cannot have a body.
    let is_valid = status.as_u16() <= STATUS_MAX
        && status != StatusCode::SWITCHING_PROTOCOLS
        && !(status.is_informational() && has_length);
    if !is_valid {
        return Err(ClientError::Malformed(format!(
            "response of status {status}"
        )));
    }
    let has_body = !status.is_informational() && !matches!(status.as_u16(), 204 | 304);
    let is_keep_alive = head.connection_type() == ConnectionType::KeepAlive;
    let (body, is_reusable, codec) = match codec.message_type() {
        // A body without a length ends where the peer closes the connection.
        MessageType::None if has_body && !has_length => {
            (read_to_end(incoming).await?, false, codec)
        }
        MessageType::None => (Bytes::new(), is_keep_alive, codec),
        // A body that follows nevertheless must not be taken for the next response.
        MessageType::Payload | MessageType::Stream if !has_body => (Bytes::new(), false, codec),
        MessageType::Payload | MessageType::Stream => {
            let (body, codec) = read_body(incoming, codec).await?;
            (body, is_keep_alive, codec)
        }
    };
    let response = Response {
        head,
        body,
        is_reusable,
    };
    Ok((response, codec))
}

async fn read_body(
    incoming: &mut Incoming<'_>,
    codec: ClientCodec,
) -> Result<(Bytes, ClientCodec), ClientError> {
    let mut codec = codec.into_payload_codec();
    incoming.body = Body::default();
    let head_bytes = incoming.bytes_count - incoming.buffer.len();
    loop {
        match codec.decode(&mut incoming.buffer) {
            Ok(Some(Some(chunk))) => {
                if body_length(&incoming.body) + chunk.len() > BODY_MAX_BYTES {
                    return Err(ClientError::Malformed("response body too large".to_owned()));
                }
                append(&mut incoming.body, chunk);
                continue;
            }
            Ok(Some(None)) => break,
            Ok(None) => {}
            Err(PayloadError::Io(error)) => return Err(ClientError::Truncated(error)),
            Err(error) => return Err(ClientError::Malformed(error.to_string())),
        }
        let decoded_bytes = incoming.bytes_count - incoming.buffer.len() - head_bytes;
        let body_bytes = body_length(&incoming.body);
        if decoded_bytes - body_bytes > FRAMING_MAX_BYTES.max(body_bytes) {
            let message = "response has more framing than body".to_owned();
            return Err(ClientError::Malformed(message));
        }
        read_more(incoming).await.map_err(ClientError::Truncated)?;
    }
    let body = take_body(&mut incoming.body);
    Ok((body, codec.into_message_codec()))
}

/// Reads until the peer closes the connection; a reset is an error.
async fn read_to_end(incoming: &mut Incoming<'_>) -> Result<Bytes, ClientError> {
    loop {
        match read_some(incoming).await.map_err(ClientError::Truncated)? {
            0 => return Ok(incoming.buffer.split().freeze()),
            _ if incoming.buffer.len() > BODY_MAX_BYTES => {
                return Err(ClientError::Malformed("response body too large".to_owned()));
            }
            _ => {}
        }
    }
}

async fn read_more(incoming: &mut Incoming<'_>) -> io::Result<()> {
    match read_some(incoming).await? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        _ => Ok(()),
    }
}

/// Reads what has arrived and returns its length, 0 at the end of the connection.
///
/// Fails if the exchange has received too much. While all exchanges together hold too much memory,
/// those fail that hold more than a usual response takes, so that peers that send without end use
/// up the memory of no other.
async fn read_some(incoming: &mut Incoming<'_>) -> io::Result<usize> {
    let bytes_count = incoming.reader.read_buf(&mut incoming.buffer).await?;
    incoming.bytes_count += bytes_count;
    let held_bytes = incoming.buffer.capacity() + body_capacity(&incoming.body);
    let total_bytes = incoming.total_held_bytes.get() - incoming.held_bytes + held_bytes;
    incoming.held_bytes = held_bytes;
    incoming.total_held_bytes.set(total_bytes);
    let is_crowded = total_bytes > HELD_TOTAL_MAX_BYTES;
    let is_too_much =
        incoming.bytes_count > RECEIVED_MAX_BYTES || (is_crowded && held_bytes > HELD_USUAL_BYTES);
    match is_too_much {
        true => Err(io::ErrorKind::InvalidData.into()),
        false => Ok(bytes_count),
    }
}

#[cfg(test)]
mod tests;
