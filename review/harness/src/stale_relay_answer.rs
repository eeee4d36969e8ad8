//! A process is killed and started again while a larger instance runs queries on its behalf.

use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::atomic::Ordering,
    thread::{self, JoinHandle},
    time::Duration,
};

use crate::{
    http::{self, Message},
    world::{Backend, Outcome, Verdict, World},
};

const ZONE: &str = "iseyin";
const SHARDS_COUNT: usize = 30;
const BACKENDS_PER_SHARD_COUNT: usize = 2;
const SLOTS_COUNT: u32 = 3;
/// Usual work of a query at a shard.
const WORK: Duration = Duration::from_millis(28);
/// Shards whose backends turn slow, and how many times longer they work then.
const SLOW_SHARDS_COUNT: usize = 2;
const SLOW_FACTOR: u64 = 8;
/// Time limit of a query.
const TIMEOUT_MS: u64 = 1_200;
/// Queries at once before the kill, and after the restart.
const FIRST_BURST_COUNT: usize = 24;
const SECOND_BURST_COUNT: usize = 12;
/// Time from the burst to the kill, and from the kill to the restart.
const KILL_AFTER: Duration = Duration::from_millis(60);
const RESTART_AFTER: Duration = Duration::from_millis(200);

pub fn run(world: &mut World) -> Outcome {
    let backends = open_backends(world)?;
    world.store.put("op/config", &configuration());
    let mut large = world.instance("front-iseyin-1", ZONE, 0.5);
    let mut small = world.instance("front-iseyin-2", ZONE, 0.12);
    for instance in [&mut large, &mut small] {
        world.start(instance)?;
    }
    for instance in [&large, &small] {
        world.wait_ready(instance, Duration::from_secs(10))?;
    }
    thread::sleep(Duration::from_secs(5));
    for number in 0..30 {
        world.record.line(&format!("send warm-{number}"));
        let answer = query(small.front, &format!("warm-{number}"));
        let status = answer.map_or(0, |answer| answer.status());
        world
            .record
            .line(&format!("answer warm-{number} status={status}"));
    }
    for backend in &backends[..SLOW_SHARDS_COUNT * BACKENDS_PER_SHARD_COUNT] {
        backend
            .work_us
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |us| {
                Some(us * SLOW_FACTOR)
            })
            .ok();
    }
    world.record.line("two shards turn slow; first burst");
    let first = burst(world, small.front, "first", FIRST_BURST_COUNT);
    thread::sleep(KILL_AFTER);
    if world.has_trouble {
        world.record.line("kill front-iseyin-2");
        small.kill();
        thread::sleep(RESTART_AFTER);
        world.start(&mut small)?;
        world.wait_ready(&small, Duration::from_secs(5))?;
    } else {
        thread::sleep(RESTART_AFTER);
    }
    world.record.line("second burst");
    let second = burst(world, small.front, "second", SECOND_BURST_COUNT);
    collect(world, first);
    let foreign_count = collect(world, second);
    world.record.line(&format!(
        "answers with parts of another request: {foreign_count}"
    ));
    Ok(match foreign_count {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    })
}

fn open_backends(world: &World) -> Result<Vec<Backend>, String> {
    let mut backends = Vec::new();
    for shard in 0..SHARDS_COUNT {
        for copy in 0..BACKENDS_PER_SHARD_COUNT {
            let id = format!("i-{shard:02}-{copy}");
            let body = |request: &Message| {
                let name = request.header("request-id").unwrap_or_default();
                format!("{name:<16.16}").into_bytes()
            };
            let service = service(shard);
            let backend =
                Backend::open(&world.record, &id, &service, ZONE, SLOTS_COUNT, WORK, body)?;
            world.register(&backend);
            backends.push(backend);
        }
    }
    Ok(backends)
}

fn service(shard: usize) -> String {
    format!("contract-desk-{shard:02}")
}

fn configuration() -> String {
    let names: Vec<String> = (0..SHARDS_COUNT)
        .map(|shard| format!("\"{}\"", service(shard)))
        .collect();
    let services = names
        .iter()
        .map(|name| format!(r#"{{"Name":{name},"MaxConns":30,"ColdPerS":10}}"#));
    let services: Vec<String> = services.collect();
    format!(
        r#"{{"Version":4,"Routes":[{{"Name":"lot-history","Host":"bark.example","Prefix":"/lots/",
"Kind":"idempotent","TimeoutMs":{TIMEOUT_MS},"GoalMs":200,"Attempts":2,"Priority":1,
"Gather":[{}],"TopK":10,"MinVersion":0.95}}],"Services":[{}],
"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":5000,"IdleTimeoutMs":60000}}}}"#,
        names.join(","),
        services.join(",")
    )
}

fn query(front: SocketAddr, id: &str) -> std::io::Result<Message> {
    let timeout = TIMEOUT_MS.to_string();
    let headers = [
        ("Host", "bark.example"),
        ("Request-Id", id),
        ("Deadline-Ms", timeout.as_str()),
    ];
    let request = http::request("GET", "/lots/2f", &headers, b"");
    http::call(front, &request, Duration::from_millis(TIMEOUT_MS + 1_000))
}

type Burst = Vec<(String, JoinHandle<std::io::Result<Message>>)>;

/// Sends queries at once, each on a connection of its own.
fn burst(world: &World, front: SocketAddr, name: &str, count: usize) -> Burst {
    let ids = (0..count).map(|number| format!("{name}-{number}"));
    let sent = ids.map(|id| {
        world.record.line(&format!("send {id}"));
        (id.clone(), http::spawn(move || query(front, &id)))
    });
    sent.collect()
}

/// Records the answers of a burst; returns how many hold a proof of another request.
fn collect(world: &World, burst: Burst) -> usize {
    let mut foreign_count = 0;
    for (id, answer) in burst {
        let answer = match answer.join().expect("a client has panicked") {
            Ok(answer) => answer,
            Err(error) => {
                world.record.line(&format!("no answer {id}: {error}"));
                continue;
            }
        };
        let proofs = answer.header("part-stamps").unwrap_or_default();
        let proofs = proofs
            .split(',')
            .map(str::trim)
            .filter(|proof| !proof.is_empty());
        let requests: HashSet<&str> = proofs
            .filter_map(|proof| Some(proof.split_once('.')?.0))
            .collect();
        let is_foreign = requests.iter().any(|&request| request != id);
        foreign_count += usize::from(is_foreign);
        world.record.line(&format!(
            "answer {id} status={} missing={} proofs of {requests:?}{}",
            answer.status(),
            answer.header("missing-parts").unwrap_or("-"),
            if is_foreign { " FOREIGN" } else { "" }
        ));
    }
    foreign_count
}
