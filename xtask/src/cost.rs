//! `cargo xtask cost`: the latency and processor time that the tier adds, measured on loopback.
//!
//! One instance calls fake targets that reply without delay. The first load queries a front with
//! one service and, at the same rate, calls one of its targets directly, so the difference in
//! latency is the cost of the tier. The other loads query a front of 20 services at rising rates;
//! the processor time of the instance gives the queries per second that one core can serve.

use std::{net::SocketAddr, process::Stdio};

use rig::{Plan, Profile, Rig, ServicePlan};
use serde_json::{Value, json};
use tokio::process::Command;

use crate::error::TaskError;

/// Duration of each load in seconds.
const LOAD_S: u32 = 10;
/// Query rate of the comparison with direct calls, and rate of the direct calls.
const COMPARISON_RATE_PER_S: u32 = 200;
/// Query rates of the loads on the front of 20 services.
const RATES_PER_S: [u32; 4] = [50, 100, 200, 400];
/// Connections that a target accepts during the measurement, more than its note states.
const CONNECTIONS_MAX_COUNT: u32 = 1000;
/// Number of services of the larger front.
const SERVICES_COUNT: u32 = 20;

/// Runs all loads and prints their latency and processor time.
pub fn run() -> Result<(), TaskError> {
    let front = |name: &str, services_count| ServicePlan {
        front: name.to_owned(),
        services_count,
        targets_count: 2,
        slots_count: 64,
        connections_max_count: 64,
        cold_bearable_count: 64,
    };
    let plan = Plan {
        profile: Profile::Release,
        fronts: vec![front("one", 1), front("twenty", SERVICES_COUNT)],
        ..rig::plan(&["north"], 0)
    };
    let system = actix_rt::System::new();
    system.block_on(async {
        let rig = rig::open(&plan).await?;
        // The instance opens every connection that the note permits, so direct calls would be
        // refused without a higher limit at the targets.
        let change = json!({"latency_ms": 0, "connections_max_count": CONNECTIONS_MAX_COUNT});
        rig::set_target_behaviour(&rig, "all", &change).await?;
        let direct = rig.note.fleet.services[0].targets[0].address;
        println!(
            "one service, {COMPARISON_RATE_PER_S} queries per second and as many direct calls"
        );
        load(&rig, "one", COMPARISON_RATE_PER_S, Some(direct)).await?;
        for rate in RATES_PER_S {
            println!("{SERVICES_COUNT} services, {rate} queries per second");
            load(&rig, "twenty", rate, None).await?;
        }
        rig.close().await.map_err(TaskError::from)
    })
}

/// Runs one load and prints its latency quantiles and the instance's processor time.
async fn load(
    rig: &Rig,
    front: &str,
    rate: u32,
    direct: Option<SocketAddr>,
) -> Result<(), TaskError> {
    let file_error = |error| TaskError::File("balsamload".to_owned(), error);
    let path = rig.directory.path().join("cost.json");
    let mut command = Command::new(rig.programs.join("balsamload"));
    command
        .arg("--instance")
        .arg(rig.instances[0].callers.to_string());
    command.args(["--front", front, "--quiet", "--check-echo"]);
    command.arg("--rate").arg(rate.to_string());
    command.arg("--duration-s").arg(LOAD_S.to_string());
    command.arg("--json").arg(&path);
    if let Some(direct) = direct {
        command.arg("--direct").arg(direct.to_string());
    }
    let before = rig::usage(rig, 0)?;
    let status = command
        .stdin(Stdio::null())
        .kill_on_drop(true)
        .status()
        .await;
    let after = rig::usage(rig, 0)?;
    if !status.map_err(file_error)?.success() {
        return Err(TaskError::Command("balsamload".to_owned()));
    }
    let text = std::fs::read_to_string(path).map_err(file_error)?;
    let report: Value = serde_json::from_str(&text)
        .map_err(|error| TaskError::File("cost.json".to_owned(), error.into()))?;
    let processor_time = after.processor_time.saturating_sub(before.processor_time);
    print_report(&report, processor_time.as_secs_f64());
    Ok(())
}

fn print_report(report: &Value, processor_time_s: f64) {
    let sent = report["sent_count"].as_f64().unwrap_or(0.0);
    let cores = processor_time_s / f64::from(LOAD_S);
    println!(
        "  {sent} sent, {} complete, {} partial, coverage {:.4}",
        report["complete_count"],
        report["partial_count"],
        report["coverage_ratio"].as_f64().unwrap_or(0.0),
    );
    print_quantiles("through the tier", &report["service"]);
    if !report["direct"].is_null() {
        print_quantiles("direct", &report["direct"]);
        let added = |name: &str| {
            quantile_us(&report["service"], name) - quantile_us(&report["direct"], name)
        };
        println!("  added: p50 {} us, p99 {} us", added("p50"), added("p99"));
    }
    println!(
        "  {cores:.3} cores, {:.0} queries per second and core",
        sent / processor_time_s.max(f64::EPSILON)
    );
}

fn print_quantiles(name: &str, times: &Value) {
    let (p50, p99) = (quantile_us(times, "p50"), quantile_us(times, "p99"));
    println!("  {name}: p50 {p50} us, p99 {p99} us, measured from sending");
}

fn quantile_us(times: &Value, quantile: &str) -> i64 {
    times["quantiles_us"][quantile].as_i64().unwrap_or(0)
}
