//! Connections between instances: protobuf frames over TCP.

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

use crate::shell::{PeerMessage, PeerUnreachable, Shell};

/// Messages that wait for one connection before further ones are dropped.
const OUTBOX_MAX_COUNT: usize = 256;

/// Longest time until a connection is open; a cut zone drops the opening packet.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time until a frame is handed to the operating system, which waits only if the other
/// instance has not read for long or its connection is dead.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Silence of an accepted connection after which the operating system probes it, the time between
/// two probes, and their number; so dead connections do not pile up.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(10);
const KEEPALIVE_STEP: Duration = Duration::from_secs(5);
const KEEPALIVE_PROBES_COUNT: u32 = 3;

/// Outgoing connections by the other instance's address.
pub type Outboxes = HashMap<SocketAddr, Sender<Bytes>>;

/// Accepts connections of other instances until the process ends.
pub fn spawn_listener(shell: Addr<Shell>, listener: TcpListener) {
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            keep_alive(&stream);
            actix_rt::spawn(receive(shell.clone(), stream));
        }
    });
}

/// Hands a message to the connection to another instance, opening one if there is none.
pub fn send(outboxes: &mut Outboxes, shell: &Addr<Shell>, address: SocketAddr, message: &Message) {
    let frame = wire::encode(message);
    let outbox = outboxes
        .entry(address)
        .or_insert_with(|| spawn_sender(shell, address));
    let Err(error) = outbox.try_send(frame) else {
        return;
    };
    let TrySendError::Closed(frame) = error else {
        shell.do_send(PeerUnreachable(address));
        return;
    };
    let fresh = spawn_sender(shell, address);
    if fresh.try_send(frame).is_ok() {
        outboxes.insert(address, fresh);
    }
}

/// Gives up the connection to another instance, if there is one; what was handed to it before is
/// still sent, as far as the connection carries it.
pub fn disconnect(outboxes: &mut Outboxes, address: SocketAddr) {
    outboxes.remove(&address);
}

fn spawn_sender(shell: &Addr<Shell>, address: SocketAddr) -> Sender<Bytes> {
    let (sender, receiver) = mpsc::channel(OUTBOX_MAX_COUNT);
    actix_rt::spawn(deliver(shell.clone(), address, receiver));
    sender
}

/// Writes messages to one connection until it fails or nobody sends any more.
async fn deliver(shell: Addr<Shell>, address: SocketAddr, mut receiver: Receiver<Bytes>) {
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    // Without nodelay a small message may wait for the acknowledgement of the last one.
    let stream = match connecting {
        Ok(Ok(stream)) if stream.set_nodelay(true).is_ok() => stream,
        _ => return unreachable(&shell, address, &receiver),
    };
    let mut frames = FramedWrite::new(stream, wire::framing());
    while let Some(frame) = receiver.recv().await {
        let written = timeout(WRITE_TIMEOUT, frames.send(frame)).await;
        if !matches!(written, Ok(Ok(()))) {
            return unreachable(&shell, address, &receiver);
        }
    }
}

/// Reports that an instance cannot be reached, unless a newer connection has taken over.
fn unreachable(shell: &Addr<Shell>, address: SocketAddr, receiver: &Receiver<Bytes>) {
    if !receiver.is_closed() {
        shell.do_send(PeerUnreachable(address));
    }
}

fn keep_alive(stream: &TcpStream) {
    let probing = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_STEP)
        .with_retries(KEEPALIVE_PROBES_COUNT);
    if let Err(error) = SockRef::from(stream).set_tcp_keepalive(&probing) {
        let line = LogLine::new(Level::Warn, "keepalive-refused");
        logs::write(&line.with("message", error.to_string().as_str()));
    }
}

async fn receive(shell: Addr<Shell>, stream: TcpStream) {
    let mut frames = FramedRead::new(stream, wire::framing());
    while let Some(Ok(frame)) = frames.next().await {
        // A frame that cannot be decoded ends the connection: what follows cannot be trusted.
        let Ok(message) = wire::decode(&frame) else {
            return;
        };
        shell.do_send(PeerMessage(message));
    }
}
