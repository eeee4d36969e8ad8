//! `cargo xtask demo`: runs a fleet on loopback under load and with injected failures.
//!
//! The demonstration is a reducer like that of an instance: [`script::reduce`] takes an observation
//! and returns the next step as an effect; this module only executes the steps.

mod observe;
mod promise;
mod script;
mod step;

#[cfg(test)]
mod tests;

use std::time::Instant;

use rig::{Plan, Profile, Rig, ServicePlan};

use crate::error::TaskError;
use observe::Observation;
use promise::Promise;
use script::Demo;

/// Availability zones of the demonstration; each has one instance.
const ZONES: [&str; 3] = ["iseyin", "saki", "igboho"];

/// Runs the demonstration and fails if one of its checks fails. With `is_interactive` it starts the
/// fleet, injects nothing and runs until Ctrl-C.
pub fn run(is_interactive: bool) -> Result<(), TaskError> {
    println!("== building the programs");
    let programs = rig::build(Profile::Debug)?;
    let plan = Plan {
        programs: Some(programs),
        fronts: vec![ServicePlan {
            front: "contract-desk".to_owned(),
            services_count: 20,
            targets_count: 2,
            slots_count: 3,
            connections_max_count: 30,
            cold_bearable_count: 3,
        }],
        ..rig::plan(&ZONES, 0)
    };
    let system = actix_rt::System::new();
    system.block_on(async {
        println!(
            "== starting the fake platform and targets and {} instances",
            ZONES.len()
        );
        let mut rig = rig::open(&plan).await?;
        let result = if is_interactive {
            wait_for_interrupt(&rig).await
        } else {
            run_script(&mut rig).await
        };
        rig.close().await?;
        result
    })
}

async fn run_script(rig: &mut Rig) -> Result<(), TaskError> {
    let mut demo = Demo::default();
    let mut running = step::Running::default();
    let start = Instant::now();
    let mut next = script::reduce(&mut demo, Observation::Started);
    while let Some(step) = next {
        let seconds = start.elapsed().as_secs_f64();
        let observation = step::run(rig, &mut running, &step, seconds).await?;
        next = script::reduce(&mut demo, observation);
    }
    print_checks(&promise::judge(&demo.observed))
}

/// Prints the result of every check; returns an error that names the failed ones.
fn print_checks(checks: &[Promise]) -> Result<(), TaskError> {
    println!("\n== checks: expectation and observed value");
    for check in checks {
        let verdict = if check.is_held { "passed" } else { "FAILED" };
        println!("{verdict}  {:<58} {}", check.name, check.seen);
    }
    let failed = checks.iter().filter(|check| !check.is_held);
    let failed: Vec<&str> = failed.map(|check| check.name).collect();
    if failed.is_empty() {
        Ok(())
    } else {
        Err(TaskError::ChecksFailed(failed.join("; ")))
    }
}

/// Prints commands to try against the running fleet and waits for Ctrl-C.
async fn wait_for_interrupt(rig: &Rig) -> Result<(), TaskError> {
    let programs = rig.programs.display();
    println!("\n== running; try these commands, press Ctrl-C to stop");
    let operators: Vec<String> = rig
        .instances
        .iter()
        .map(|one| format!("--instance {}", one.operators))
        .collect();
    println!("{programs}/balsamctl status {}", operators.join(" "));
    for one in &rig.instances {
        println!(
            "{programs}/balsamctl query --instance {} contract-desk '{{\"lot\": 7}}'",
            one.callers
        );
    }
    println!("{programs}/balsamctl dump {}", operators[0]);
    println!("curl http://{}/v1/targets", rig.control);
    println!(
        "curl -X PUT -d '{{\"latency_ms\": 300}}' http://{}/v1/targets/contract-desk-07-t1",
        rig.control
    );
    let interrupted = tokio::signal::ctrl_c().await;
    interrupted.map_err(|error| TaskError::File("the terminal".to_owned(), error))
}
