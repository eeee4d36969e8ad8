//! The faults that callers meet.

use std::time::{Duration, Instant};

use rig::{Rig, RigError, Signal};
use serde_json::json;

use crate::{caller::Policy, load::Load};

/// Time between two occurrences of a fault.
const PERIOD: Duration = Duration::from_millis(500);
/// Time that the balancer takes to notice that an instance is not ready.
const BALANCER_LAG: Duration = Duration::from_millis(200);
/// Time that a graceful shutdown may take.
const EXIT_LIMIT: Duration = Duration::from_secs(30);

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing happens.
    None,
    /// Targets crash one after the other and come back cold.
    TargetCrash,
    /// One target sheds every call.
    TargetSheds,
    /// One target takes calls and never replies.
    TargetSilent,
    /// Instances are killed one after the other and started again.
    InstanceKill,
    /// Instances pause one after the other.
    InstancePause,
    /// Every instance is replaced gracefully, one after the other.
    RollingReplacement,
}

/// Every fault.
pub const ALL: [Fault; 7] = [
    Fault::None,
    Fault::TargetCrash,
    Fault::TargetSheds,
    Fault::TargetSilent,
    Fault::InstanceKill,
    Fault::InstancePause,
    Fault::RollingReplacement,
];

/// Returns the name of a fault.
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

/// Tells whether a fault can reach callers of a policy; naive callers use no instance.
pub fn concerns(fault: Fault, policy: Policy) -> bool {
    let is_of_targets = matches!(
        fault,
        Fault::None | Fault::TargetCrash | Fault::TargetSheds | Fault::TargetSilent
    );
    policy == Policy::Tier || is_of_targets
}

/// Returns the names of all targets.
pub fn target_names(rig: &Rig) -> Vec<String> {
    let services = rig.note.fleet.services.iter();
    let targets = services.flat_map(|service| service.targets.iter());
    targets.map(|target| target.name.clone()).collect()
}

/// Lets a fault happen for a time.
pub async fn disturb(
    rig: &mut Rig,
    fault: Fault,
    load: &Load,
    duration: Duration,
) -> Result<(), RigError> {
    let targets = target_names(rig);
    let instances_count = rig.instances.len();
    let steered = match fault {
        Fault::TargetSheds => Some(json!({"is_shedding": true})),
        Fault::TargetSilent => Some(json!({"is_silent": true})),
        _ => None,
    };
    if let Some(change) = steered {
        rig::steer_target(rig, &targets[0], &change).await?;
    }
    if fault == Fault::RollingReplacement {
        return replace_all(rig, load).await;
    }
    let start = Instant::now();
    for round in 0.. {
        tokio::time::sleep(PERIOD).await;
        if start.elapsed() >= duration {
            break;
        }
        let instance = round % instances_count.max(1);
        match fault {
            Fault::TargetCrash => rig::crash(rig, &targets[round % targets.len()]).await?,
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

async fn replace_all(rig: &mut Rig, load: &Load) -> Result<(), RigError> {
    for instance in 0..rig.instances.len() {
        rig::signal(rig, instance, Signal::Terminate)?;
        tokio::time::sleep(BALANCER_LAG).await;
        load.list(instance, false);
        let status = rig::wait_exit(rig, instance, EXIT_LIMIT).await?;
        if !status.success() {
            let name = rig.instances[instance].name.clone();
            return Err(RigError::NoExit(format!("{name}: {status}")));
        }
        rig::start(rig, instance).await?;
        rig::wait_ready(rig, instance, 1).await?;
        load.list(instance, true);
    }
    Ok(())
}
