//! A crowd of outside clients sends bodies far over the limit, in chunks and without announcement; or
//! a smaller one sends small requests without waiting for the answers to the ones before.
//!
//! Rule Fault: processes don't end by themselves three times on two machines or more; memory over
//! the limit counts. The driver plays the platform, which kills a process that exceeds `MemoryMb`
//! and starts it again after a short delay.

use std::collections::VecDeque;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::backend::{self, Backend};
use crate::fleet::{self, Machine, Spec};
use crate::http;
use crate::record::Record;
use crate::requester::{self, Request};
use crate::store::Store;
use crate::{Context, Verdict};

const MEMORY_MB: u64 = 260;
const ZONES: [&str; 2] = ["ljubljana-a", "ljubljana-b"];
const HOST: &str = "parts.example";
/// Connections of the crowd to each machine, far below its 4,100 descriptors.
const CROWD_COUNT: usize = 1_900;
/// Threads that serve the crowd of a machine, one for each length of its chunks.
const CHUNK_LENGTHS: [usize; 3] = [16 * 1024, 64 * 1024, 128 * 1024];
/// Length of a body of the crowd; `MaxBodyBytes` is 262,144.
const BODY_BYTES: usize = 4_000_000;
/// Time after which a client that was closed comes again.
const RETURN_AFTER: Duration = Duration::from_secs(1);
/// Connections that a thread of the crowd opens before it serves the others again.
const OPENED_AT_ONCE_COUNT: usize = 60;
const LENGTH: Duration = Duration::from_secs(75);
/// Ends of the processes of a machine that break the rule.
const ENDS_COUNT: u64 = 3;

/// Clients of each machine that send requests ahead, and the bytes that each sends at once: less than
/// a head may have.
const AHEAD_COUNT: usize = 1_200;
const AHEAD_BYTES: usize = 8 * 1024;

/// What the clients of a crowd send.
#[derive(Clone, Copy, PartialEq)]
pub enum Crowd {
    FarOver,
    Ahead,
}

pub fn run(context: &Context, kind: Crowd) -> Verdict {
    let record = &context.record;
    let store = Store::start();
    for index in 0..4 {
        let id = format!("i-{index}");
        let own_id = id.clone();
        let backend = Backend::start(
            &id,
            Arc::new(move |request| {
                let request_id = request.header("request-id").unwrap_or_default();
                let seal = format!("{own_id}.{request_id}");
                let headers = [("Request-Id", request_id), ("Server-Seal", &*seal)];
                http::response("200 OK", &headers, b"the kit")
            }),
        );
        let value = backend::registration("stock-ledger", backend.address, ZONES[index % 2], 4);
        store.put(&format!("servers/{}", backend.id), &value);
    }
    store.put(
        "op/config",
        &format!(
            r#"{{"Version":3,"Routes":[{{"Name":"r-kit","Host":"{HOST}","Prefix":"/kit/","Kind":"non_idempotent","TimeoutMs":4000,"GoalMs":600,"Priority":2,"Service":"stock-ledger","Attempts":2}}],"Services":[{{"Name":"stock-ledger","HealthPath":"/health","MaxConns":110,"Protocol":"h1","Tls":false,"ColdStartS":3.0,"ColdPerS":0.0}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#
        ),
    );
    let specs = ZONES.iter().map(|zone| Spec {
        name: format!("front-{zone}-1"),
        zone: (*zone).to_owned(),
        store: store.address,
    });
    let specs: Vec<Spec> = specs.collect();
    let machines = match fleet::start(&context.program, &context.directory, &specs) {
        Ok(machines) => machines,
        Err(error) => return Verdict::NotRun(format!("a machine doesn't start: {error}")),
    };
    if !fleet::wait_ready(&machines) {
        return Verdict::NotRun("the machines aren't ready".to_owned());
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let opened_count = Arc::new(AtomicU64::new(0));
    let mut threads = Vec::new();
    for machine in &machines {
        for chunk_length in CHUNK_LENGTHS.into_iter().filter(|_| context.has_trouble) {
            let (front, is_over, opened) = (machine.front, is_over.clone(), opened_count.clone());
            let (all_count, bytes) = match kind {
                Crowd::FarOver => (CROWD_COUNT, request(chunk_length)),
                Crowd::Ahead => (AHEAD_COUNT, requests_ahead()),
            };
            let count = all_count / CHUNK_LENGTHS.len();
            threads.push(thread::spawn(move || {
                crowd(front, &bytes, count, &is_over, &opened);
            }));
        }
    }
    record.line(match context.has_trouble {
        true if kind == Crowd::FarOver => {
            "the crowd comes: 1,900 clients of each machine, bodies of 4 MB in chunks"
        }
        true => "the crowd comes: 1,200 clients of each machine, 8 KiB of small requests each",
        false => "no crowd",
    });
    let watchers = machines.into_iter().map(|machine| {
        let (record, program, directory) = (
            record.clone(),
            context.program.clone(),
            context.directory.clone(),
        );
        thread::spawn(move || watch(machine, &record, &program, &directory))
    });
    let watchers: Vec<_> = watchers.collect();
    let ends: Vec<Ends> = watchers
        .into_iter()
        .filter_map(|watcher| watcher.join().ok())
        .collect();
    is_over.store(true, Ordering::SeqCst);
    for thread in threads {
        // The crowd has no result.
        let _ = thread.join();
    }
    let opened_count = opened_count.load(Ordering::SeqCst);
    record.say(&format!("the crowd opened {opened_count} connections"));
    for ends in &ends {
        record.say(&format!(
            "{}: {} ends, highest memory {} MB of {MEMORY_MB}, ordinary requests {} of {} served",
            ends.name, ends.count, ends.highest_mb, ends.served_count, ends.sent_count
        ));
    }
    if ends.len() < ZONES.len() || ends.iter().any(|ends| ends.sent_count == 0) {
        return Verdict::NotRun("a machine couldn't be watched".to_owned());
    }
    let broken = ends.iter().filter(|ends| ends.count >= ENDS_COUNT);
    match broken.count() >= 2 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// What was seen of a machine.
struct Ends {
    name: String,
    count: u64,
    highest_mb: u64,
    sent_count: u64,
    served_count: u64,
}

/// Plays the platform for one machine: kills its process if it exceeds the memory, and starts it
/// again. Sends an ordinary request now and then.
fn watch(mut machine: Machine, record: &Record, program: &Path, directory: &Path) -> Ends {
    let start_ms = record.now_ms();
    let mut ends = Ends {
        name: machine.name.clone(),
        count: 0,
        highest_mb: 0,
        sent_count: 0,
        served_count: 0,
    };
    let mut steps_count = 0_u64;
    while record.now_ms() < start_ms + LENGTH.as_millis() as u64 && ends.count < ENDS_COUNT {
        thread::sleep(Duration::from_millis(50));
        steps_count += 1;
        let ended = machine.process.try_wait().ok().flatten();
        let memory_kb = memory_kb(machine.process.id());
        let memory_mb = memory_kb / 1024;
        ends.highest_mb = ends.highest_mb.max(memory_mb);
        if ended.is_some() || memory_kb > MEMORY_MB * 1024 {
            ends.count += 1;
            record.line(&format!(
                "{}: end {}: {}",
                ends.name,
                ends.count,
                match ended {
                    Some(status) => format!("it ended by itself, {status}"),
                    None => format!("killed by the platform at {memory_mb} MB of {MEMORY_MB}"),
                }
            ));
            // Fails if the process has ended.
            let _ = machine.process.kill();
            let _ = machine.process.wait();
            thread::sleep(Duration::from_millis(500));
            match fleet::spawn(program, directory, &machine.name) {
                Ok(process) => machine.process = process,
                Err(error) => {
                    record.line(&format!("{}: not started again: {error}", ends.name));
                    return ends;
                }
            }
        }
        if steps_count % 10 == 0 {
            let id = format!("{}-{steps_count}", ends.name);
            let is_served = ask(machine.front, &id);
            ends.sent_count += 1;
            ends.served_count += u64::from(is_served);
            record.line(&format!(
                "{}: memory {memory_mb} MB; ordinary request {id}: served {is_served}",
                ends.name
            ));
        }
    }
    ends
}

fn ask(front: SocketAddr, id: &str) -> bool {
    let request = Request {
        method: "POST",
        path: "/kit/1",
        host: HOST,
        id,
        deadline_ms: 1_000,
        body: b"an order",
    };
    let answer = requester::send(front, &request);
    answer.and_then(|answer| answer.status()) == Some(200)
}

/// Returns the resident memory of a process, or 0 if it has ended.
fn memory_kb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    number.unwrap_or(0)
}

/// A client of the crowd, and the number of bytes that it has sent.
struct Client {
    stream: TcpStream,
    sent_count: usize,
}

/// Keeps up a number of clients that each send one body; one that is closed comes again.
fn crowd(
    front: SocketAddr,
    bytes: &[u8],
    count: usize,
    is_over: &AtomicBool,
    opened_count: &AtomicU64,
) {
    let mut clients: Vec<Client> = Vec::new();
    // When the clients that were closed come again.
    let mut waiting: VecDeque<Instant> = (0..count).map(|_| Instant::now()).collect();
    let mut buffer = [0; 4 * 1024];
    while !is_over.load(Ordering::SeqCst) {
        for _ in 0..OPENED_AT_ONCE_COUNT {
            if !waiting.front().is_some_and(|at| *at <= Instant::now()) {
                break;
            }
            let Ok(stream) = TcpStream::connect_timeout(&front, Duration::from_millis(500)) else {
                break;
            };
            if stream.set_nonblocking(true).is_err() {
                break;
            }
            waiting.pop_front();
            opened_count.fetch_add(1, Ordering::SeqCst);
            clients.push(Client {
                stream,
                sent_count: 0,
            });
        }
        let before_count = clients.len();
        clients.retain_mut(|client| is_open(client, bytes, &mut buffer));
        for _ in clients.len()..before_count {
            waiting.push_back(Instant::now() + RETURN_AFTER);
        }
        thread::sleep(Duration::from_millis(5));
    }
}

/// Sends what the connection takes, and returns whether it is open.
fn is_open(client: &mut Client, bytes: &[u8], buffer: &mut [u8]) -> bool {
    let left = &bytes[client.sent_count..];
    if !left.is_empty() {
        match client.stream.write(&left[..left.len().min(128 * 1024)]) {
            Ok(count) => client.sent_count += count,
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return false,
        }
    }
    match client.stream.read(buffer) {
        Ok(count) => count > 0,
        Err(error) => error.kind() == ErrorKind::WouldBlock,
    }
}

fn request(chunk_length: usize) -> Vec<u8> {
    let mut bytes = format!(
        "POST /kit/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: crowd\r\nDeadline-Ms: 4000\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    .into_bytes();
    for _ in 0..BODY_BYTES / chunk_length {
        bytes.extend(format!("{chunk_length:x}\r\n").bytes());
        bytes.extend(std::iter::repeat(b'x').take(chunk_length));
        bytes.extend(b"\r\n");
    }
    bytes
}

/// Returns as many small requests as fit, one after the other.
fn requests_ahead() -> Vec<u8> {
    let request = format!(
        "GET /kit/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: crowd\r\nDeadline-Ms: 4000\r\n\r\n"
    );
    request.repeat(AHEAD_BYTES / request.len()).into_bytes()
}
