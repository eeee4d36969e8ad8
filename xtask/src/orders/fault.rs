//! The faults that are injected while callers send orders.

use std::time::{Duration, Instant};

use rig::{Rig, RigError, Signal};
use serde_json::json;

use crate::{caller::Policy, load::Load};

/// Time between two occurrences of a fault.
const FAULT_INTERVAL: Duration = Duration::from_millis(500);
/// Time that the load balancer takes to notice that an instance is not ready.
const LOAD_BALANCER_LAG: Duration = Duration::from_millis(200);
/// Time limit of a graceful shutdown.
const EXIT_TIMEOUT: Duration = Duration::from_secs(30);

/// A fault to inject; its name in the table is that of [`name`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault: the reference for the others.
    None,
    /// Targets crash one after the other and restart in cold start.
    TargetCrash,
    /// One target sheds every call.
    TargetSheds,
    /// One target accepts calls and never replies.
    TargetSilent,
    /// Instances are killed one after the other and restarted.
    InstanceKill,
    /// Instances are stopped by a signal and continued, one after the other.
    InstancePause,
    /// Every instance is shut down gracefully and started again, one after the other.
    RollingReplacement,
}

/// All faults in the order in which they are measured.
pub const ALL: [Fault; 7] = [
    Fault::None,
    Fault::TargetCrash,
    Fault::TargetSheds,
    Fault::TargetSilent,
    Fault::InstanceKill,
    Fault::InstancePause,
    Fault::RollingReplacement,
];

/// Returns the name of a fault, as printed in the table and matched by `--only`.
pub fn name(fault: Fault) -> &'static str {
    match fault {
        Fault::None => "none",
        Fault::TargetCrash => "target crash, every 0.5 s",
        Fault::TargetSheds => "one target sheds",
        Fault::TargetSilent => "one target silent",
        Fault::InstanceKill => "instance kill -9, every 0.5 s",
        Fault::InstancePause => "instance pause 0.4 s, every 0.9 s",
        Fault::RollingReplacement => "rolling replacement",
    }
}

/// Returns whether a fault can affect callers of a policy. Naive callers use no instance, so faults
/// of instances do not affect them.
pub fn affects(fault: Fault, policy: Policy) -> bool {
    let is_target_fault = matches!(
        fault,
        Fault::None | Fault::TargetCrash | Fault::TargetSheds | Fault::TargetSilent
    );
    policy == Policy::Tier || is_target_fault
}

/// Returns the names of all targets.
pub fn target_names(rig: &Rig) -> Vec<String> {
    let services = rig.note.fleet.services.iter();
    let targets = services.flat_map(|service| service.targets.iter());
    targets.map(|target| target.name.clone()).collect()
}

/// Injects a fault for `duration`; a rolling replacement takes as long as it needs.
pub async fn inject(
    rig: &mut Rig,
    fault: Fault,
    load: &Load,
    duration: Duration,
) -> Result<(), RigError> {
    let targets = target_names(rig);
    let instances_count = rig.instances.len();
    let behaviour = match fault {
        Fault::TargetSheds => Some(json!({"is_shedding": true})),
        Fault::TargetSilent => Some(json!({"is_silent": true})),
        _ => None,
    };
    if let Some(change) = behaviour {
        rig::set_target_behaviour(rig, &targets[0], &change).await?;
    }
    if fault == Fault::RollingReplacement {
        return replace_instances(rig, load).await;
    }
    let start = Instant::now();
    for round in 0.. {
        tokio::time::sleep(FAULT_INTERVAL).await;
        if start.elapsed() >= duration {
            break;
        }
        let instance = round % instances_count.max(1);
        match fault {
            Fault::TargetCrash => rig::crash_target(rig, &targets[round % targets.len()]).await?,
            Fault::InstanceKill => rig::restart(rig, instance).await?,
            Fault::InstancePause => {
                rig::signal(rig, instance, Signal::Stop)?;
                tokio::time::sleep(Duration::from_millis(400)).await;
                rig::signal(rig, instance, Signal::Continue)?;
            }
            _ => {}
        }
    }
    Ok(())
}

async fn replace_instances(rig: &mut Rig, load: &Load) -> Result<(), RigError> {
    for instance in 0..rig.instances.len() {
        rig::signal(rig, instance, Signal::Terminate)?;
        tokio::time::sleep(LOAD_BALANCER_LAG).await;
        load.set_listed(instance, false);
        let status = rig::wait_exit(rig, instance, EXIT_TIMEOUT).await?;
        if !status.success() {
            let name = rig.instances[instance].name.clone();
            return Err(RigError::ExitTimeout(format!("{name}: {status}")));
        }
        rig::start(rig, instance).await?;
        rig::wait_ready(rig, instance, 1).await?;
        load.set_listed(instance, true);
    }
    Ok(())
}
