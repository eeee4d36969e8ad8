//! Rolling restart of every instance under load.

use std::{net::SocketAddr, time::Duration};

use rig::{Rig, RigError, Signal, plan};
use serde_json::json;

use crate::load::{self, is_complete};

/// Time after which a load balancer stops sending queries to an instance that is not ready.
const LOAD_BALANCER_DELAY: Duration = Duration::from_millis(500);
const EXIT_TIMEOUT: Duration = Duration::from_secs(20);

#[actix_rt::test]
async fn a_rolling_restart_under_load_fails_no_request() -> Result<(), RigError> {
    let mut plan = plan(&["north", "south", "west"], 3);
    plan.settings = json!({"fleet": {"leave_quiet_ms": 1000}});
    let mut rig = rig::open(&plan).await?;
    let load = load::spawn(&rig.client, callers(&rig, None));
    for instance in 0..rig.instances.len() {
        rig::signal(&rig, instance, Signal::Terminate)?;
        actix_rt::time::sleep(LOAD_BALANCER_DELAY).await;
        load::set_addresses(&load, callers(&rig, Some(instance)));
        let status = rig::wait_exit(&mut rig, instance, EXIT_TIMEOUT).await?;
        assert!(status.success(), "{status:?}");
        rig::start(&mut rig, instance).await?;
        rig::wait_ready(&rig, instance, 1).await?;
        load::set_addresses(&load, callers(&rig, None));
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

/// Returns the callers' ports of all instances except the excluded one.
fn callers(rig: &Rig, excluded: Option<usize>) -> Vec<SocketAddr> {
    let instances = rig.instances.iter().enumerate();
    let instances = instances.filter(|(index, _)| Some(*index) != excluded);
    instances.map(|(_, instance)| instance.callers).collect()
}
