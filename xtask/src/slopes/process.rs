//! Measures the processor time and memory of a real instance process over loopback.

use std::time::Duration;

use futures_util::future::join_all;
use rig::{InstancePlan, Plan, Profile, Rig, RigError, ServicePlan};
use serde_json::json;

/// Service calls in a batch, rounded down to whole queries.
const CALLS_PER_BATCH_COUNT: u32 = 10_000;
/// Batches; the one with the least processor time counts, because other load only adds time.
const BATCHES_COUNT: u32 = 5;
/// Queries before the measurement, which open connections and warm up the targets.
const WARM_UP_QUERIES_COUNT: u32 = 200;
/// Concurrent callers; each one waits for an answer before it sends the next query.
const CALLERS_COUNT: u32 = 4;
const FRONT: &str = "parts";
const REQUEST_BODY: &str = r#"{"vehicle":"octavia-2019"}"#;

/// The quantities of [`by_services`].
pub const QUANTITIES: &[&str] = &["us_per_query", "resident_bytes"];

/// Measures the processor time of a query and the resident memory, by number of services of a
/// query.
pub fn by_services(services_count: u32) -> Vec<f64> {
    let quantities = actix_rt::System::new().block_on(measure(services_count));
    quantities.expect("the processes run")
}

async fn measure(services_count: u32) -> Result<Vec<f64>, RigError> {
    let rig = rig::open(&rig_plan(services_count)).await?;
    let low_latency = json!({"latency_ms": 1, "latency_spread_percent": 0});
    rig::set_target_behaviour(&rig, "all", &low_latency).await?;
    send_queries(&rig, WARM_UP_QUERIES_COUNT).await?;
    let queries_count = CALLS_PER_BATCH_COUNT / services_count;
    let mut min_processor_time = Duration::MAX;
    for _ in 0..BATCHES_COUNT {
        let before = rig::usage(&rig, 0)?.processor_time;
        send_queries(&rig, queries_count).await?;
        let after = rig::usage(&rig, 0)?.processor_time;
        min_processor_time = min_processor_time.min(after.saturating_sub(before));
    }
    let resident_bytes = rig::usage(&rig, 0)?.resident_bytes;
    rig.close().await?;
    Ok(vec![
        min_processor_time.as_secs_f64() * 1e6 / f64::from(queries_count),
        resident_bytes as f64,
    ])
}

fn rig_plan(services_count: u32) -> Plan {
    let zone = "north".to_owned();
    Plan {
        profile: Profile::Release,
        programs: None,
        zones: vec![zone.clone()],
        instances: vec![InstancePlan {
            name: "north-1".to_owned(),
            zone,
        }],
        fronts: vec![ServicePlan {
            front: FRONT.to_owned(),
            services_count,
            targets_count: 2,
            slots_count: 4,
            connections_max_count: 25,
            cold_bearable_count: 1,
        }],
        settings: json!({}),
        seed: 1,
    }
}

/// Divides queries among all callers, which send concurrently; a remainder is not sent.
async fn send_queries(rig: &Rig, queries_count: u32) -> Result<(), RigError> {
    let callers = (0..CALLERS_COUNT).map(|_| run_caller(rig, queries_count / CALLERS_COUNT));
    join_all(callers).await.into_iter().collect()
}

async fn run_caller(rig: &Rig, queries_count: u32) -> Result<(), RigError> {
    for _ in 0..queries_count {
        rig::query(rig, 0, FRONT, &[], REQUEST_BODY).await?;
    }
    Ok(())
}
