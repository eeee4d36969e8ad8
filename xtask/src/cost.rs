//! `cargo xtask cost`: what the tier itself costs on loopback.
//!
//! One instance in front of stand-ins that execute at once. The first load goes to a front with one
//! service and as often directly to a target of it, so the difference is the tier. The others go to
//! a front of 20 services at rising rates; processor time of the instance gives queries a second
//! for each core.

use std::{net::SocketAddr, process::Stdio};

use rig::{Plan, Profile, Rig, ServicePlan};
use serde_json::{Value, json};
use tokio::process::Command;

use crate::error::TaskError;

/// Seconds of each load.
const LOAD_S: u32 = 10;
/// Queries a second of the comparison with direct calls.
const COMPARED_RATE: u32 = 200;
/// Queries a second to 20 services.
const RATES: [u32; 4] = [50, 100, 200, 400];
/// Connections that a target really accepts.
const CONNECTIONS_MAX_COUNT: u32 = 1000;
/// Services of the larger front.
const SERVICES_COUNT: u32 = 20;

/// Runs the loads and prints what they cost.
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
        // The instance holds all connections that the note permits; direct calls need more.
        let change = json!({"latency_ms": 0, "connections_max_count": CONNECTIONS_MAX_COUNT});
        rig::steer_target(&rig, "all", &change).await?;
        let direct = rig.note.fleet.services[0].targets[0].address;
        println!("one service, {COMPARED_RATE} queries a second, and as many direct calls");
        load(&rig, "one", COMPARED_RATE, Some(direct)).await?;
        for rate in RATES {
            println!("{SERVICES_COUNT} services, {rate} queries a second");
            load(&rig, "twenty", rate, None).await?;
        }
        rig.close().await.map_err(TaskError::from)
    })
}

/// Runs one load and prints its quantiles and the instance's processor time.
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
    let spent = after.processor_time.saturating_sub(before.processor_time);
    print(&report, spent.as_secs_f64());
    Ok(())
}

fn print(report: &Value, spent_s: f64) {
    let sent = report["sent_count"].as_f64().unwrap_or(0.0);
    let cores = spent_s / f64::from(LOAD_S);
    println!(
        "  {sent} sent, {} complete, {} partial, coverage {:.4}",
        report["complete_count"],
        report["partial_count"],
        report["coverage_ratio"].as_f64().unwrap_or(0.0),
    );
    show("through the tier", &report["service"]);
    if !report["direct"].is_null() {
        show("direct", &report["direct"]);
        let added = |name: &str| micros(&report["service"], name) - micros(&report["direct"], name);
        println!("  added: p50 {} us, p99 {} us", added("p50"), added("p99"));
    }
    println!(
        "  {cores:.3} cores, {:.0} queries a second for each core",
        sent / spent_s.max(f64::EPSILON)
    );
}

fn show(name: &str, times: &Value) {
    let (p50, p99) = (micros(times, "p50"), micros(times, "p99"));
    println!("  {name}: p50 {p50} us, p99 {p99} us, from sending");
}

fn micros(times: &Value, quantile: &str) -> i64 {
    times["quantiles_us"][quantile].as_i64().unwrap_or(0)
}
