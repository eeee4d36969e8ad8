//! `cargo xtask demo`: runs a fleet on loopback under load and injected failures.
//!
//! Like an instance, the demo separates decisions from effects: [`scenario::reduce`] records an
//! observation and returns the next step as data; [`step::execute`] carries it out.

mod expectation;
mod observation;
mod scenario;
mod step;

#[cfg(test)]
mod tests;

use std::time::Instant;

use rig::{Plan, Profile, Rig, ServicePlan};

use crate::error::TaskError;
use expectation::Expectation;
use observation::Observation;
use scenario::Demo;

/// Availability zones of the demo, with one instance each.
const ZONES: [&str; 3] = ["iseyin", "saki", "igboho"];

/// Runs the demo, or with `is_interactive` only starts the fleet and waits for Ctrl-C.
///
/// # Errors
///
/// Returns an error if a program cannot be run or if an expectation is not met.
pub fn run(is_interactive: bool) -> Result<(), TaskError> {
    println!("== building the binaries");
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
            "== starting the simulated services and {} instances",
            ZONES.len()
        );
        let mut rig = rig::open(&plan).await?;
        let result = if is_interactive {
            wait_for_interrupt(&rig).await
        } else {
            run_scenario(&mut rig).await
        };
        rig.close().await?;
        result
    })
}

async fn run_scenario(rig: &mut Rig) -> Result<(), TaskError> {
    let mut demo = Demo::default();
    let mut background = step::BackgroundProcesses::default();
    let start = Instant::now();
    let mut next = scenario::reduce(&mut demo, Observation::Started);
    while let Some(step) = next {
        let elapsed_s = start.elapsed().as_secs_f64();
        let observation = step::execute(rig, &mut background, &step, elapsed_s).await?;
        next = scenario::reduce(&mut demo, observation);
    }
    report(&expectation::evaluate(&demo.observations))
}

fn report(expectations: &[Expectation]) -> Result<(), TaskError> {
    println!("\n== expected and observed behaviour");
    for expectation in expectations {
        let verdict = if expectation.is_met {
            "ok    "
        } else {
            "FAILED"
        };
        println!("{verdict}  {:<58} {}", expectation.name, expectation.actual);
    }
    let failed = expectations
        .iter()
        .filter(|expectation| !expectation.is_met);
    let failed: Vec<&str> = failed.map(|expectation| expectation.name).collect();
    if failed.is_empty() {
        Ok(())
    } else {
        Err(TaskError::ChecksFailed(failed.join("; ")))
    }
}

/// Prints example commands and keeps the fleet running until Ctrl-C.
async fn wait_for_interrupt(rig: &Rig) -> Result<(), TaskError> {
    let programs = rig.programs.display();
    println!("\n== running; example commands follow, press Ctrl-C to stop");
    let operators: Vec<String> = rig
        .instances
        .iter()
        .map(|instance| format!("--instance {}", instance.operators))
        .collect();
    println!("{programs}/balsamctl status {}", operators.join(" "));
    for instance in &rig.instances {
        println!(
            "{programs}/balsamctl query --instance {} contract-desk '{{\"lot\": 7}}'",
            instance.callers
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
