//! `cargo xtask demo`: a fleet on loopback that is put under load and through failures.
//!
//! The demonstration has the shape of an instance: [`script::reduce`] takes in what was observed and
//! gives the next step as an effect; this module only carries the steps out.

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

/// Zones of the demonstration; each has one instance.
const ZONES: [&str; 3] = ["iseyin", "saki", "igboho"];

/// Runs the demonstration; it succeeds only if every promise held.
pub fn run(is_kept: bool) -> Result<(), TaskError> {
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
        println!("== starting the stand-ins and {} instances", ZONES.len());
        let mut rig = rig::open(&plan).await?;
        let shown = if is_kept {
            keep(&rig).await
        } else {
            show(&mut rig).await
        };
        rig.close().await?;
        shown
    })
}

async fn show(rig: &mut Rig) -> Result<(), TaskError> {
    let mut demo = Demo::default();
    let mut running = step::Running::default();
    let began = Instant::now();
    let mut next = script::reduce(&mut demo, Observation::Started);
    while let Some(step) = next {
        let seconds = began.elapsed().as_secs_f64();
        let observation = step::run(rig, &mut running, &step, seconds).await?;
        next = script::reduce(&mut demo, observation);
    }
    report(&promise::judge(&demo.observed))
}

fn report(promises: &[Promise]) -> Result<(), TaskError> {
    println!("\n== what was promised, and what was seen");
    for promise in promises {
        let verdict = if promise.is_held { "held  " } else { "BROKEN" };
        println!("{verdict}  {:<58} {}", promise.name, promise.seen);
    }
    let broken = promises.iter().filter(|promise| !promise.is_held);
    let broken: Vec<&str> = broken.map(|promise| promise.name).collect();
    if broken.is_empty() {
        Ok(())
    } else {
        Err(TaskError::Broken(broken.join("; ")))
    }
}

/// Leaves everything running until the person interrupts it.
async fn keep(rig: &Rig) -> Result<(), TaskError> {
    let programs = rig.programs.display();
    println!("\n== running; try these, and press Ctrl-C to end");
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
