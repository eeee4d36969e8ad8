//! A single connection against peers that respond, truncate, reset, send stray responses or
//! garbage.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{Method, RequestHead, ResponseHead};
use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::RwLock,
};

use super::{ClientError, Connection, Relation, Response, config, exchange, open, wait_idle_close};

/// Time limit of every wait in a test.
const TEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Held for reading by tests that receive megabytes within [`TEST_TIMEOUT`], and for writing by one
/// that opens thousands of connections, which would take the processor from them.
static PROCESSOR: RwLock<()> = RwLock::const_new(());

/// What a peer does with the connection after it has written its bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PeerEnd {
    StaysOpen,
    Closes,
    Resets,
}

/// Starts a peer that reads one request head, writes bytes and then does what `end` says.
async fn spawn_peer(written: &'static [u8], end: PeerEnd) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        read_head(&mut stream).await;
        stream.write_all(written).await.expect("written");
        match end {
            PeerEnd::StaysOpen => actix_rt::time::sleep(TEST_TIMEOUT).await,
            PeerEnd::Closes => {}
            PeerEnd::Resets => {
                // The written bytes have to arrive before the reset.
                actix_rt::time::sleep(Duration::from_millis(50)).await;
                stream.set_zero_linger().expect("an option");
            }
        }
    });
    address
}

async fn read_head(stream: &mut TcpStream) {
    let mut read = Vec::new();
    while !read.windows(4).any(|end| end == b"\r\n\r\n") {
        if stream.read_buf(&mut read).await.expect("a request") == 0 {
            return;
        }
    }
}

/// Returns the relation of a response to the request `r-1`.
fn relation(head: &ResponseHead) -> Relation {
    match head.headers.get("request-id") {
        Some(id) if id == "r-1" => Relation::Own,
        Some(_) => Relation::Stray,
        None => Relation::Unnamed,
    }
}

async fn send_request(
    address: SocketAddr,
    body: Bytes,
) -> Result<(Response, Connection), ClientError> {
    let connection = open(address, config()).await.expect("a connection");
    let mut head = RequestHead::default();
    if !body.is_empty() {
        head.method = Method::POST;
    }
    let pending = exchange(connection, Rc::new(head), None, &body, relation);
    actix_rt::time::timeout(TEST_TIMEOUT, pending)
        .await
        .expect("the exchange ends in time")
}

const COMPLETE_RESPONSE: &[u8] =
    b"HTTP/1.1 200 OK\r\nrequest-id: r-1\r\ncontent-length: 2\r\n\r\nok";

#[rstest]
#[case::whole(COMPLETE_RESPONSE, PeerEnd::StaysOpen, true)]
#[case::chunked(
    b"HTTP/1.1 200 OK\r\nrequest-id: r-1\r\ntransfer-encoding: chunked\r\n\r\n\
    1\r\no\r\n1\r\nk\r\n0\r\n\r\n",
    PeerEnd::StaysOpen,
    true
)]
#[case::unnamed(
    b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
    PeerEnd::StaysOpen,
    false
)]
#[case::closing(
    b"HTTP/1.1 200 OK\r\nrequest-id: r-1\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok",
    PeerEnd::StaysOpen,
    false
)]
#[case::extra_bytes(
    b"HTTP/1.1 200 OK\r\nrequest-id: r-1\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n",
    PeerEnd::StaysOpen,
    false
)]
#[case::no_length(
    b"HTTP/1.1 200 OK\r\nrequest-id: r-1\r\n\r\nok",
    PeerEnd::Closes,
    false
)]
#[case::stray_first(
    b"HTTP/1.1 200 OK\r\nrequest-id: r-0\r\ncontent-length: 3\r\n\r\nold\
    HTTP/1.1 200 OK\r\nrequest-id: r-1\r\ncontent-length: 2\r\n\r\nok",
    PeerEnd::StaysOpen,
    true
)]
#[case::informational_first(
    b"HTTP/1.1 103 Early Hints\r\n\r\n\
    HTTP/1.1 200 OK\r\nrequest-id: r-1\r\ncontent-length: 2\r\n\r\nok",
    PeerEnd::StaysOpen,
    true
)]
fn complete_response_is_read(
    #[case] written: &'static [u8],
    #[case] end: PeerEnd,
    #[case] is_reusable: bool,
) {
    actix_rt::System::new().block_on(async {
        let address = spawn_peer(written, end).await;
        let (response, _) = send_request(address, Bytes::new())
            .await
            .expect("a response");
        assert_eq!(response.body, Bytes::from_static(b"ok"));
        assert_eq!(response.is_reusable, is_reusable);
    });
}

/// Kind of [`ClientError`] that an exchange returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FailureKind {
    Lost,
    Truncated,
    Malformed,
}

#[rstest]
#[case::closed(b"", PeerEnd::Closes, FailureKind::Lost)]
#[case::reset(b"", PeerEnd::Resets, FailureKind::Lost)]
#[case::head_cut(
    b"HTTP/1.1 200 OK\r\ncontent-le",
    PeerEnd::Closes,
    FailureKind::Truncated
)]
#[case::body_cut(
    b"HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\nok",
    PeerEnd::Closes,
    FailureKind::Truncated
)]
#[case::chunks_cut(
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nok",
    PeerEnd::Closes,
    FailureKind::Truncated
)]
#[case::no_length_reset(b"HTTP/1.1 200 OK\r\n\r\nok", PeerEnd::Resets, FailureKind::Truncated)]
#[case::garbage(
    b"\x00\x01\x02 nonsense\r\n\r\n",
    PeerEnd::StaysOpen,
    FailureKind::Malformed
)]
#[case::only_strays(
    b"HTTP/1.1 200 OK\r\nrequest-id: r-0\r\nconnection: close\r\ncontent-length: 0\r\n\r\n",
    PeerEnd::Closes,
    FailureKind::Malformed
)]
fn incomplete_or_invalid_response_is_an_error(
    #[case] written: &'static [u8],
    #[case] end: PeerEnd,
    #[case] expected: FailureKind,
) {
    actix_rt::System::new().block_on(async {
        let address = spawn_peer(written, end).await;
        let failure = match send_request(address, Bytes::new()).await {
            Ok((response, _)) => panic!("a response: {:?}", response.head),
            Err(ClientError::Lost(_)) => FailureKind::Lost,
            Err(ClientError::Truncated(_)) => FailureKind::Truncated,
            Err(ClientError::Malformed(_)) => FailureKind::Malformed,
            Err(error) => panic!("{error}"),
        };
        assert_eq!(failure, expected);
    });
}

#[test]
fn closed_port_is_a_connect_error() {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        drop(listener);
        let opened = open(address, config()).await;
        assert!(matches!(opened, Err(ClientError::Connect(_))));
    });
}

#[test]
fn response_before_end_of_request_body_makes_connection_unusable() {
    actix_rt::System::new().block_on(async {
        let address = spawn_peer(COMPLETE_RESPONSE, PeerEnd::StaysOpen).await;
        // Exceeds the socket buffers of both sides, so that the rest is never sent.
        let body = Bytes::from(vec![0; 12 * 1024 * 1024]);
        let (response, _) = send_request(address, body).await.expect("a response");
        assert_eq!(response.body, Bytes::from_static(b"ok"));
        assert!(!response.is_reusable);
    });
}

#[rstest]
#[case::closed(b"")]
#[case::bytes(b"HTTP/1.1 200 OK\r\n")]
fn close_or_unsolicited_bytes_on_idle_connection_are_noticed(#[case] written: &'static [u8]) {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let mut connection = open(address, config()).await.expect("a connection");
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let still_idle =
            actix_rt::time::timeout(Duration::from_millis(50), wait_idle_close(&mut connection));
        assert!(still_idle.await.is_err());
        stream.write_all(written).await.expect("written");
        if written.is_empty() {
            drop(stream);
        }
        let ended = actix_rt::time::timeout(TEST_TIMEOUT, wait_idle_close(&mut connection));
        assert!(ended.await.is_ok());
    });
}

/// Starts a peer that reads one request head, writes a beginning and then repeats bytes until the
/// connection is closed.
async fn spawn_endless_peer(beginning: &'static [u8], repeated: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        read_head(&mut stream).await;
        if stream.write_all(beginning).await.is_err() {
            return;
        }
        while stream.write_all(&repeated).await.is_ok() {}
    });
    address
}

#[rstest]
#[case::head_lines(b"HTTP/1.1 200 OK\r\n", b"x-filler: aaaaaaaa\r\n")]
#[case::head_line(b"HTTP/1.1 200 OK\r\nx-filler: ", b"aaaaaaaa")]
#[case::informational_responses(b"", b"HTTP/1.1 103 Early Hints\r\n\r\n")]
#[case::stray_responses(
    b"",
    b"HTTP/1.1 200 OK\r\nrequest-id: r-0\r\ncontent-length: 2\r\n\r\nok"
)]
#[case::body_with_length(b"HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n", b"aaaaaaaa")]
#[case::body_in_chunks(
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
    b"8\r\naaaaaaaa\r\n"
)]
#[case::chunk_extension(
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n8;",
    b"aaaaaaaa"
)]
#[case::body_until_close(b"HTTP/1.1 200 OK\r\n\r\n", b"aaaaaaaa")]
#[actix_rt::test]
async fn a_response_without_end_fails_the_exchange(
    #[case] beginning: &'static [u8],
    #[case] repeated: &[u8],
) {
    let _processor = PROCESSOR.read().await;
    let address = spawn_endless_peer(beginning, repeated.repeat(512)).await;
    let result = send_request(address, Bytes::new()).await;
    assert!(
        matches!(
            result,
            Err(ClientError::Malformed(_) | ClientError::Truncated(_))
        ),
        "the exchange must fail"
    );
}

/// Starts a peer that answers the first request, and writes `late` once it has read the second one.
async fn spawn_repeating_peer(late: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        read_head(&mut stream).await;
        stream.write_all(COMPLETE_RESPONSE).await.expect("written");
        read_head(&mut stream).await;
        stream.write_all(late).await.expect("written");
        actix_rt::time::sleep(TEST_TIMEOUT).await;
    });
    address
}

#[rstest]
#[case::named(b"HTTP/1.1 200 OK\r\nrequest-id: r-1\r\ncontent-length: 2\r\n\r\nok")]
#[case::named_without_a_length(b"HTTP/1.1 200 OK\r\nrequest-id: r-1\r\n\r\nok")]
#[case::named_and_broken_off(b"HTTP/1.1 200 OK\r\nrequest-id: r-1\r\ncontent-length: 9\r\n\r\nok")]
#[case::unnamed(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")]
#[case::unnamed_in_chunks(
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
)]
fn second_copy_of_a_response_is_not_the_next_ones(#[case] late: &'static [u8]) {
    actix_rt::System::new().block_on(async {
        let address = spawn_repeating_peer(late).await;
        let (first, connection) = send_request(address, Bytes::new())
            .await
            .expect("a response");
        assert!(first.is_reusable);
        let next = |head: &ResponseHead| match head.headers.get("request-id") {
            Some(_) => Relation::Stray,
            None => Relation::Unnamed,
        };
        let head = Rc::new(RequestHead::default());
        let body = Bytes::new();
        let pending = exchange(connection, head, None, &body, next);
        let ended = actix_rt::time::timeout(Duration::from_millis(300), pending).await;
        assert!(
            !matches!(ended, Ok(Ok(_))),
            "the copy was taken for the response"
        );
    });
}

/// Responses from which the mutated ones of the next test are made.
const MUTATED_RESPONSES: [&[u8]; 4] = [
    COMPLETE_RESPONSE,
    b"HTTP/1.1 200 OK\r\nrequest-id: r-1\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    b"HTTP/1.1 503 Service Unavailable\r\nrequest-id: r-1\r\nretry-after: 2\r\ncontent-length: 0\r\n\r\n",
    b"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nrequest-id: r-1\r\n\r\nok",
];
/// Mutated responses of one run.
const MUTATIONS_COUNT: usize = 2_000;

#[test]
fn mutated_responses_end_every_exchange() {
    let mut rng = ChaCha8Rng::seed_from_u64(23);
    let mutated: Vec<Vec<u8>> = (0..MUTATIONS_COUNT)
        .map(|_| {
            let response = MUTATED_RESPONSES[rng.random_range(0..MUTATED_RESPONSES.len())];
            let mut bytes = response.to_vec();
            for _ in 0..rng.random_range(1..4) {
                let index = rng.random_range(0..bytes.len());
                match rng.random_range(0..4) {
                    0 => bytes.truncate(index + 1),
                    1 => bytes[index] = rng.random(),
                    2 => bytes.insert(index, rng.random()),
                    _ => bytes.extend_from_within(index..),
                }
            }
            bytes
        })
        .collect();
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        actix_rt::spawn(async move {
            for bytes in mutated {
                let (mut stream, _) = listener.accept().await.expect("a connection");
                read_head(&mut stream).await;
                // Fails if the exchange has given up the response already.
                let _ = stream.write_all(&bytes).await;
            }
        });
        let mut complete_count = 0;
        for _ in 0..MUTATIONS_COUNT {
            complete_count += usize::from(send_request(address, Bytes::new()).await.is_ok());
        }
        assert!(complete_count < MUTATIONS_COUNT);
    });
}

/// Peers that send a body without end at the same time.
const ENDLESS_PEERS_COUNT: usize = 100;

#[rstest]
#[case::until_the_end(b"HTTP/1.1 200 OK\r\nrequest-id: r-1\r\n\r\n")]
#[case::length(b"HTTP/1.1 200 OK\r\nrequest-id: r-1\r\ncontent-length: 99999999999\r\n\r\n")]
fn many_bodies_without_end_are_bounded_together(#[case] head: &'static [u8]) {
    actix_rt::System::new().block_on(async {
        let config = config();
        let peak_bytes = Rc::new(std::cell::Cell::new(0));
        let exchanges = (0..ENDLESS_PEERS_COUNT).map(|_| {
            let (config, peak_bytes) = (config.clone(), peak_bytes.clone());
            actix_rt::spawn(async move {
                let address = spawn_endless_peer(head, vec![b'x'; 64 * 1024]).await;
                let connection = open(address, config.clone()).await.expect("a connection");
                let (request, body) = (Rc::new(RequestHead::default()), Bytes::new());
                let pending = exchange(connection, request, None, &body, relation);
                let result = actix_rt::time::timeout(TEST_TIMEOUT, pending).await;
                peak_bytes.set(peak_bytes.get().max(config.held_bytes.get()));
                result.expect("the exchange ends in time").is_err()
            })
        });
        let exchanges: Vec<_> = exchanges.collect();
        // A usual exchange among them is not hurt.
        let address = spawn_peer(COMPLETE_RESPONSE, PeerEnd::StaysOpen).await;
        let connection = open(address, config.clone()).await.expect("a connection");
        let request = Rc::new(RequestHead::default());
        let usual = exchange(connection, request, None, &Bytes::new(), relation).await;
        assert!(usual.is_ok());
        for exchange in exchanges {
            assert!(
                exchange.await.expect("no panic"),
                "a body without end was accepted"
            );
        }
        let usual_bytes = ENDLESS_PEERS_COUNT * super::HELD_USUAL_BYTES;
        assert!(peak_bytes.get() <= super::HELD_TOTAL_MAX_BYTES + 2 * usual_bytes);
        assert_eq!(config.held_bytes.get(), 0);
    });
}

/// Peers that send chunks of one byte without end at the same time.
const CHUNKING_PEERS_COUNT: usize = 12;

/// Guards against memory that is many times the bytes received: a handle for each small chunk.
#[rstest]
#[case::of_one_byte(b"1\r\nk\r\n")]
#[case::with_less_framing_than_body(b"8\r\nkkkkkkkk\r\n")]
fn small_chunks_take_no_more_memory_than_is_bounded(#[case] chunk: &'static [u8]) {
    let head = b"HTTP/1.1 200 OK\r\nrequest-id: r-1\r\ntransfer-encoding: chunked\r\n\r\n";
    let allocations = allocation_counter::measure(|| {
        actix_rt::System::new().block_on(async {
            let config = config();
            let exchanges = (0..CHUNKING_PEERS_COUNT).map(|_| {
                let config = config.clone();
                actix_rt::spawn(async move {
                    let chunks = chunk.repeat(2_000);
                    let address = spawn_endless_peer(head, chunks).await;
                    let connection = open(address, config).await.expect("a connection");
                    let (request, body) = (Rc::new(RequestHead::default()), Bytes::new());
                    exchange(connection, request, None, &body, relation)
                        .await
                        .is_err()
                })
            });
            let exchanges: Vec<_> = exchanges.collect();
            for exchange in exchanges {
                assert!(exchange.await.expect("no panic"), "a body was accepted");
            }
            assert_eq!(config.held_bytes.get(), 0);
        });
    });
    // A buffer that grows holds its old and its new memory for a moment.
    let limit_bytes = 3 * super::HELD_TOTAL_MAX_BYTES as u64;
    let peak_bytes = allocations.bytes_max;
    assert!(peak_bytes <= limit_bytes, "{peak_bytes} bytes");
}

mod statuses;
