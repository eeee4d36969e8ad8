//! Connections between instances: protobuf frames over TCP, each connection used in one direction.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use actix::Addr;
use actix_rt::time::timeout;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use model::{Level, LogLine, Message};
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc::{self, Receiver, Sender, error::TrySendError},
};
use tokio_util::codec::{FramedRead, FramedWrite};
use wire::DecodeError;

use crate::{
    http::ACCEPT_RETRY_DELAY,
    limits::{self, Limits},
    shell::{PeerMessage, PeerMessageRefused, PeerUnreachable, Shell},
    supervise,
};

/// Capacity of the send queue of a connection; messages are dropped while it is full.
const SEND_QUEUE_MAX_COUNT: usize = 256;

/// Time limit for opening a connection; a partitioned availability zone drops the SYN packet.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit for writing a frame to the socket; a write blocks only if the peer has not read for
/// long or the connection is dead.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// TCP keepalive of accepted connections: idle time before the first probe, interval and number of
/// probes. It closes dead connections, which would otherwise accumulate.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(10);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
const KEEPALIVE_PROBES_COUNT: u32 = 3;

/// Send queues of the outgoing connections, by the peer's address.
pub type SendQueues = HashMap<SocketAddr, Sender<Bytes>>;

/// Starts the accept loop for connections from other instances.
pub fn spawn_listener(shell: Addr<Shell>, listener: TcpListener, limits: Limits) {
    actix_rt::spawn(async move {
        let _guard = supervise::exit_on_panic();
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let Some(connection) = limits::open_peer(&limits) else {
                continue;
            };
            enable_keepalive(&stream);
            let reading = read_frames(shell.clone(), stream);
            actix_rt::spawn(async move {
                reading.await;
                drop(connection);
            });
        }
    });
}

/// Queues a message to another instance; opens a connection if there is none or the last one has
/// ended. If the queue is full the message is dropped and the instance reported as unreachable.
pub fn send(
    send_queues: &mut SendQueues,
    shell: &Addr<Shell>,
    address: SocketAddr,
    message: &Message,
) {
    let frame = wire::encode(message);
    let queue = send_queues
        .entry(address)
        .or_insert_with(|| spawn_sender(shell, address));
    let Err(error) = queue.try_send(frame) else {
        return;
    };
    let TrySendError::Closed(frame) = error else {
        shell.do_send(PeerUnreachable(address));
        return;
    };
    let new_queue = spawn_sender(shell, address);
    if new_queue.try_send(frame).is_ok() {
        send_queues.insert(address, new_queue);
    }
}

/// Detaches the connection to another instance, if there is one, so that the next message opens a
/// new one. Messages that are already queued are still sent, as long as the old connection works.
pub fn disconnect(send_queues: &mut SendQueues, address: SocketAddr) {
    send_queues.remove(&address);
}

fn spawn_sender(shell: &Addr<Shell>, address: SocketAddr) -> Sender<Bytes> {
    let (sender, receiver) = mpsc::channel(SEND_QUEUE_MAX_COUNT);
    actix_rt::spawn(write_frames(shell.clone(), address, receiver));
    sender
}

/// Opens a connection and writes queued frames until it fails or its queue is dropped.
async fn write_frames(shell: Addr<Shell>, address: SocketAddr, mut receiver: Receiver<Bytes>) {
    let _guard = supervise::on_panic({
        let shell = shell.clone();
        move || shell.do_send(PeerUnreachable(address))
    });
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    // Nagle's algorithm would delay a small message until the previous one is acknowledged.
    let stream = match connecting {
        Ok(Ok(stream)) if stream.set_nodelay(true).is_ok() => stream,
        _ => return report_unreachable(&shell, address, &receiver),
    };
    let mut frames = FramedWrite::new(stream, wire::framing());
    while let Some(frame) = receiver.recv().await {
        let written = timeout(WRITE_TIMEOUT, frames.send(frame)).await;
        if !matches!(written, Ok(Ok(()))) {
            return report_unreachable(&shell, address, &receiver);
        }
    }
}

/// Reports an instance as unreachable, unless the connection has been detached or replaced.
fn report_unreachable(shell: &Addr<Shell>, address: SocketAddr, receiver: &Receiver<Bytes>) {
    if !receiver.is_closed() {
        shell.do_send(PeerUnreachable(address));
    }
}

fn enable_keepalive(stream: &TcpStream) {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES_COUNT);
    if let Err(error) = SockRef::from(stream).set_tcp_keepalive(&keepalive) {
        let line = LogLine::new(Level::Warn, "keepalive-refused");
        logs::write(&line.with("message", error.to_string().as_str()));
    }
}

async fn read_frames(shell: Addr<Shell>, stream: TcpStream) {
    let mut frames = FramedRead::new(stream, wire::framing());
    while let Some(Ok(frame)) = frames.next().await {
        match wire::decode(&frame) {
            Ok(message) => shell.do_send(PeerMessage(message)),
            Err(error) => {
                shell.do_send(PeerMessageRefused(error.to_string()));
                // After bytes that are no frame, later ones cannot be trusted either. A value that
                // is missing or out of range spoils its own message only.
                if matches!(error, DecodeError::Protobuf(_)) {
                    return;
                }
            }
        }
    }
}
