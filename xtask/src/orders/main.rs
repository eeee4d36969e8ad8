//! What becomes of orders under faults, with real processes: the tier against callers that repeat
//! an order on any error, judged by the targets' own ledger.
//!
//! Invariant: the program fails if the ledger shows that a promise was broken.

mod caller;
mod exchange;
mod fault;
mod judge;
mod latency;
mod load;

use std::{process::ExitCode, time::Duration};

use bpaf::{Parser, construct, long};
use rig::{InstancePlan, Plan, Profile, RigError};
use serde_json::json;

use crate::{caller::Policy, fault::Fault, judge::Verdict};

/// Execution time of the targets, long enough that faults meet running calls.
const TARGET_LATENCY_MS: u64 = 10;

/// What the program is asked to do.
#[derive(Clone, Debug)]
struct Arguments {
    seconds: u64,
    only: Option<String>,
    priority: String,
}

fn main() -> ExitCode {
    let arguments = arguments()
        .to_options()
        .descr("Outcomes of orders under faults")
        .run();
    match actix_rt::System::new().block_on(run(&arguments)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => {
            eprintln!("error: a promise was broken");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

fn arguments() -> impl Parser<Arguments> {
    let seconds = long("seconds")
        .help("Time under each fault")
        .argument("NUMBER")
        .fallback(6);
    let only = long("only")
        .help("Only faults whose name contains this text, or `latency`")
        .argument("TEXT")
        .optional();
    let priority = long("priority")
        .help("Priority of the orders: urgent, normal or deferrable")
        .argument("WORD")
        .fallback("normal".to_owned());
    construct!(Arguments {
        seconds,
        only,
        priority
    })
}

async fn run(arguments: &Arguments) -> Result<bool, RigError> {
    let programs = rig::build(Profile::Release)?;
    let mut is_kept = true;
    let is_wanted = |name: &str| {
        let only = arguments.only.as_deref();
        only.is_none_or(|text| name.contains(text))
    };
    println!("{}", judge::header());
    for policy in [Policy::Tier, Policy::Naive] {
        for fault in fault::ALL {
            if !is_wanted(fault::name(fault)) || !fault::concerns(fault, policy) {
                continue;
            }
            let mut plan = plan(&programs);
            if policy == Policy::Naive {
                // The instances would hold most of the targets' connections.
                plan.instances.clear();
            }
            let verdict = one_fault(&plan, policy, fault, arguments).await?;
            println!("{}", judge::row(policy, fault, &verdict));
            is_kept &= policy == Policy::Naive || judge::is_kept(&verdict);
        }
    }
    if is_wanted("latency") {
        latency::measure(&plan(&programs)).await?;
    }
    Ok(is_kept)
}

async fn one_fault(
    plan: &Plan,
    policy: Policy,
    fault: Fault,
    arguments: &Arguments,
) -> Result<Verdict, RigError> {
    let mut rig = rig::open(plan).await?;
    let behaviour = json!({"latency_ms": TARGET_LATENCY_MS, "restart_after_ms": 200});
    for target in fault::target_names(&rig) {
        rig::steer_target(&rig, &target, &behaviour).await?;
    }
    let running = load::spawn(&rig, policy, &arguments.priority);
    fault::disturb(
        &mut rig,
        fault,
        &running,
        Duration::from_secs(arguments.seconds),
    )
    .await?;
    let ends = running.close().await;
    let ledger = rig::ledger(&rig).await?;
    rig.close().await?;
    Ok(judge::judge(&ends, &ledger))
}

/// Returns three instances in three zones and one service of four targets.
fn plan(programs: &std::path::Path) -> Plan {
    let mut plan = rig::plan(&["iseyin", "saki", "igboho"], 1);
    plan.instances = ["iseyin", "saki", "igboho"]
        .map(|zone| InstancePlan {
            name: format!("{zone}-1"),
            zone: zone.to_owned(),
        })
        .into();
    plan.fronts[0].targets_count = 4;
    plan.fronts[0].connections_max_count = 64;
    plan.programs = Some(programs.to_owned());
    plan
}
