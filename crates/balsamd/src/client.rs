//! One HTTP/1.1 connection to a target or to the store, with all that a pooled client would hide:
//! what was left unread, how a body ended, and whether the request was written to its end.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{
    ConnectionType, Method, RequestHead, RequestHeadType, ResponseHead, ServiceConfig,
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

/// Longest time until a connection is open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Room for a response's head and a small body.
const BUFFER_BYTES: usize = 2 * 1024;
/// Largest response body.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Responses to earlier requests that are skipped before the connection is given up.
const STRAY_RESPONSES_MAX_COUNT: usize = 2;

/// An open connection.
pub struct Connection {
    stream: TcpStream,
    codec: ClientCodec,
}

/// A whole response.
pub struct Response {
    /// Its head.
    pub head: ResponseHead,
    /// Its body.
    pub body: Bytes,
    /// Whether the connection can carry another request.
    pub is_reusable: bool,
}

/// Why there is no whole response.
#[derive(Debug)]
#[derive(Display)]
pub enum ClientError {
    /// no connection: {0}
    Connect(io::Error),
    /// the request cannot be written as HTTP
    Unwritable,
    /// the connection was lost before the response: {0}
    Lost(io::Error),
    /// the response ended early: {0}
    Truncated(io::Error),
    /// the response is not HTTP: {0}
    Malformed(String),
}

/// Returns what all connections share.
pub fn config() -> ServiceConfig {
    ServiceConfig::default()
}

/// Opens a connection.
///
/// # Errors
///
/// Returns an error if the peer refuses, or does not accept in time.
pub async fn open(address: SocketAddr, config: ServiceConfig) -> Result<Connection, ClientError> {
    let connecting = TcpStream::connect(address);
    let stream = match actix_rt::time::timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(stream) => stream.map_err(ClientError::Connect)?,
        Err(_) => return Err(ClientError::Connect(io::ErrorKind::TimedOut.into())),
    };
    // Without it a small request may wait for the acknowledgement of the last one.
    stream.set_nodelay(true).map_err(ClientError::Connect)?;
    Ok(Connection {
        stream,
        codec: ClientCodec::new(config),
    })
}

/// Waits until an idle connection ends or carries bytes that nobody has asked for; either way it
/// cannot be used any more.
pub async fn idle_end(connection: &mut Connection) {
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

/// Sends a request and reads the response that `is_answer` accepts.
///
/// # Errors
///
/// Returns an error if there is no whole response; the connection cannot be used any more then.
pub async fn exchange(
    connection: Connection,
    head: Rc<RequestHead>,
    more_headers: Option<HeaderMap>,
    body: &Bytes,
    is_answer: impl Fn(&ResponseHead) -> bool,
) -> Result<(Response, Connection), ClientError> {
    let Connection {
        mut stream,
        mut codec,
        ..
    } = connection;
    let size = match (body.len(), &head.method) {
        (0, &Method::GET | &Method::HEAD | &Method::DELETE) => BodySize::None,
        (length, _) => BodySize::Sized(length as u64),
    };
    let mut written = BytesMut::with_capacity(BUFFER_BYTES);
    let message = Message::Item((RequestHeadType::Rc(head, more_headers), size));
    if codec.encode(message, &mut written).is_err() {
        return Err(ClientError::Unwritable);
    }
    written.extend_from_slice(body);
    let (mut reader, mut writer) = stream.split();
    let mut incoming = Incoming {
        reader: &mut reader,
        buffer: BytesMut::with_capacity(BUFFER_BYTES),
        bytes_count: 0,
    };
    let mut is_written = false;
    let received = {
        let receiving = receive(&mut incoming, codec, &is_answer);
        let sending = writer.write_all(&written);
        tokio::pin!(receiving, sending);
        // A peer may answer before it has read a long body.
        loop {
            tokio::select! {
                received = &mut receiving => break received,
                sent = &mut sending, if !is_written => match sent {
                    Ok(()) => is_written = true,
                    // What the peer said before it closed may still be read.
                    Err(_) => break receiving.await,
                },
            }
        }
    };
    let (mut response, codec) = received?;
    // The rest of a body that was not sent would be taken for the next request.
    response.is_reusable &= is_written && incoming.buffer.is_empty();
    Ok((response, Connection { stream, codec }))
}

/// What comes from the peer.
struct Incoming<'a> {
    reader: &'a mut ReadHalf<'a>,
    buffer: BytesMut,
    bytes_count: usize,
}

async fn receive(
    incoming: &mut Incoming<'_>,
    mut codec: ClientCodec,
    is_answer: &impl Fn(&ResponseHead) -> bool,
) -> Result<(Response, ClientCodec), ClientError> {
    for _ in 0..=STRAY_RESPONSES_MAX_COUNT {
        let (response, next_codec) = receive_one(incoming, codec).await?;
        codec = next_codec;
        if response.head.status.is_informational() {
            continue;
        }
        if is_answer(&response.head) {
            return Ok((response, codec));
        }
        if !response.is_reusable {
            break;
        }
    }
    let message = "only responses to other requests came".to_owned();
    Err(ClientError::Malformed(message))
}

async fn receive_one(
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
    let has_body = !head.status.is_informational() && !matches!(head.status.as_u16(), 204 | 304);
    let is_kept = head.connection_type() == ConnectionType::KeepAlive;
    let (body, is_reusable, codec) = match codec.message_type() {
        // Without a length the body ends with the connection.
        MessageType::None if has_body && !has_length => {
            (read_to_end(incoming).await?, false, codec)
        }
        MessageType::None => (Bytes::new(), is_kept, codec),
        MessageType::Payload | MessageType::Stream => {
            let (body, codec) = read_body(incoming, codec).await?;
            (body, is_kept, codec)
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
    let mut chunks: Vec<Bytes> = Vec::new();
    let mut bytes_count = 0;
    loop {
        match codec.decode(&mut incoming.buffer) {
            Ok(Some(Some(chunk))) => {
                bytes_count += chunk.len();
                if bytes_count > MAX_BODY_BYTES {
                    return Err(ClientError::Malformed("the body is too large".to_owned()));
                }
                chunks.push(chunk);
                continue;
            }
            Ok(Some(None)) => break,
            Ok(None) => {}
            Err(PayloadError::Io(error)) => return Err(ClientError::Truncated(error)),
            Err(error) => return Err(ClientError::Malformed(error.to_string())),
        }
        read_more(incoming).await.map_err(ClientError::Truncated)?;
    }
    let body = match &chunks[..] {
        [] => Bytes::new(),
        [only] => only.clone(),
        _ => Bytes::from(chunks.concat()),
    };
    Ok((body, codec.into_message_codec()))
}

/// Reads until the peer closes; a reset is no end.
async fn read_to_end(incoming: &mut Incoming<'_>) -> Result<Bytes, ClientError> {
    loop {
        let read = incoming.reader.read_buf(&mut incoming.buffer).await;
        match read.map_err(ClientError::Truncated)? {
            0 => return Ok(incoming.buffer.split().freeze()),
            _ if incoming.buffer.len() > MAX_BODY_BYTES => {
                return Err(ClientError::Malformed("the body is too large".to_owned()));
            }
            _ => {}
        }
    }
}

async fn read_more(incoming: &mut Incoming<'_>) -> io::Result<()> {
    match incoming.reader.read_buf(&mut incoming.buffer).await? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        bytes_count => {
            incoming.bytes_count += bytes_count;
            Ok(())
        }
    }
}

#[cfg(test)]
mod tests;
