//! Open connections to the store fall silent, then a configuration moves a route.
//!
//! Rule CONFIG: a request sent later than `ConfigApplyMs` after the ack of a version isn't handled
//! as only an older version allows, by machines in touch. A machine is in touch again `ContactMs`
//! after its connections fell silent.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::backend::{self, Backend};
use crate::fleet::{self, Spec};
use crate::http;
use crate::proxy::Proxy;
use crate::requester::{self, Request};
use crate::store::Store;
use crate::{Context, Verdict};

const CONTACT_MS: u64 = 4_000;
const CONFIG_APPLY_MS: u64 = 3_000;
const ZONES: [&str; 3] = ["ljubljana-a", "ljubljana-b", "kranj"];
const HOST: &str = "parts.example";
/// Interval at which each machine gets a request.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

/// Where a request ran, by its id.
type Runs = Arc<Mutex<Vec<(String, &'static str)>>>;

/// A request and its answer.
struct Sent {
    machine: usize,
    id: String,
    sent_ms: u64,
    status: Option<u16>,
}

pub fn run(context: &Context) -> Verdict {
    let record = &context.record;
    let store = Store::start();
    let runs: Runs = Arc::default();
    for service in ["bay-terminal", "stock-ledger"] {
        for (index, zone) in ZONES.iter().enumerate() {
            start_backend(&store, &runs, context, service, index, zone);
        }
    }
    put_config(&store, 3, "bay-terminal");
    let proxies: Vec<Proxy> = ZONES.iter().map(|_| Proxy::start(store.address)).collect();
    let specs = ZONES.iter().zip(&proxies).map(|(zone, proxy)| Spec {
        name: format!("front-{zone}-1"),
        zone: (*zone).to_owned(),
        store: proxy.address,
    });
    let specs: Vec<Spec> = specs.collect();
    let machines = match fleet::start(&context.program, &context.directory, &specs) {
        Ok(machines) => machines,
        Err(error) => return Verdict::NotRun(format!("a machine doesn't start: {error}")),
    };
    if !fleet::wait_ready(&machines) {
        return Verdict::NotRun("the machines aren't ready".to_owned());
    }
    // All have been in touch for long when the disturbance comes.
    thread::sleep(Duration::from_millis(CONTACT_MS + 2_000));
    put_config(&store, 8, "bay-terminal");
    record.line("version 8 acknowledged: the same route");
    thread::sleep(Duration::from_millis(500));
    let silent_ms = record.line(match context.has_trouble {
        true => "the open connections to the store fall silent; new ones work",
        false => "no disturbance",
    });
    if context.has_trouble {
        proxies.iter().for_each(Proxy::silence);
    }
    thread::sleep(Duration::from_millis(500));
    put_config(&store, 15, "stock-ledger");
    let acked_ms = record.line("version 15 acknowledged: the route goes to stock-ledger");
    let until_ms = silent_ms + 2 * CONTACT_MS + 1_000;
    let senders = machines.iter().enumerate().map(|(index, machine)| {
        let (record, front) = (record.clone(), machine.front);
        thread::spawn(move || send_until(&record, index, front, until_ms))
    });
    let senders: Vec<_> = senders.collect();
    let sent: Vec<Sent> = senders
        .into_iter()
        .flat_map(|sender| sender.join().unwrap_or_default())
        .collect();
    let runs = runs.lock().unwrap();
    let due_ms = (acked_ms + CONFIG_APPLY_MS).max(silent_ms + CONTACT_MS);
    record.say(&format!(
        "silent at {silent_ms} ms, version 15 acknowledged at {acked_ms} ms, due from {due_ms} ms"
    ));
    let mut late_count = 0;
    let mut served_count = 0;
    for (index, machine) in machines.iter().enumerate() {
        let own = || sent.iter().filter(|sent| sent.machine == index);
        let ran_by = |sent: &Sent| {
            let run = runs.iter().find(|(id, _)| *id == sent.id);
            run.map(|(_, service)| *service)
        };
        let late =
            own().filter(|sent| sent.sent_ms > due_ms && ran_by(sent) == Some("bay-terminal"));
        let late: Vec<&Sent> = late.collect();
        let served = own().filter(|sent| sent.status == Some(200));
        served_count += served.count();
        late_count += late.len();
        let last_ms = late.last().map_or(0, |sent| sent.sent_ms);
        record.say(&format!(
            "{}: {} requests sent after that and run by the old service, the last at {last_ms} ms",
            machine.name,
            late.len()
        ));
    }
    if served_count * 10 < sent.len() * 9 {
        return Verdict::NotRun(format!("{served_count} of {} served", sent.len()));
    }
    match late_count {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}

fn start_backend(
    store: &Store,
    runs: &Runs,
    context: &Context,
    service: &'static str,
    index: usize,
    zone: &str,
) {
    let (runs, record) = (runs.clone(), context.record.clone());
    let id = format!("i-{service}-{index}");
    let own_id = id.clone();
    let backend = Backend::start(
        &id,
        Arc::new(move |request| {
            let request_id = request.header("request-id").unwrap_or_default();
            thread::sleep(Duration::from_millis(5));
            record.line(&format!("{own_id} runs {request_id}"));
            runs.lock().unwrap().push((request_id.to_owned(), service));
            let seal = format!("{own_id}.{request_id}");
            let headers = [("Request-Id", request_id), ("Server-Seal", &*seal)];
            http::response("200 OK", &headers, b"the kit")
        }),
    );
    let value = backend::registration(service, backend.address, zone, 4);
    store.put(&format!("servers/{}", backend.id), &value);
}

/// Writes a configuration with one route; it is accepted when this returns.
fn put_config(store: &Store, version: u32, service: &str) {
    store.put(
        "op/config",
        &format!(
            r#"{{"Version":{version},"Routes":[{{"Name":"r-kit","Host":"{HOST}","Prefix":"/kit/","Kind":"idempotent","TimeoutMs":4000,"GoalMs":600,"Priority":2,"Service":"{service}","Attempts":2}}],"Services":[{{"Name":"bay-terminal","HealthPath":"/health","MaxConns":110,"Protocol":"h1","Tls":false,"ColdStartS":3.0,"ColdPerS":0.0}},{{"Name":"stock-ledger","HealthPath":"/health","MaxConns":110,"Protocol":"h1","Tls":false,"ColdStartS":3.0,"ColdPerS":0.0}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#
        ),
    );
}

fn send_until(
    record: &crate::record::Record,
    machine: usize,
    front: std::net::SocketAddr,
    until_ms: u64,
) -> Vec<Sent> {
    let mut sent = Vec::new();
    while record.now_ms() < until_ms {
        let id = format!("q{machine}-{:06}", sent.len());
        let path = format!("/kit/{id}");
        let request = Request {
            method: "GET",
            path: &path,
            host: HOST,
            id: &id,
            deadline_ms: 4_000,
            body: b"",
        };
        let sent_ms = record.line(&format!("machine {machine} is sent {id}"));
        let answer = requester::send(front, &request);
        let status = answer.as_ref().and_then(http::Message::status);
        record.line(&format!("machine {machine} answers {id}: {status:?}"));
        sent.push(Sent {
            machine,
            id,
            sent_ms,
            status,
        });
        thread::sleep(REQUEST_INTERVAL);
    }
    sent
}
