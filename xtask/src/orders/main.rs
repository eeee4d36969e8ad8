//! Measures the outcomes of orders (non-idempotent requests) under faults, with real processes.
//! Callers of the tier are compared with naive callers, which call targets directly and retry on
//! any error. The outcomes that callers were told are checked against the targets' ledger of
//! executions.
//!
//! Invariant: the program fails if, for callers of the tier, an order was executed twice or an
//! outcome contradicts the ledger. Naive callers may violate both.

mod audit;
mod caller;
mod fault;
mod http;
mod latency;
mod load;

use std::{process::ExitCode, time::Duration};

use bpaf::{Parser, construct, long};
use rig::{InstancePlan, Plan, Profile, RigError};
use serde_json::json;

use crate::{audit::OutcomeCounts, caller::Policy, fault::Fault};

/// Execution time of a call, long enough that faults occur while calls are executing.
const TARGET_LATENCY_MS: u64 = 10;

/// Command-line arguments.
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
            eprintln!(
                "error: reported outcomes contradict the targets' ledger, or no order was sent"
            );
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
        .help("Duration of each fault in seconds")
        .argument("NUMBER")
        .fallback(6);
    let only = long("only")
        .help("Run only faults whose name contains this text; `latency` selects the latency table")
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
    let mut is_consistent = true;
    let is_wanted = |name: &str| {
        let only = arguments.only.as_deref();
        only.is_none_or(|text| name.contains(text))
    };
    println!("{}", audit::header());
    for policy in [Policy::Tier, Policy::Naive] {
        for fault in fault::ALL {
            if !is_wanted(fault::name(fault)) || !fault::affects(fault, policy) {
                continue;
            }
            let mut plan = plan(&programs);
            if policy == Policy::Naive {
                // Instances would hold most of the targets' connections, which naive callers need.
                plan.instances.clear();
            }
            let counts = measure_fault(&plan, policy, fault, arguments).await?;
            println!("{}", audit::row(policy, fault, &counts));
            is_consistent &= policy == Policy::Naive || audit::is_consistent(&counts);
        }
    }
    if is_wanted("latency") {
        latency::measure(&plan(&programs)).await?;
    }
    Ok(is_consistent)
}

async fn measure_fault(
    plan: &Plan,
    policy: Policy,
    fault: Fault,
    arguments: &Arguments,
) -> Result<OutcomeCounts, RigError> {
    let mut rig = rig::open(plan).await?;
    let behaviour = json!({"latency_ms": TARGET_LATENCY_MS, "restart_after_ms": 200});
    for target in fault::target_names(&rig) {
        rig::set_target_behaviour(&rig, &target, &behaviour).await?;
    }
    let load = load::spawn(&rig, policy, &arguments.priority);
    fault::inject(
        &mut rig,
        fault,
        &load,
        Duration::from_secs(arguments.seconds),
    )
    .await?;
    let outcomes = load.finish().await;
    let ledger = rig::ledger(&rig).await?;
    rig.close().await?;
    Ok(audit::compare(&outcomes, &ledger))
}

/// Returns a plan of three instances in three availability zones and one service with four targets.
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
