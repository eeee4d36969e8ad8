//! Connections between instances: protobuf frames over TCP.

use std::{collections::HashMap, net::SocketAddr};

use actix::Addr;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use model::Message;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc::{self, Receiver, Sender, error::TrySendError},
};
use tokio_util::codec::{FramedRead, FramedWrite};

use crate::shell::{PeerMessage, PeerUnreachable, Shell};

/// Messages that wait for one connection before further ones are dropped.
const OUTBOX_MAX_COUNT: usize = 256;

/// Outgoing connections by the other instance's address.
pub type Outboxes = HashMap<SocketAddr, Sender<Bytes>>;

/// Accepts connections of other instances until the process ends.
pub fn spawn_listener(shell: Addr<Shell>, listener: TcpListener) {
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
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

fn spawn_sender(shell: &Addr<Shell>, address: SocketAddr) -> Sender<Bytes> {
    let (sender, receiver) = mpsc::channel(OUTBOX_MAX_COUNT);
    actix_rt::spawn(deliver(shell.clone(), address, receiver));
    sender
}

/// Writes messages to one connection until it fails or nobody sends any more.
async fn deliver(shell: Addr<Shell>, address: SocketAddr, mut receiver: Receiver<Bytes>) {
    let Ok(stream) = TcpStream::connect(address).await else {
        shell.do_send(PeerUnreachable(address));
        return;
    };
    let mut frames = FramedWrite::new(stream, wire::framing());
    while let Some(frame) = receiver.recv().await {
        if frames.send(frame).await.is_err() {
            shell.do_send(PeerUnreachable(address));
            return;
        }
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
