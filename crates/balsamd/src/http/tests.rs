//! Tests of closing a port while callers connect and wait.

use std::{
    cell::Cell,
    convert::Infallible,
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    rc::Rc,
    time::{Duration, Instant},
};

use actix_http::{ConnectionType, Request, Response, StatusCode};
use actix_service::fn_service;
use bytes::Bytes;
use rstest::rstest;
use tokio::sync::watch;

use super::{ConnectionTracker, PortLimits, bind, serve};
use crate::{limits, metrics};

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
/// Time limit for a response, far beyond what one takes.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

struct Port {
    address: SocketAddr,
    close: watch::Sender<bool>,
    connections: ConnectionTracker,
    served_count: Rc<Cell<usize>>,
}

/// Serves a port that answers each request after a delay and then closes the connection.
async fn open_port(delay: Duration) -> Port {
    open_limited_port(delay, test_limits(None, None)).await
}

async fn open_limited_port(delay: Duration, limits: limits::Limits) -> Port {
    open_port_with(delay, limits, ConnectionType::Close).await
}

async fn open_port_with(
    delay: Duration,
    limits: limits::Limits,
    connection_type: ConnectionType,
) -> Port {
    let listener = bind("test", ([127, 0, 0, 1], 0).into())
        .await
        .expect("a free port");
    let address = listener.local_addr().expect("a bound port");
    let (close, close_signal) = watch::channel(false);
    let connections = ConnectionTracker::open();
    let served_count = Rc::new(Cell::new(0));
    let count = served_count.clone();
    let service = fn_service(move |_: Request| {
        let count = count.clone();
        async move {
            actix_rt::time::sleep(delay).await;
            count.set(count.get() + 1);
            let mut response = Response::with_body(StatusCode::OK, Bytes::from("done"));
            response.head_mut().set_connection_type(connection_type);
            Ok::<_, Infallible>(response)
        }
    });
    let port_limits = PortLimits {
        limits,
        body_max_bytes: 256 * 1024,
    };
    serve(
        listener,
        service,
        port_limits,
        close_signal,
        connections.clone(),
    )
    .await;
    Port {
        address,
        close,
        connections,
        served_count,
    }
}

fn test_limits(memory_mb: Option<u32>, descriptors_max_count: Option<u32>) -> limits::Limits {
    let metrics = metrics::create().expect("metrics");
    let instance = settings::Instance {
        name: "a".to_owned(),
        zone: "b".to_owned(),
        capacity_millicores: 0,
        memory_mb,
        descriptors_max_count,
    };
    limits::new(&instance, metrics::create_input(&metrics))
}

/// Opens connections and sends a request on each, without giving the port a turn to accept them.
fn send_requests(address: SocketAddr, count: usize) -> Vec<TcpStream> {
    let streams = (0..count).map(|_| {
        let mut stream = TcpStream::connect(address).expect("a connection");
        stream.write_all(REQUEST).expect("a sent request");
        stream
            .set_read_timeout(Some(READ_TIMEOUT))
            .expect("a positive timeout");
        stream
    });
    streams.collect()
}

fn is_answered(stream: &mut TcpStream) -> bool {
    let mut response = Vec::new();
    stream.read_to_end(&mut response).is_ok() && response.ends_with(b"done")
}

#[rstest]
#[case::at_once(Duration::ZERO)]
#[case::slow(Duration::from_millis(120))]
fn requests_that_wait_to_be_accepted_are_answered_when_the_port_closes(#[case] delay: Duration) {
    actix_rt::System::new().block_on(async {
        let port = open_port(delay).await;
        let mut streams = send_requests(port.address, 40);
        port.close.send_replace(true);
        while port.served_count.get() < 40 {
            let before = port.served_count.get();
            actix_rt::time::sleep(delay + Duration::from_millis(50)).await;
            assert!(port.served_count.get() > before, "{before} of 40 served");
        }
        port.connections.all_closed().await;
        let answered = streams
            .iter_mut()
            .filter_map(|stream| is_answered(stream).then_some(()));
        assert_eq!(answered.count(), 40);
        assert!(
            TcpStream::connect(port.address).is_err(),
            "the port is open"
        );
    });
}

#[test]
fn connections_are_tracked_until_their_response_is_sent() {
    actix_rt::System::new().block_on(async {
        let delay = Duration::from_millis(150);
        let port = open_port(delay).await;
        let start = Instant::now();
        let _streams = send_requests(port.address, 3);
        actix_rt::time::sleep(Duration::from_millis(20)).await;
        port.close.send_replace(true);
        port.connections.all_closed().await;
        assert!(start.elapsed() >= delay);
        assert_eq!(port.served_count.get(), 3);
    });
}

fn connect(address: SocketAddr, written: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream.write_all(written).expect("a sent request");
    stream
        .set_read_timeout(Some(READ_TIMEOUT))
        .expect("a positive timeout");
    stream
}

/// Returns the number of connections that the port has closed.
fn closed_count(streams: &[TcpStream]) -> usize {
    let is_closed = |mut stream: &TcpStream| {
        stream.set_nonblocking(true).expect("an option");
        match stream.read(&mut [0; 1]) {
            Err(error) => error.kind() != ErrorKind::WouldBlock,
            Ok(count) => count == 0,
        }
    };
    streams.iter().filter(|stream| is_closed(stream)).count()
}

/// Guards against new connections that are refused anyway and still close idle ones.
#[test]
fn a_crowd_closes_no_more_idle_connections_than_it_takes() {
    actix_rt::System::new().block_on(async {
        // 80 connections.
        let limits = test_limits(None, Some(360));
        let port = open_limited_port(Duration::ZERO, limits).await;
        let connect = |_| connect(port.address, b"");
        let idle: Vec<TcpStream> = (0..80).map(connect).collect();
        actix_rt::time::sleep(Duration::from_millis(700)).await;
        let crowd: Vec<TcpStream> = (0..70).map(connect).collect();
        actix_rt::time::sleep(Duration::from_millis(300)).await;
        assert_eq!(closed_count(&idle), crowd.len() - closed_count(&crowd));
    });
}

/// Guards against a refusal for lack of memory that a client to be closed has already released, but
/// whose connection is still open.
#[test]
fn memory_of_a_shed_body_serves_the_request_that_waits_for_it() {
    actix_rt::System::new().block_on(async {
        // 256 KiB, nearly all of which two bodies without their last byte take.
        let limits = test_limits(Some(1), None);
        let port = open_limited_port(Duration::ZERO, limits).await;
        let mut request = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 30000\r\n\r\n".to_vec();
        request.resize(request.len() + 29_999, b'a');
        let _slow = [(); 2].map(|()| connect(port.address, &request));
        actix_rt::time::sleep(Duration::from_millis(900)).await;
        request.push(b'a');
        let mut stream = connect(port.address, &request);
        let answered = actix_rt::task::spawn_blocking(move || is_answered(&mut stream));
        assert!(answered.await.expect("a thread"));
    });
}

/// Guards against a readiness check that callers' connections shut out.
#[test]
fn operators_are_served_while_callers_take_all_connections() {
    actix_rt::System::new().block_on(async {
        // Two connections.
        let limits = test_limits(None, Some(204));
        let operators = limits::for_operators(&limits);
        let callers = open_limited_port(READ_TIMEOUT, limits).await;
        let operators = open_limited_port(Duration::ZERO, operators).await;
        let _served = send_requests(callers.address, 2);
        actix_rt::time::sleep(Duration::from_millis(100)).await;
        let mut stream = connect(operators.address, REQUEST);
        let answered = actix_rt::task::spawn_blocking(move || is_answered(&mut stream));
        assert!(answered.await.expect("a thread"));
    });
}

/// Guards against limits that requests meet which arrive back to back on one connection: with and
/// without a body, with a head of 16 KiB, and more bytes than are read ahead.
#[test]
fn requests_sent_back_to_back_are_all_answered() {
    actix_rt::System::new().block_on(async {
        let delay = Duration::from_millis(20);
        let port = open_port_with(delay, test_limits(None, None), ConnectionType::KeepAlive).await;
        let filler = "a".repeat(16_000);
        let requests = [
            "GET / HTTP/1.1\r\nhost: a\r\n\r\n".to_owned(),
            format!("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 16000\r\n\r\n{filler}"),
            format!("GET / HTTP/1.1\r\nhost: a\r\nx-filler: {filler}\r\n\r\n"),
            format!(
                "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n{}0\r\n\r\n",
                "1\r\na\r\n".repeat(16_000)
            ),
        ];
        let mut stream = connect(port.address, b"");
        let mut writer = stream.try_clone().expect("a copy");
        let sent = requests.concat().repeat(8);
        let writing =
            actix_rt::task::spawn_blocking(move || writer.write_all(sent.as_bytes()).is_ok());
        let reading = actix_rt::task::spawn_blocking(move || {
            let mut read = Vec::new();
            let mut buffer = [0; 4096];
            while read.windows(4).filter(|part| part == b"done").count() < 32 {
                match stream.read(&mut buffer) {
                    Ok(count) if count > 0 => read.extend_from_slice(&buffer[..count]),
                    _ => break,
                }
            }
            read.windows(4).filter(|part| part == b"done").count()
        });
        assert!(writing.await.expect("a thread"));
        assert_eq!(reading.await.expect("a thread"), 32);
    });
}
