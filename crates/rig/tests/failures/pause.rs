//! An instance that is paused and resumed.

use std::time::Duration;

use futures_util::future::join;
use note::ZoneState;
use rig::{RigError, Signal, plan};

use crate::load::{is_complete, received_count};

/// Time within which every running instance has put a published configuration into force.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);

#[actix_rt::test]
async fn a_resumed_instance_sends_no_call_to_a_zone_taken_out_meanwhile() -> Result<(), RigError> {
    let mut rig = rig::open(&plan(&["north", "south"], 2)).await?;
    rig::signal(&rig, 1, Signal::Stop)?;
    rig::publish(&mut rig, |fleet| {
        let mut zones = fleet.zones.iter_mut();
        let north = zones.find(|zone| zone.name == "north");
        north.expect("the plan has the zone").state = ZoneState::Out;
    })
    .await?;
    actix_rt::time::sleep(PROPAGATION_TIME).await;
    let before = received_count(&rig, "north").await?;
    // The query is sent while the instance is paused, so that it is the first input after the resume.
    let resume = async {
        actix_rt::time::sleep(Duration::from_millis(200)).await;
        rig::signal(&rig, 1, Signal::Continue)
    };
    let (reply, resumed) = join(rig::query(&rig, 1, "parts", &[], "{}"), resume).await;
    resumed?;
    let reply = reply?;
    assert!(is_complete(&reply), "{reply:?}");
    assert_eq!(received_count(&rig, "north").await?, before);
    rig.close().await
}
