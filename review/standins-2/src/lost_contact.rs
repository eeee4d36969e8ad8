//! A zone is cut off for some seconds, and meanwhile the machines of the other zones are lost.
//!
//! Rule Starved: no kind of request is served less than a quarter as often as all requests. Counted
//! are the requests that are sent later than `RecoveryS` after the cut has healed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::backend::{self, Backend};
use crate::fleet::{self, Spec};
use crate::http::{self, Message};
use crate::proxy::Proxy;
use crate::record::Record;
use crate::requester::{self, Request};
use crate::store::Store;
use crate::{Context, Verdict};

/// Zones of the machines. The backends of the shards are in the first two, none is in the last.
const ZONES: [&str; 3] = ["ljubljana-a", "ljubljana-b", "kranj"];
const HOST: &str = "parts.example";
const SHARDS_COUNT: usize = 20;
const CUT: Duration = Duration::from_millis(5_500);
const RECOVERY: Duration = Duration::from_secs(12);
/// Time after the recovery in which requests are counted.
const COUNTED: Duration = Duration::from_secs(20);
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

pub fn run(context: &Context) -> Verdict {
    let record = &context.record;
    let store = Store::start();
    let mut proxies = Vec::new();
    for shard in 0..SHARDS_COUNT {
        for zone in &ZONES[..2] {
            proxies.push(start_backend(&store, record, &shard_name(shard), zone));
        }
    }
    for zone in ZONES {
        let proxy = start_backend(&store, record, "bay-terminal", zone);
        // The backend in the zone that is cut off stays in reach of its machine.
        if zone != ZONES[2] {
            proxies.push(proxy);
        }
    }
    put_config(&store);
    let specs = ZONES.iter().map(|zone| Spec {
        name: format!("front-{zone}-1"),
        zone: (*zone).to_owned(),
        store: store.address,
    });
    let specs: Vec<Spec> = specs.collect();
    let mut machines = match fleet::start(&context.program, &context.directory, &specs) {
        Ok(machines) => machines,
        Err(error) => return Verdict::NotRun(format!("a machine doesn't start: {error}")),
    };
    if !fleet::wait_ready(&machines) {
        return Verdict::NotRun("the machines aren't ready".to_owned());
    }
    let last = machines.pop();
    let Some(machine) = last else {
        return Verdict::NotRun("there is no machine".to_owned());
    };
    let before = count(record, machine.front, Duration::from_secs(3));
    record.say(&format!("before: {before}"));
    if before.gathered.served == 0 || before.single.served == 0 {
        return Verdict::NotRun("it doesn't serve before the disturbance".to_owned());
    }
    if context.has_trouble {
        record.line("kranj is cut off from the other zones, whose machines are lost");
        machines.clear();
        proxies.iter().for_each(|proxy| proxy.set_cut(true));
    }
    let during = count(record, machine.front, CUT);
    record.say(&format!("during the cut: {during}"));
    proxies.iter().for_each(|proxy| proxy.set_cut(false));
    record.line("the cut has healed: all backends are in reach");
    let recovering = count(record, machine.front, RECOVERY);
    record.say(&format!("until RecoveryS after it: {recovering}"));
    let after = count(record, machine.front, COUNTED);
    record.say(&format!("later: {after}"));
    record.say(&format!(
        "ready at the end: {}",
        fleet::is_ready(machine.ready)
    ));
    let all_share = after.all().share();
    let is_starved = |kind: &Served| kind.share() < all_share / 4.0;
    match is_starved(&after.gathered) || is_starved(&after.single) {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// Requests of one kind.
#[derive(Clone, Copy, Default)]
struct Served {
    sent: u64,
    served: u64,
}

impl Served {
    fn share(&self) -> f64 {
        self.served as f64 / self.sent.max(1) as f64
    }
}

/// Requests of both kinds.
#[derive(Clone, Copy, Default)]
struct Counts {
    gathered: Served,
    single: Served,
}

impl Counts {
    fn all(&self) -> Served {
        Served {
            sent: self.gathered.sent + self.single.sent,
            served: self.gathered.served + self.single.served,
        }
    }
}

impl std::fmt::Display for Counts {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Counts { gathered, single } = self;
        write!(
            formatter,
            "fitment-lookup {} of {} served, kit-detail {} of {}",
            gathered.served, gathered.sent, single.served, single.sent
        )
    }
}

/// Sends requests of both kinds for a time.
fn count(record: &Record, front: SocketAddr, length: Duration) -> Counts {
    let until_ms = record.now_ms() + length.as_millis() as u64;
    let mut counts = Counts::default();
    while record.now_ms() < until_ms {
        for (path, deadline_ms, kind) in [
            ("/fitment/", 800, &mut counts.gathered),
            ("/kit/", 1_000, &mut counts.single),
        ] {
            kind.sent += 1;
            let now_ms = record.now_ms();
            let id = format!("q{now_ms}");
            let path = format!("{path}{now_ms}");
            let request = Request {
                method: "GET",
                path: &path,
                host: HOST,
                id: &id,
                deadline_ms,
                body: b"",
            };
            record.line(&format!("sent {id} {path}"));
            let answer = requester::send(front, &request);
            let status = answer.as_ref().and_then(Message::status);
            let missing = answer
                .as_ref()
                .and_then(|answer| answer.header("missing-parts"));
            record.line(&format!(
                "answered {id}: {status:?}, missing parts {missing:?}"
            ));
            kind.served += u64::from(status == Some(200));
        }
        thread::sleep(REQUEST_INTERVAL);
    }
    counts
}

fn shard_name(shard: usize) -> String {
    format!("katalog-{shard:02}")
}

/// Starts a backend behind a proxy.
fn start_backend(store: &Store, record: &Record, service: &str, zone: &str) -> Proxy {
    let record = record.clone();
    let id = format!("i-{service}-{zone}");
    let own_id = id.clone();
    let backend = Backend::start(
        &id,
        Arc::new(move |request| {
            let request_id = request.header("request-id").unwrap_or_default();
            thread::sleep(Duration::from_millis(5));
            record.line(&format!("{own_id} runs {request_id}"));
            let seal = format!("{own_id}.{request_id}");
            let headers = [("Request-Id", request_id), ("Server-Seal", &*seal)];
            http::response("200 OK", &headers, b"a record of it 1")
        }),
    );
    let proxy = Proxy::start(backend.address);
    let value = backend::registration(service, proxy.address, zone, 2);
    store.put(&format!("servers/{}", backend.id), &value);
    proxy
}

fn put_config(store: &Store) {
    let shards = (0..SHARDS_COUNT).map(|shard| format!("\"{}\"", shard_name(shard)));
    let shards = shards.collect::<Vec<String>>().join(",");
    let names = (0..SHARDS_COUNT)
        .map(shard_name)
        .chain(["bay-terminal".to_owned()]);
    let services = names.map(|name| {
        format!(
            r#"{{"Name":"{name}","HealthPath":"/health","MaxConns":26,"Protocol":"h1","Tls":false,"ColdStartS":3.0,"ColdPerS":0.0}}"#
        )
    });
    let services = services.collect::<Vec<String>>().join(",");
    store.put(
        "op/config",
        &format!(
            r#"{{"Version":3,"Routes":[{{"Name":"r-fitment","Host":"{HOST}","Prefix":"/fitment/","Kind":"idempotent","TimeoutMs":800,"GoalMs":150,"Priority":1,"Gather":[{shards}],"Attempts":2,"TopK":10,"MinVersion":0.89}},{{"Name":"r-kit","Host":"{HOST}","Prefix":"/kit/","Kind":"idempotent","TimeoutMs":4000,"GoalMs":600,"Priority":2,"Service":"bay-terminal","Attempts":2}}],"Services":[{services}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#
        ),
    );
}
