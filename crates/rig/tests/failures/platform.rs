//! A platform that is down or stale.

use std::time::Duration;

use rig::{RigError, plan};
use serde_json::json;

use crate::load::{ask, is_complete, revision};

/// Time during which an older value could do harm.
const WATCH_DURATION: Duration = Duration::from_secs(2);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

#[actix_rt::test]
async fn an_instance_that_starts_while_the_platform_is_down_learns_from_its_peers()
-> Result<(), RigError> {
    let mut rig = rig::open(&plan(&["north", "south"], 2)).await?;
    let newest = rig::publish(&mut rig, |fleet| fleet.released_fingerprints.push(7)).await?;
    rig::wait_ready(&rig, 1, newest).await?;
    rig::steer_platform(&rig, &json!({"reachability": "refusing"})).await?;
    rig::restart(&mut rig, 0).await?;
    rig::wait_ready(&rig, 0, newest).await?;
    let replies = ask(&rig, 0, 5).await?;
    assert!(replies.iter().all(is_complete), "{replies:?}");
    rig.close().await
}

#[actix_rt::test]
async fn an_instance_alone_is_not_ready_before_the_platform_answers() -> Result<(), RigError> {
    let mut rig = rig::open(&plan(&["north"], 1)).await?;
    rig::steer_platform(&rig, &json!({"reachability": "refusing"})).await?;
    rig::restart(&mut rig, 0).await?;
    let operators = rig.instances[0].operators;
    let ready = rig::get(&rig.client, operators, "/ready").await;
    assert!(
        matches!(ready, Err(RigError::Refused(_, 503, _))),
        "{ready:?}"
    );
    let refused = rig::query(&rig, 0, "parts", &[], "{}").await?;
    assert_eq!(refused.body["outcome"]["state"], "not-run", "{refused:?}");

    rig::steer_platform(&rig, &json!({"reachability": "up"})).await?;
    rig::wait_ready(&rig, 0, 1).await?;
    let replies = ask(&rig, 0, 1).await?;
    assert!(replies.iter().all(is_complete), "{replies:?}");
    rig.close().await
}

#[actix_rt::test]
async fn a_zone_goes_on_serving_after_the_platform_went_down() -> Result<(), RigError> {
    let mut plan = plan(&["north"], 2);
    plan.settings = json!({"fleet": {"freshness_limit_ms": 500}});
    let rig = rig::open(&plan).await?;
    rig::steer_platform(&rig, &json!({"reachability": "silent"})).await?;
    actix_rt::time::sleep(WATCH_DURATION).await;
    let replies = ask(&rig, 0, 5).await?;
    assert!(replies.iter().all(is_complete), "{replies:?}");
    rig.close().await
}

#[actix_rt::test]
async fn a_stale_platform_never_lowers_a_revision() -> Result<(), RigError> {
    let mut rig = rig::open(&plan(&["north", "south"], 1)).await?;
    let newest = rig::publish(&mut rig, |fleet| fleet.released_fingerprints.push(7)).await?;
    for instance in 0..2 {
        rig::wait_ready(&rig, instance, newest).await?;
    }
    rig::steer_platform(&rig, &json!({"stale_version": 1})).await?;
    rig::restart(&mut rig, 0).await?;
    rig::wait_ready(&rig, 0, newest).await?;
    for _ in 0..WATCH_DURATION.as_millis() / SAMPLE_INTERVAL.as_millis() {
        for instance in 0..2 {
            assert_eq!(revision(&rig, instance).await?, newest);
        }
        actix_rt::time::sleep(SAMPLE_INTERVAL).await;
    }
    rig.close().await
}
