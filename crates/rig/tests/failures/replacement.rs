//! The replacement of every instance, one after the other.

use std::{net::SocketAddr, time::Duration};

use rig::{Rig, RigError, Signal, plan};
use serde_json::json;

use crate::load::{self, is_complete};

/// Time after which the balancer no longer sends queries to an instance that is not ready.
const BALANCER_LAG: Duration = Duration::from_millis(500);
const EXIT_LIMIT: Duration = Duration::from_secs(20);

#[actix_rt::test]
async fn all_instances_are_replaced_under_load_without_a_failed_request() -> Result<(), RigError> {
    let mut plan = plan(&["north", "south", "west"], 3);
    plan.settings = json!({"fleet": {"leave_quiet_ms": 1000}});
    let mut rig = rig::open(&plan).await?;
    let load = load::spawn(&rig.client, callers(&rig, None));
    for instance in 0..rig.instances.len() {
        rig::signal(&rig, instance, Signal::Terminate)?;
        actix_rt::time::sleep(BALANCER_LAG).await;
        load::rotate(&load, callers(&rig, Some(instance)));
        let status = rig::wait_exit(&mut rig, instance, EXIT_LIMIT).await?;
        assert!(status.success(), "{status:?}");
        rig::start(&mut rig, instance).await?;
        rig::wait_ready(&rig, instance, 1).await?;
        load::rotate(&load, callers(&rig, None));
    }
    let replies = load.close().await?;
    let failed: Vec<_> = replies.iter().filter(|reply| !is_complete(reply)).collect();
    assert!(
        failed.is_empty(),
        "{} of {}: {failed:?}",
        failed.len(),
        replies.len()
    );
    rig.close().await
}

/// Returns the callers' ports of all instances but one.
fn callers(rig: &Rig, without: Option<usize>) -> Vec<SocketAddr> {
    let instances = rig.instances.iter().enumerate();
    let instances = instances.filter(|(index, _)| Some(*index) != without);
    instances.map(|(_, one)| one.callers).collect()
}
