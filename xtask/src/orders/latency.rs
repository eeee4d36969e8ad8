//! Measures the latency that at-most-once execution of orders adds, without faults.

use std::time::Instant;

use awc::Client;
use hdrhistogram::Histogram;
use rig::{Plan, RigError};
use serde_json::json;

use crate::{caller::Event, http};

/// Number of requests per kind; a ticket is fetched for each order.
const REQUESTS_COUNT: u32 = 500;

/// Prints the latency of a read, of fetching a ticket, and of an order sent to the instance that
/// issued its ticket (the owner) or to another instance.
///
/// # Errors
///
/// Returns an error if a process does not answer.
pub async fn measure(plan: &Plan) -> Result<(), RigError> {
    let rig = rig::open(plan).await?;
    let services = rig.note.fleet.services.iter();
    let targets = services.flat_map(|service| service.targets.iter());
    for target in targets {
        let behaviour = json!({"latency_ms": 1, "latency_spread_percent": 0});
        rig::set_target_behaviour(&rig, &target.name, &behaviour).await?;
    }
    let client = Client::builder().disable_redirects().finish();
    let [owner, other] = [rig.instances[0].callers, rig.instances[1].callers];
    let mut reads = histogram();
    let mut tickets = histogram();
    let mut at_owner = histogram();
    let mut elsewhere = histogram();
    for number in 0..REQUESTS_COUNT {
        let start = Instant::now();
        let body = format!("{{\"read\":{number}}}");
        rig::query_at(&client, owner, "parts", &[], &body).await?;
        record(&mut reads, start);
        for (instance, latencies) in [(owner, &mut at_owner), (other, &mut elsewhere)] {
            let start = Instant::now();
            let Event::Ticket(Some(ticket)) = http::fetch_ticket(&client, owner).await else {
                return Err(RigError::NoReply(owner.to_string(), "no ticket".to_owned()));
            };
            record(&mut tickets, start);
            let body = format!("{{\"order\":\"{number} {instance}\"}}");
            let start = Instant::now();
            http::send_to_instance(&client, instance, &ticket, "normal", &body).await;
            record(latencies, start);
        }
    }
    println!("\n| request | median µs | 99 in 100 µs |\n| --- | --- | --- |");
    for (name, latencies) in [
        ("read of one service", reads),
        ("ticket", tickets),
        ("order at the ticket's owner", at_owner),
        ("order through another instance", elsewhere),
    ] {
        let median = latencies.value_at_quantile(0.5);
        let tail = latencies.value_at_quantile(0.99);
        println!("| {name} | {median} | {tail} |");
    }
    rig.close().await
}

fn histogram() -> Histogram<u64> {
    let mut histogram = Histogram::new(3).unwrap_or_else(|_| unreachable!("digits permitted"));
    histogram.auto(true);
    histogram
}

fn record(histogram: &mut Histogram<u64>, start: Instant) {
    let elapsed_us = u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX);
    // Recording cannot fail: the histogram resizes automatically.
    let _ = histogram.record(elapsed_us);
}
