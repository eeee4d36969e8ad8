//! Measures the cost of forwarding calls between two instances as frames, several in one exchange.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt, stream};
use model::{Answer, Coverage, ForwardedRequest, Message, Outcome, Priority, ShardResult};
use tokio::{
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    runtime::Builder,
};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

const EXCHANGES_PER_BATCH_COUNT: u32 = 50;
/// Batches; the fastest one counts, because noise only adds time.
const BATCHES_COUNT: u32 = 40;
const REQUEST_BODY: &[u8] = br#"{"vehicle":"octavia-2019"}"#;
const REPLY_BODY: &[u8] = br#"{"hits":[{"id":"hook-1234","score":0.5}]}"#;

/// The quantities of [`by_calls`].
pub const QUANTITIES: &[&str] = &["us_per_exchange"];

type Reader = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;
type Writer = FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>;

/// Measures the time of one exchange at both ends together, by number of calls in it.
pub fn by_calls(calls_count: u32) -> Vec<f64> {
    let runtime = Builder::new_current_thread().enable_io().build();
    let runtime = runtime.expect("a runtime can be built");
    let min_duration = runtime.block_on(measure_min_batch_duration(calls_count));
    vec![min_duration.as_secs_f64() * 1e6 / f64::from(EXCHANGES_PER_BATCH_COUNT)]
}

async fn measure_min_batch_duration(calls_count: u32) -> Duration {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
    let listener = listener.expect("a port is free");
    let address = listener.local_addr().expect("a listener has an address");
    let (client, server) = tokio::join!(TcpStream::connect(address), listener.accept());
    let client = split(client.expect("the listener accepts"));
    let (server, _) = server.expect("the listener accepts");
    let server_task = tokio::spawn(serve(split(server), calls_count));
    let (mut reader, mut writer) = client;
    let mut min_duration = Duration::MAX;
    for _ in 0..BATCHES_COUNT {
        let start = Instant::now();
        for _ in 0..EXCHANGES_PER_BATCH_COUNT {
            let requests = (0..calls_count).map(|call| request(u64::from(call)));
            send(&mut writer, requests).await;
            receive(&mut reader, calls_count).await;
        }
        min_duration = min_duration.min(start.elapsed());
    }
    drop((reader, writer));
    server_task
        .await
        .expect("the server stops when the connection is closed");
    min_duration
}

/// Answers exchanges until the client closes the connection.
async fn serve((mut reader, mut writer): (Reader, Writer), calls_count: u32) {
    loop {
        let calls = receive(&mut reader, calls_count).await;
        if calls.is_empty() {
            return;
        }
        let answers = calls.into_iter().filter_map(|message| match message {
            Message::Forward(request) => Some(answer(request)),
            _ => None,
        });
        send(&mut writer, answers).await;
    }
}

fn split(stream: TcpStream) -> (Reader, Writer) {
    stream.set_nodelay(true).expect("the option is supported");
    let (reader, writer) = stream.into_split();
    let reader = FramedRead::new(reader, wire::framing());
    let writer = FramedWrite::new(writer, wire::framing());
    (reader, writer)
}

async fn send(writer: &mut Writer, messages: impl Iterator<Item = Message>) {
    let frames = messages.map(|message| Ok(wire::encode(&message)));
    let mut frames = stream::iter(frames);
    let sent = writer.send_all(&mut frames).await;
    sent.expect("the other end reads");
}

/// Returns the next `count` messages, or fewer if the connection is closed.
async fn receive(reader: &mut Reader, count: u32) -> Vec<Message> {
    let mut messages = Vec::new();
    while messages.len() < count as usize {
        let Some(Ok(frame)) = reader.next().await else {
            return messages;
        };
        messages.push(wire::decode(&frame).expect("the frame was encoded here"));
    }
    messages
}

fn request(forward_id: u64) -> Message {
    Message::Forward(ForwardedRequest {
        reply_to: SocketAddr::from((Ipv4Addr::LOCALHOST, 7000)),
        forward_id,
        request_id: "request-1".to_owned(),
        front: "parts".to_owned(),
        service: Some("parts-0001".to_owned()),
        priority: Priority::Normal,
        ticket: String::new(),
        timeout: Duration::from_millis(50),
        body: Bytes::from_static(REQUEST_BODY),
    })
}

fn answer(request: ForwardedRequest) -> Message {
    let result = ShardResult {
        service: "parts-0001".into(),
        body: Bytes::from_static(REPLY_BODY),
    };
    Message::ForwardAnswer {
        answered_by: None,
        forward_id: request.forward_id,
        answer: Box::new(Answer {
            request_id: request.request_id,
            outcome: Outcome::Ran,
            snapshot: Some(1),
            coverage: Coverage {
                answered_count: 1,
                total_count: 1,
                missing: Vec::new(),
            },
            results: vec![result],
        }),
    }
}
