//! A requester: one request on a connection of its own.

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{Connection, Message};

/// Time after the time limit of a request at which its requester gives up.
const PATIENCE: Duration = Duration::from_millis(1_000);

pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub host: &'a str,
    pub id: &'a str,
    pub deadline_ms: u64,
    pub body: &'a [u8],
}

/// Sends a request and waits for its answer; `None` if the connection ended without one.
pub fn send(address: SocketAddr, request: &Request<'_>) -> Option<Message> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    let limit = Duration::from_millis(request.deadline_ms) + PATIENCE;
    stream.set_read_timeout(Some(limit)).ok()?;
    let mut connection = Connection::new(stream);
    connection.write(&encode(request)).ok()?;
    connection.read().ok().flatten()
}

/// Returns the bytes of a request.
pub fn encode(request: &Request<'_>) -> Vec<u8> {
    let Request {
        method,
        path,
        host,
        id,
        deadline_ms,
        body,
    } = request;
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\n"
    );
    if *method != "GET" {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
