//! Another writer leaves an entry among the registered backends whose `ColdLeftMs` is no span of
//! milliseconds that a 64-bit integer holds.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    http,
    world::{Backend, Instance, Outcome, Verdict, World},
};

const ZONES: [&str; 3] = ["iseyin", "saki", "igboho"];
const WORK: Duration = Duration::from_millis(40);
/// Time from the start of the machines to the traffic, and before it at which the entry is written.
const LEAD: Duration = Duration::from_secs(10);
const ENTRY_BEFORE_TRAFFIC: Duration = Duration::from_secs(2);
/// Traffic while the entry stands, and after it has been removed.
const WITH_ENTRY: Duration = Duration::from_secs(6);
const WITHOUT_ENTRY: Duration = Duration::from_secs(14);
/// Time after which the platform starts a process again that has ended.
const RESTART_AFTER: Duration = Duration::from_millis(300);

const CONFIGURATION: &str = r#"{"Version":4,"Routes":[{"Name":"payout-settle","Host":"bark.example",
"Prefix":"/payouts/","Kind":"idempotent","TimeoutMs":5000,"GoalMs":800,"Attempts":2,"Priority":2,
"Service":"ledger-office"}],"Services":[{"Name":"ledger-office","MaxConns":42,"ColdPerS":10}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":5000,"IdleTimeoutMs":60000}}"#;

/// The entry of the other writer: the largest signed 64-bit number of seconds, in milliseconds.
const FOREIGN_ENTRY: &str = r#"{"Service":"ledger-archive","Address":"127.0.0.1:9","Zone":"iseyin",
"Version":"v0","Concurrency":1,"State":"ready","ColdLeftMs":9223372036854775807000,"Sequence":1,
"born":1790000000000}"#;
const FOREIGN_KEY: &str = "servers/i-archive";

pub fn run(world: &mut World) -> Outcome {
    for zone in ZONES {
        let id = format!("i-{zone}");
        let body = |_: &http::Message| b"settled".to_vec();
        let backend = Backend::open(&world.record, &id, "ledger-office", zone, 4, WORK, body)?;
        world.register(&backend);
    }
    world.store.put("op/config", CONFIGURATION);
    let started_at = Instant::now();
    let mut instances = Vec::new();
    for zone in ZONES {
        let mut instance = world.instance(&format!("front-{zone}-1"), zone, 0.25);
        world.start(&mut instance)?;
        instances.push(instance);
    }
    for instance in &instances {
        world.wait_ready(instance, Duration::from_secs(5))?;
    }
    let entry_after = LEAD - ENTRY_BEFORE_TRAFFIC;
    thread::sleep(entry_after.saturating_sub(started_at.elapsed()));
    if world.has_trouble {
        world
            .record
            .line(&format!("put {FOREIGN_KEY} {FOREIGN_ENTRY}"));
        world.store.put(FOREIGN_KEY, FOREIGN_ENTRY);
    }
    thread::sleep(LEAD.saturating_sub(started_at.elapsed()));
    let mut served_count = play(world, &mut instances, "with", WITH_ENTRY)?;
    if world.has_trouble {
        world.record.line(&format!("remove {FOREIGN_KEY}"));
        world.store.remove(FOREIGN_KEY);
    }
    served_count += play(world, &mut instances, "without", WITHOUT_ENTRY)?;
    Ok(match served_count {
        0 => Verdict::Broken,
        _ => Verdict::Held,
    })
}

/// Sends requests to each instance for a time, and starts processes again that have ended. Returns
/// the number of requests served.
fn play(
    world: &World,
    instances: &mut [Instance],
    name: &str,
    length: Duration,
) -> Result<usize, String> {
    let until = Instant::now() + length;
    let mut ended_at: Vec<Option<Instant>> = vec![None; instances.len()];
    let (mut sent_count, mut served_count) = (0, 0);
    while Instant::now() < until {
        for (instance, ended_at) in instances.iter_mut().zip(&mut ended_at) {
            if instance.has_exited() {
                if ended_at.is_none() {
                    world.record.line(&format!("{} has ended", instance.name));
                }
                if ended_at.get_or_insert_with(Instant::now).elapsed() >= RESTART_AFTER {
                    world.start(instance)?;
                    *ended_at = None;
                }
            }
            let id = format!("{name}-{sent_count}");
            sent_count += 1;
            let headers = [
                ("Host", "bark.example"),
                ("Request-Id", id.as_str()),
                ("Deadline-Ms", "5000"),
            ];
            let request = http::request("GET", "/payouts/2f", &headers, b"");
            world
                .record
                .line(&format!("send {id} to {}", instance.name));
            let answer = http::call(instance.front, &request, Duration::from_secs(6));
            let text = match &answer {
                Ok(answer) => answer.status().to_string(),
                Err(error) => error.to_string(),
            };
            served_count += usize::from(answer.is_ok_and(|answer| answer.status() == 200));
            world
                .record
                .line(&format!("{id} to {}: {text}", instance.name));
        }
        thread::sleep(Duration::from_millis(50));
    }
    let text = format!("{name} the entry: {served_count} of {sent_count} requests served");
    world.record.line(&text);
    Ok(served_count)
}
