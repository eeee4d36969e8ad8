//! Executes the steps of the scenario.

use std::{process::Stdio, time::Instant};

use note::ZoneState;
use rig::Rig;
use serde_json::{Value, json};
use tokio::process::{Child, Command};

use super::{
    observation::{Checkpoint, Counts, Observation},
    scenario::{AFFECTED_ZONE, LOAD_DURATION, SLOW_TARGET, Step},
};
use crate::error::TaskError;

/// Report of the load generator, in the rig's directory.
const REPORT_FILE: &str = "load.json";

/// Processes that run while further steps are executed.
#[derive(Debug, Default)]
pub struct BackgroundProcesses {
    load_generator: Option<Child>,
}

/// Executes a step and returns what it observed.
pub async fn execute(
    rig: &mut Rig,
    background: &mut BackgroundProcesses,
    step: &Step,
    elapsed_s: f64,
) -> Result<Observation, TaskError> {
    match *step {
        Step::Announce(text) => println!("\n{elapsed_s:5.1} s  {text}"),
        Step::Query => return send_query(rig).await,
        Step::StartLoad => background.load_generator = Some(start_load(rig)?),
        Step::SetLatency { latency_ms } => {
            rig::set_target_behaviour(rig, SLOW_TARGET, &json!({"latency_ms": latency_ms})).await?;
        }
        Step::SetZoneState(state) => return set_zone_state(rig, state).await,
        Step::Sleep(duration) => tokio::time::sleep(duration).await,
        Step::RecordCounts(checkpoint) => {
            return Ok(Observation::Counts(
                checkpoint,
                read_counts(rig, checkpoint).await?,
            ));
        }
        Step::PrintStatus => print_status(rig).await?,
        Step::AwaitLoad => return await_load(rig, background).await,
    }
    Ok(Observation::Done)
}

async fn send_query(rig: &Rig) -> Result<Observation, TaskError> {
    let start = Instant::now();
    let reply = rig::query(rig, 0, "contract-desk", &[], "{\"lot\": 7}").await?;
    let duration = start.elapsed();
    println!(
        "         {}, {} of {} services, snapshot {}, {:.1} ms",
        reply.body["outcome"]["state"].as_str().unwrap_or("?"),
        reply.body["coverage"]["answered_count"],
        reply.body["coverage"]["total_count"],
        reply.body["snapshot"],
        duration.as_secs_f64() * 1000.0,
    );
    Ok(Observation::Answer(reply.body))
}

fn start_load(rig: &Rig) -> Result<Child, TaskError> {
    let mut command = Command::new(rig.programs.join("balsamload"));
    for instance in &rig.instances {
        command.arg("--instance").arg(instance.callers.to_string());
        command
            .arg("--operators")
            .arg(instance.operators.to_string());
    }
    command.args(["--front", "contract-desk", "--rate", "60", "--check-echo"]);
    command.args(["--timeout-ms", "1000", "--quiet"]);
    command
        .arg("--duration-s")
        .arg(LOAD_DURATION.as_secs().to_string());
    command
        .arg("--json")
        .arg(rig.directory.path().join(REPORT_FILE));
    command.stdin(Stdio::null()).kill_on_drop(true);
    let child = command.spawn();
    child.map_err(|error| TaskError::File("balsamload".to_owned(), error))
}

async fn set_zone_state(rig: &mut Rig, state: ZoneState) -> Result<Observation, TaskError> {
    let start = Instant::now();
    let revision = rig::publish(rig, |fleet| {
        let zones = fleet
            .zones
            .iter_mut()
            .filter(|zone| zone.name == AFFECTED_ZONE);
        zones.for_each(|zone| zone.state = state);
    })
    .await?;
    for instance in 0..rig.instances.len() {
        rig::wait_ready(rig, instance, revision).await?;
    }
    let propagation_time = start.elapsed();
    println!(
        "         every instance applied revision {revision} within {} ms",
        propagation_time.as_millis()
    );
    Ok(Observation::PropagationTime(propagation_time))
}

async fn read_counts(rig: &Rig, checkpoint: Checkpoint) -> Result<Counts, TaskError> {
    let reports = rig::target_reports(rig).await?;
    let reports: Vec<&Value> = reports
        .as_object()
        .into_iter()
        .flat_map(|all| all.values())
        .collect();
    let in_zone = reports
        .iter()
        .filter(|report| report["zone"] == AFFECTED_ZONE);
    let received = in_zone.filter_map(|report| report["counts"]["received_count"].as_u64());
    let excess = reports
        .iter()
        .filter_map(|report| report["counts"]["cold_excess_count"].as_u64());
    let mut hedges_count = 0.0;
    for instance in 0..rig.instances.len() {
        let metrics = rig::metrics(rig, instance).await?;
        let hedges = metrics.get("balsamd_hedge_calls_total");
        hedges_count += hedges.copied().unwrap_or(0.0);
    }
    let counts = Counts {
        zone_received_count: received.sum(),
        cold_excess_count: excess.sum(),
        connections_ratio: reports
            .iter()
            .map(|report| connections_ratio(report))
            .fold(0.0, f64::max),
        hedges_count,
    };
    println!(
        "         {checkpoint}: zone {AFFECTED_ZONE} has received {} calls; {} hedged calls so far",
        counts.zone_received_count, counts.hedges_count
    );
    Ok(counts)
}

fn connections_ratio(report: &Value) -> f64 {
    let peak = report["counts"]["connections_peak_count"].as_f64();
    let refused = report["counts"]["connections_refused_count"].as_f64();
    let limit = report["behaviour"]["connections_max_count"].as_f64();
    let attempted = peak.unwrap_or(0.0) + refused.unwrap_or(0.0);
    attempted / limit.unwrap_or(1.0)
}

async fn print_status(rig: &Rig) -> Result<(), TaskError> {
    let mut command = Command::new(rig.programs.join("balsamctl"));
    command.arg("status");
    for instance in &rig.instances {
        command
            .arg("--instance")
            .arg(instance.operators.to_string());
    }
    let result = command.status().await;
    match result {
        Ok(status) if status.success() => Ok(()),
        Ok(_) => Err(TaskError::Command("balsamctl status".to_owned())),
        Err(error) => Err(TaskError::File("balsamctl".to_owned(), error)),
    }
}

async fn await_load(
    rig: &Rig,
    background: &mut BackgroundProcesses,
) -> Result<Observation, TaskError> {
    let file_error = |error| TaskError::File(REPORT_FILE.to_owned(), error);
    if let Some(mut load_generator) = background.load_generator.take() {
        load_generator.wait().await.map_err(file_error)?;
    }
    let path = rig.directory.path().join(REPORT_FILE);
    let text = std::fs::read_to_string(path).map_err(file_error)?;
    let report: Value = serde_json::from_str(&text)
        .map_err(|error| TaskError::File(REPORT_FILE.to_owned(), error.into()))?;
    println!(
        "         {} requests, coverage {:.4}, extra load {:.4}, p50 {} us, p99 {} us",
        report["sent_count"],
        report["coverage_ratio"].as_f64().unwrap_or(0.0),
        report["extra_load_ratio"].as_f64().unwrap_or(0.0),
        report["latency"]["quantiles_us"]["p50"],
        report["latency"]["quantiles_us"]["p99"],
    );
    Ok(Observation::LoadResult(report))
}
