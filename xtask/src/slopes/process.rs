//! The processor time and memory of a real instance, measured over loopback.

use std::time::Duration;

use futures_util::future::join_all;
use rig::{InstancePlan, Plan, Profile, Rig, RigError, ServicePlan};
use serde_json::json;

/// Service calls that each batch makes.
const CALLS_PER_BATCH_COUNT: u32 = 10_000;
/// Batches of which the cheapest counts, because other load only ever adds time.
const BATCHES_COUNT: u32 = 5;
/// Queries before the measurement, which open connections and warm the targets.
const WARM_UP_QUERIES_COUNT: u32 = 200;
/// Callers, each of which waits for its answer before it asks again.
const CALLERS_COUNT: u32 = 4;
const FRONT: &str = "parts";
const REQUEST_BODY: &str = r#"{"vehicle":"octavia-2019"}"#;

/// The quantities of [`by_services`].
pub const QUANTITIES: &[&str] = &["us_per_query", "resident_bytes"];

/// Processor time of a query and memory of the process, against the services of the query.
pub fn by_services(services_count: u32) -> Vec<f64> {
    let measured = actix_rt::System::new().block_on(measured(services_count));
    measured.expect("the processes run")
}

async fn measured(services_count: u32) -> Result<Vec<f64>, RigError> {
    let rig = rig::open(&plan(services_count)).await?;
    let fast = json!({"latency_ms": 1, "latency_spread_percent": 0});
    rig::steer_target(&rig, "all", &fast).await?;
    ask(&rig, WARM_UP_QUERIES_COUNT).await?;
    let queries_count = CALLS_PER_BATCH_COUNT / services_count;
    let mut least = Duration::MAX;
    for _ in 0..BATCHES_COUNT {
        let before = rig::usage(&rig, 0)?.processor_time;
        ask(&rig, queries_count).await?;
        let after = rig::usage(&rig, 0)?.processor_time;
        least = least.min(after.saturating_sub(before));
    }
    let resident_bytes = rig::usage(&rig, 0)?.resident_bytes;
    rig.close().await?;
    Ok(vec![
        least.as_secs_f64() * 1e6 / f64::from(queries_count),
        resident_bytes as f64,
    ])
}

fn plan(services_count: u32) -> Plan {
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

/// Sends queries through all callers at the same time.
async fn ask(rig: &Rig, queries_count: u32) -> Result<(), RigError> {
    let callers = (0..CALLERS_COUNT).map(|_| call(rig, queries_count / CALLERS_COUNT));
    join_all(callers).await.into_iter().collect()
}

async fn call(rig: &Rig, queries_count: u32) -> Result<(), RigError> {
    for _ in 0..queries_count {
        rig::query(rig, 0, FRONT, &[], REQUEST_BODY).await?;
    }
    Ok(())
}
