//! Zones that are taken out of service, returned to it, or cut off.

use std::time::Duration;

use note::{Fleet, ZoneState};
use rig::{RigError, plan};
use serde_json::json;

use crate::load::{self, is_complete, query_repeatedly, received_count};

/// Time within which every running instance has put a published configuration into force, so that a
/// zone taken out gets no new calls.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);

fn set_zone(fleet: &mut Fleet, name: &str, state: ZoneState) {
    let mut zones = fleet.zones.iter_mut();
    let zone = zones.find(|zone| zone.name == name);
    zone.expect("the plan has the zone").state = state;
}

#[actix_rt::test]
async fn a_zone_taken_out_under_load_gets_no_new_calls_until_it_returns() -> Result<(), RigError> {
    let mut rig = rig::open(&plan(&["north", "south"], 4)).await?;
    let callers = rig
        .instances
        .iter()
        .map(|instance| instance.callers)
        .collect();
    let load = load::spawn(&rig.client, callers);
    rig::publish(&mut rig, |fleet| set_zone(fleet, "south", ZoneState::Out)).await?;
    actix_rt::time::sleep(PROPAGATION_TIME).await;
    let before = received_count(&rig, "south").await?;
    for instance in 0..2 {
        query_repeatedly(&rig, instance, 25).await?;
    }
    assert_eq!(received_count(&rig, "south").await?, before);

    let returned = rig::publish(&mut rig, |fleet| set_zone(fleet, "south", ZoneState::In)).await?;
    for instance in 0..2 {
        rig::wait_ready(&rig, instance, returned).await?;
    }
    actix_rt::time::sleep(PROPAGATION_TIME).await;
    let replies = load.close().await?;
    assert!(received_count(&rig, "south").await? > before);
    let partial: Vec<_> = replies.iter().filter(|reply| !is_complete(reply)).collect();
    assert!(
        partial.is_empty(),
        "{} of {}: {partial:?}",
        partial.len(),
        replies.len()
    );
    rig.close().await
}

#[actix_rt::test]
async fn an_instance_cut_off_from_the_platform_gets_a_change_from_peers() -> Result<(), RigError> {
    let mut rig = rig::open(&plan(&["north", "south"], 2)).await?;
    rig::set_platform_behaviour(&rig, &json!({"cut_readers": ["south-1"]})).await?;
    rig::publish(&mut rig, |fleet| set_zone(fleet, "north", ZoneState::Out)).await?;
    actix_rt::time::sleep(PROPAGATION_TIME).await;
    let before = received_count(&rig, "north").await?;
    let replies = query_repeatedly(&rig, 1, 25).await?;
    assert!(replies.iter().all(is_complete), "{replies:?}");
    assert_eq!(received_count(&rig, "north").await?, before);
    rig.close().await
}

#[actix_rt::test]
async fn a_zone_cut_off_from_targets_elsewhere_uses_its_own_targets() -> Result<(), RigError> {
    let rig = rig::open(&plan(&["north", "south"], 2)).await?;
    rig::set_platform_behaviour(&rig, &json!({"cut_readers": ["south-1"]})).await?;
    rig::set_target_behaviour(&rig, "north", &json!({"cut_origins": ["south-1"]})).await?;
    let replies = query_repeatedly(&rig, 1, 100).await?;
    assert!(replies.iter().all(is_complete), "{replies:?}");
    rig.close().await
}
