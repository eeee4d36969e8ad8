//! An instance that is stopped and woken.

use std::time::Duration;

use futures_util::future::join;
use note::ZoneState;
use rig::{RigError, Signal, plan};

use crate::load::{is_complete, received_count};

/// Time within which every instance that runs has put a configuration into force.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(3);

#[actix_rt::test]
async fn a_woken_instance_sends_nothing_on_what_it_knew_before() -> Result<(), RigError> {
    let mut rig = rig::open(&plan(&["north", "south"], 2)).await?;
    rig::signal(&rig, 1, Signal::Stop)?;
    rig::publish(&mut rig, |fleet| {
        let mut zones = fleet.zones.iter_mut();
        let north = zones.find(|zone| zone.name == "north");
        north.expect("the plan has the zone").state = ZoneState::Out;
    })
    .await?;
    actix_rt::time::sleep(IN_FORCE_LIMIT).await;
    let before = received_count(&rig, "north").await?;
    // The query waits in the stopped instance and is the first thing that it sees.
    let wake = async {
        actix_rt::time::sleep(Duration::from_millis(200)).await;
        rig::signal(&rig, 1, Signal::Continue)
    };
    let (reply, woken) = join(rig::query(&rig, 1, "parts", &[], "{}"), wake).await;
    woken?;
    let reply = reply?;
    assert!(is_complete(&reply), "{reply:?}");
    assert_eq!(received_count(&rig, "north").await?, before);
    rig.close().await
}
