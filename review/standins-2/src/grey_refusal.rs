//! A backend runs a request that isn't idempotent, fails, and answers 503 without `Not-Executed`.
//!
//! Rule REFUSED: a request that isn't idempotent isn't answered 429 or 503 (or 408, 421) if it has
//! run. Requesters take such an answer for the promise that it has not, and send it once more.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::backend::{self, Backend};
use crate::fleet::{self, Spec};
use crate::http::{self, Message};
use crate::requester::{self, Request};
use crate::store::Store;
use crate::{Context, Verdict};

const ZONES: [&str; 3] = ["iseyin", "saki", "igboho"];
const HOST: &str = "payouts.example";
/// Backends of the service, of which one is disturbed.
const BACKENDS_COUNT: usize = 13;
/// Share of the requests that the disturbed backend fails.
const FAILED_SHARE: f64 = 0.45;
/// Length of the disturbance, which comes more than once, and the pause between.
const DISTURBED_MS: u64 = 6_500;
const PAUSE_MS: u64 = 3_000;
const DISTURBANCES_COUNT: u64 = 3;
/// Work of a backend for a request, as on the sheet.
const WORK: Duration = Duration::from_millis(220);
/// Requesters of each machine, one request at a time each, and their pause between two: 22.5
/// requests a second together, as on the sheet.
const SENDERS_COUNT: usize = 2;
const ORDER_INTERVAL: Duration = Duration::from_millis(45);
const REFUSALS: [u16; 4] = [408, 421, 429, 503];

/// How often each attempt, and each order, has run.
#[derive(Default)]
struct Ledger {
    attempts: HashMap<String, u32>,
    orders: HashMap<String, u32>,
}

pub fn run(context: &Context) -> Verdict {
    let record = &context.record;
    let store = Store::start();
    let ledger: Arc<Mutex<Ledger>> = Arc::default();
    let is_failing = Arc::new(AtomicBool::new(false));
    for index in 0..BACKENDS_COUNT {
        let is_failing = (index == 0).then(|| is_failing.clone());
        start_backend(&store, context, &ledger, index, is_failing);
    }
    put_config(&store);
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
    thread::sleep(Duration::from_millis(2_000));
    let until_ms = record.now_ms() + DISTURBANCES_COUNT * (DISTURBED_MS + PAUSE_MS);
    let numbers = 0..machines.len() * SENDERS_COUNT;
    let senders = numbers.map(|index| {
        let (record, front) = (record.clone(), machines[index % machines.len()].front);
        thread::spawn(move || {
            let mut attempts = Vec::new();
            let mut number = 0;
            while record.now_ms() < until_ms {
                let order = format!("order-{index}-{number:04}");
                attempts.extend(settle(&record, front, &order));
                number += 1;
                thread::sleep(ORDER_INTERVAL);
            }
            attempts
        })
    });
    let senders: Vec<_> = senders.collect();
    for _ in 0..DISTURBANCES_COUNT {
        if context.has_trouble {
            record.line("one of 13 backends fails 0.45 of its requests from now on");
            is_failing.store(true, Ordering::SeqCst);
        }
        thread::sleep(Duration::from_millis(DISTURBED_MS));
        is_failing.store(false, Ordering::SeqCst);
        record.line("no backend fails requests from now on");
        thread::sleep(Duration::from_millis(PAUSE_MS));
    }
    let attempts: Vec<(String, Option<u16>)> = senders
        .into_iter()
        .flat_map(|sender| sender.join().unwrap_or_default())
        .collect();
    // The last runs end before the ledger is read.
    thread::sleep(Duration::from_millis(500));
    let ledger = ledger.lock().unwrap();
    let refused_and_run = attempts.iter().filter(|(id, status)| {
        let is_refused = status.is_some_and(|status| REFUSALS.contains(&status));
        is_refused && ledger.attempts.contains_key(id)
    });
    let refused_and_run_count = refused_and_run.count();
    let doubled_count = ledger.orders.values().filter(|&&count| count > 1).count();
    let served = attempts.iter().filter(|(_, status)| *status == Some(200));
    let served_count = served.count();
    record.say(&format!(
        "{} attempts, {served_count} served; {refused_and_run_count} were answered as not run and have run; \
         {doubled_count} orders ran twice",
        attempts.len()
    ));
    if served_count * 2 < attempts.len() {
        return Verdict::NotRun("less than half was served".to_owned());
    }
    match refused_and_run_count {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}

/// Sends an order as a requester does: once more after a promise that it has not run, with another
/// id. Returns the ids of its attempts and their statuses.
fn settle(
    record: &crate::record::Record,
    front: std::net::SocketAddr,
    order: &str,
) -> Vec<(String, Option<u16>)> {
    let mut attempts = Vec::new();
    for attempt in 0..2 {
        let id = format!("{order}-{attempt}");
        let request = Request {
            method: "POST",
            path: "/settle/",
            host: HOST,
            id: &id,
            deadline_ms: 5_000,
            body: order.as_bytes(),
        };
        record.line(&format!("sent {id}"));
        let answer = requester::send(front, &request);
        let status = answer.as_ref().and_then(Message::status);
        let seal = answer
            .as_ref()
            .and_then(|answer| answer.header("server-seal"));
        record.line(&format!("answered {id}: {status:?}, seal {seal:?}"));
        attempts.push((id, status));
        if !status.is_some_and(|status| REFUSALS.contains(&status)) {
            break;
        }
        let wait = answer
            .as_ref()
            .and_then(|answer| answer.header("retry-after"));
        let wait_s: f64 = wait.and_then(|wait| wait.parse().ok()).unwrap_or(0.0);
        thread::sleep(Duration::from_secs_f64(wait_s.clamp(0.0, 1.5)));
    }
    attempts
}

fn start_backend(
    store: &Store,
    context: &Context,
    ledger: &Arc<Mutex<Ledger>>,
    index: usize,
    is_failing: Option<Arc<AtomicBool>>,
) {
    let (ledger, record) = (ledger.clone(), context.record.clone());
    let id = format!("i-{index:02}");
    let own_id = id.clone();
    let requests_count = AtomicU64::new(0);
    let backend = Backend::start(
        &id,
        Arc::new(move |request: &Message| {
            let request_id = request.header("request-id").unwrap_or_default();
            let order = String::from_utf8_lossy(&request.body).into_owned();
            {
                let mut ledger = ledger.lock().unwrap();
                *ledger.attempts.entry(request_id.to_owned()).or_default() += 1;
                *ledger.orders.entry(order).or_default() += 1;
            }
            record.line(&format!("{own_id} runs {request_id}"));
            thread::sleep(WORK);
            let number = requests_count.fetch_add(1, Ordering::SeqCst);
            // Spreads the failures evenly over the requests.
            let is_chosen = ((number + 1) as f64 * FAILED_SHARE).floor()
                > (number as f64 * FAILED_SHARE).floor();
            let is_failing = is_failing
                .as_ref()
                .is_some_and(|is_failing| is_failing.load(Ordering::SeqCst));
            let seal = format!("{own_id}.{request_id}");
            let headers = [("Request-Id", request_id), ("Server-Seal", &*seal)];
            if is_failing && is_chosen {
                record.line(&format!("{own_id} has run {request_id} and answers 503"));
                http::response("503 Service Unavailable", &headers, b"the ledger failed")
            } else {
                http::response("200 OK", &headers, b"settled")
            }
        }),
    );
    let value = backend::registration("ledger-office", backend.address, ZONES[index % 3], 4);
    store.put(&format!("servers/{}", backend.id), &value);
}

fn put_config(store: &Store) {
    store.put(
        "op/config",
        &format!(
            r#"{{"Version":3,"Routes":[{{"Name":"r-settle","Host":"{HOST}","Prefix":"/settle/","Kind":"non_idempotent","TimeoutMs":5000,"GoalMs":800,"Priority":2,"Service":"ledger-office","Attempts":2}}],"Services":[{{"Name":"ledger-office","HealthPath":"/health","MaxConns":42,"Protocol":"h1","Tls":false,"ColdStartS":3.0,"ColdPerS":0.0}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#
        ),
    );
}
