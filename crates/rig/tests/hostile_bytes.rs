//! Random and mutated bytes at every port of an instance: the process goes on, and the next request
//! is served.

use std::{io::Write, net::SocketAddr, net::TcpStream, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rig::{RigError, plan};

/// Connections to each port.
const CONNECTIONS_COUNT: usize = 400;

/// Messages from which mutated ones are made: requests to the HTTP ports, and frames of other
/// instances.
const MESSAGES: [&[u8]; 5] = [
    b"POST /v1/fronts/parts/query HTTP/1.1\r\nhost: a\r\nbalsam-timeout-ms: 500\r\n\
      content-length: 2\r\n\r\n{}",
    b"POST /v1/tickets?count=2 HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n\
      1\r\nx\r\n0\r\n\r\n",
    b"GET /ready?revision=1&wait_ms=5 HTTP/1.1\r\nhost: a\r\n\r\n",
    b"\x00\x00\x00\x04\x3a\x02\x08\x05",
    b"\x00\x00\x00\x12\x12\x10\x0a\x0e127.0.0.1:7000\x10\x01",
];

fn mutated(rng: &mut ChaCha8Rng) -> Vec<u8> {
    let mut bytes = MESSAGES[rng.random_range(0..MESSAGES.len())].to_vec();
    for _ in 0..rng.random_range(0..5) {
        let index = rng.random_range(0..bytes.len());
        match rng.random_range(0..4) {
            0 => bytes.truncate(index + 1),
            1 => bytes[index] = rng.random(),
            2 => bytes.insert(index, rng.random()),
            _ => bytes.extend_from_within(index..),
        }
    }
    bytes
}

/// Writes mutated messages on connections of their own and closes each without reading.
fn send_mutated(address: SocketAddr, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    for _ in 0..CONNECTIONS_COUNT {
        let Ok(mut stream) = TcpStream::connect(address) else {
            continue;
        };
        // Fails if the instance has closed the connection already.
        let _ = stream.write_all(&mutated(&mut rng));
    }
}

#[actix_rt::test]
async fn random_bytes_at_any_port_end_no_instance() -> Result<(), RigError> {
    let rig = rig::open(&plan(&["north"], 1)).await?;
    let instance = &rig.instances[0];
    for (seed, address) in [instance.callers, instance.operators, instance.peers]
        .into_iter()
        .enumerate()
    {
        let sending = actix_rt::task::spawn_blocking(move || send_mutated(address, seed as u64));
        sending.await.expect("the sender ends");
        actix_rt::time::sleep(Duration::from_millis(100)).await;
        let reply = rig::query(&rig, 0, "parts", &[], "{}").await?;
        assert_eq!(reply.status, 200, "after port {address}: {reply:?}");
    }
    rig.close().await
}
