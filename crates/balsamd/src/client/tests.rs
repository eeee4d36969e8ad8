//! One connection against peers that answer in every way.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{Method, RequestHead, ResponseHead};
use bytes::Bytes;
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use super::{ClientError, Connection, Response, config, exchange, idle_end, open};

/// Longest time that a test waits for anything.
const PATIENCE: Duration = Duration::from_secs(5);

/// How a peer ends a connection after it has written its bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Stays,
    Closes,
    Resets,
}

/// Starts a peer that reads one request head, writes bytes and ends as told.
async fn peer(written: &'static [u8], end: End) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        read_head(&mut stream).await;
        stream.write_all(written).await.expect("written");
        match end {
            End::Stays => actix_rt::time::sleep(PATIENCE).await,
            End::Closes => {}
            End::Resets => {
                // What was written has to arrive before the reset.
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

fn is_own(head: &ResponseHead) -> bool {
    let id = head.headers.get("request-id");
    id.is_none_or(|id| id == "r-1")
}

async fn ask(address: SocketAddr, body: Bytes) -> Result<(Response, Connection), ClientError> {
    let connection = open(address, config()).await.expect("a connection");
    let mut head = RequestHead::default();
    if !body.is_empty() {
        head.method = Method::POST;
    }
    let asking = exchange(connection, Rc::new(head), None, &body, is_own);
    actix_rt::time::timeout(PATIENCE, asking)
        .await
        .expect("an end")
}

const WHOLE: &[u8] = b"HTTP/1.1 200 OK\r\nrequest-id: r-1\r\ncontent-length: 2\r\n\r\nok";

#[rstest]
#[case::whole(WHOLE, End::Stays, true)]
#[case::chunked(
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n",
    End::Stays,
    true
)]
#[case::closing(
    b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok",
    End::Stays,
    false
)]
#[case::extra_bytes(
    b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n",
    End::Stays,
    false
)]
#[case::no_length(b"HTTP/1.1 200 OK\r\n\r\nok", End::Closes, false)]
#[case::stray_first(
    b"HTTP/1.1 200 OK\r\nrequest-id: r-0\r\ncontent-length: 3\r\n\r\nold\
    HTTP/1.1 200 OK\r\nrequest-id: r-1\r\ncontent-length: 2\r\n\r\nok",
    End::Stays,
    true
)]
#[case::informational_first(
    b"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
    End::Stays,
    true
)]
fn a_whole_response_is_read(
    #[case] written: &'static [u8],
    #[case] end: End,
    #[case] is_reusable: bool,
) {
    actix_rt::System::new().block_on(async {
        let address = peer(written, end).await;
        let (response, _) = ask(address, Bytes::new()).await.expect("a response");
        assert_eq!(response.body, Bytes::from_static(b"ok"));
        assert_eq!(response.is_reusable, is_reusable);
    });
}

/// How an exchange fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    Lost,
    Truncated,
    Malformed,
}

#[rstest]
#[case::closed(b"", End::Closes, Failure::Lost)]
#[case::reset(b"", End::Resets, Failure::Lost)]
#[case::head_cut(b"HTTP/1.1 200 OK\r\ncontent-le", End::Closes, Failure::Truncated)]
#[case::body_cut(
    b"HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\nok",
    End::Closes,
    Failure::Truncated
)]
#[case::chunks_cut(
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nok",
    End::Closes,
    Failure::Truncated
)]
#[case::no_length_reset(b"HTTP/1.1 200 OK\r\n\r\nok", End::Resets, Failure::Truncated)]
#[case::garbage(b"\x00\x01\x02 nonsense\r\n\r\n", End::Stays, Failure::Malformed)]
#[case::only_strays(
    b"HTTP/1.1 200 OK\r\nrequest-id: r-0\r\nconnection: close\r\ncontent-length: 0\r\n\r\n",
    End::Closes,
    Failure::Malformed
)]
fn anything_else_is_no_response(
    #[case] written: &'static [u8],
    #[case] end: End,
    #[case] expected: Failure,
) {
    actix_rt::System::new().block_on(async {
        let address = peer(written, end).await;
        let failure = match ask(address, Bytes::new()).await {
            Ok((response, _)) => panic!("a response: {:?}", response.head),
            Err(ClientError::Lost(_)) => Failure::Lost,
            Err(ClientError::Truncated(_)) => Failure::Truncated,
            Err(ClientError::Malformed(_)) => Failure::Malformed,
            Err(error) => panic!("{error}"),
        };
        assert_eq!(failure, expected);
    });
}

#[test]
fn nobody_listening_means_that_nothing_was_sent() {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        drop(listener);
        let opened = open(address, config()).await;
        assert!(matches!(opened, Err(ClientError::Connect(_))));
    });
}

#[test]
fn an_answer_before_the_body_is_sent_ends_the_connection() {
    actix_rt::System::new().block_on(async {
        let address = peer(WHOLE, End::Stays).await;
        // More than the peer's and the own buffers hold, so that the rest is never sent.
        let body = Bytes::from(vec![0; 12 * 1024 * 1024]);
        let (response, _) = ask(address, body).await.expect("a response");
        assert_eq!(response.body, Bytes::from_static(b"ok"));
        assert!(!response.is_reusable);
    });
}

#[rstest]
#[case::closed(b"")]
#[case::bytes(b"HTTP/1.1 200 OK\r\n")]
fn the_end_of_an_idle_connection_is_noticed(#[case] written: &'static [u8]) {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let mut connection = open(address, config()).await.expect("a connection");
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let still_idle =
            actix_rt::time::timeout(Duration::from_millis(50), idle_end(&mut connection));
        assert!(still_idle.await.is_err());
        stream.write_all(written).await.expect("written");
        if written.is_empty() {
            drop(stream);
        }
        let ended = actix_rt::time::timeout(PATIENCE, idle_end(&mut connection));
        assert!(ended.await.is_ok());
    });
}
