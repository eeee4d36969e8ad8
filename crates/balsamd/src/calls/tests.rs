//! Classification of lost connections, against a target that closes at each stage of a call.

use std::{net::SocketAddr, time::Duration};

use model::{CallFailure, CallKey, ReplyStatus, TargetCall, TargetKey};
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use super::{Pool, open_pool, send};

const COMPLETE_REPLY: &[u8] = b"HTTP/1.1 200 OK\r\nbalsam-call-id: north-1:1:8589934591\r\n\
    balsam-status: done\r\nbalsam-snapshot: 4\r\ncontent-length: 2\r\n\r\n{}";
const NO_LENGTH: &[u8] = b"HTTP/1.1 200 OK\r\nbalsam-call-id: north-1:1:8589934591\r\n\
    balsam-status: done\r\n\r\n{}";
const NO_STATUS: &[u8] = b"HTTP/1.1 200 OK\r\nbalsam-call-id: north-1:1:8589934591\r\n\
    content-length: 2\r\n\r\n{}";
/// A second copy of the reply to an earlier call, and one that names no call.
const OTHER_CALL: &[u8] = b"HTTP/1.1 200 OK\r\nbalsam-call-id: north-1:1:7\r\n\
    balsam-status: done\r\nbalsam-snapshot: 4\r\ncontent-length: 2\r\n\r\n{}";
const NO_CALL: &[u8] =
    b"HTTP/1.1 200 OK\r\nbalsam-status: done\r\nbalsam-snapshot: 4\r\ncontent-length: 2\r\n\r\n{}";

/// Stage of the call at which the target closes the connection, or the fault of its reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The port is closed.
    NotListening,
    /// Closes the connection as soon as it is open.
    Accepted,
    /// Resets the connection as soon as it is open.
    AcceptedAndReset,
    /// Closes after it has read the call.
    CallRead,
    /// Closes after that many bytes of the reply.
    Replied(usize),
    /// Sends a complete reply without `balsam-status`.
    WithoutStatus,
    /// Sends a complete reply to another call.
    OtherCall,
    /// Sends a complete reply that names no call.
    WithoutCall,
    /// Sends a reply without a length, whose end cannot be told from a lost connection.
    WithoutLength,
    /// Replies to the first call, and closes the reused connection after it has read the second.
    SecondCallRead,
}

fn call(address: SocketAddr) -> TargetCall {
    TargetCall {
        call: CallKey::default(),
        target: TargetKey::default(),
        address,
        request_id: "r-1".into(),
        snapshot: None,
        timeout: Duration::from_secs(1),
        is_idempotent: false,
        body: "{\"order\": 1}".into(),
    }
}

async fn read_call(stream: &mut TcpStream) {
    let mut read = Vec::new();
    while !read.ends_with(b"{\"order\": 1}") {
        let count = stream.read_buf(&mut read).await.expect("the call arrives");
        assert_ne!(count, 0, "the call is cut");
    }
}

async fn run_target(listener: TcpListener, stage: Stage) {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    match stage {
        Stage::NotListening | Stage::Accepted => {}
        Stage::AcceptedAndReset => stream.set_zero_linger().expect("a socket"),
        Stage::CallRead => read_call(&mut stream).await,
        Stage::Replied(count) => {
            read_call(&mut stream).await;
            let part = &COMPLETE_REPLY[..count];
            stream.write_all(part).await.expect("the reply is sent");
        }
        Stage::WithoutStatus => {
            read_call(&mut stream).await;
            stream.write_all(NO_STATUS).await.expect("sent");
        }
        Stage::OtherCall => {
            read_call(&mut stream).await;
            stream.write_all(OTHER_CALL).await.expect("sent");
        }
        Stage::WithoutCall => {
            read_call(&mut stream).await;
            stream.write_all(NO_CALL).await.expect("sent");
        }
        Stage::WithoutLength => {
            read_call(&mut stream).await;
            stream.write_all(NO_LENGTH).await.expect("sent");
        }
        Stage::SecondCallRead => {
            read_call(&mut stream).await;
            stream.write_all(COMPLETE_REPLY).await.expect("sent");
            read_call(&mut stream).await;
        }
    }
}

/// Calls a target that behaves as `stage` says; the first reply of `SecondCallRead` must be
/// complete.
async fn call_result(stage: Stage) -> Result<ReplyStatus, CallFailure> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let pool: Pool = open_pool(address, 1);
    let target =
        (stage != Stage::NotListening).then(|| actix_rt::spawn(run_target(listener, stage)));
    if stage == Stage::SecondCallRead {
        let first = send(&pool, &call(address), "north-1:1").await;
        assert_eq!(first.map(|reply| reply.status), Ok(ReplyStatus::Done));
    }
    let reply = send(&pool, &call(address), "north-1:1").await;
    if let Some(target) = target {
        target.await.expect("the target does not panic");
    }
    reply.map(|reply| reply.status)
}

#[rstest]
#[case(Stage::NotListening, &[CallFailure::ConnectRefused])]
#[case(Stage::Accepted, &[CallFailure::ConnectionLost])]
#[case(Stage::AcceptedAndReset, &[CallFailure::ConnectionLost, CallFailure::ConnectRefused])]
#[case(Stage::CallRead, &[CallFailure::ConnectionLost])]
#[case(Stage::Replied(1), &[CallFailure::ConnectionLost, CallFailure::Truncated])]
#[case(Stage::Replied(40), &[CallFailure::ConnectionLost, CallFailure::Truncated])]
#[case(Stage::Replied(COMPLETE_REPLY.len() - 2), &[CallFailure::Truncated])]
#[case(Stage::Replied(COMPLETE_REPLY.len() - 1), &[CallFailure::Truncated])]
#[case(Stage::WithoutStatus, &[CallFailure::Truncated])]
#[case(Stage::OtherCall, &[CallFailure::Truncated])]
#[case(Stage::WithoutCall, &[CallFailure::Truncated])]
#[case(Stage::WithoutLength, &[CallFailure::Truncated])]
#[case(Stage::SecondCallRead, &[CallFailure::ConnectionLost])]
#[actix_rt::test]
async fn call_that_may_have_arrived_is_not_reported_as_unsent(
    #[case] stage: Stage,
    #[case] expected: &[CallFailure],
) {
    let Err(failure) = call_result(stage).await else {
        panic!("expected a failure, got a reply");
    };
    assert!(expected.contains(&failure), "{failure:?}");
}

#[actix_rt::test]
async fn complete_reply_is_accepted() {
    let result = call_result(Stage::Replied(COMPLETE_REPLY.len())).await;
    assert_eq!(result, Ok(ReplyStatus::Done));
}
