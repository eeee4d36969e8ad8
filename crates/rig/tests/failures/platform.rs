//! A platform that is unreachable or serves an outdated configuration.

use std::time::Duration;

use rig::{RigError, plan};
use serde_json::json;

use crate::load::{accepted_revision, is_complete, query_repeatedly};

/// Time for which instances are observed; long enough for an outdated value to take effect.
const OBSERVATION_TIME: Duration = Duration::from_secs(2);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

#[actix_rt::test]
async fn an_instance_started_while_the_platform_is_down_gets_the_configuration_from_peers()
-> Result<(), RigError> {
    let mut rig = rig::open(&plan(&["north", "south"], 2)).await?;
    let newest = rig::publish(&mut rig, |fleet| fleet.released_fingerprints.push(7)).await?;
    rig::wait_ready(&rig, 1, newest).await?;
    rig::set_platform_behaviour(&rig, &json!({"reachability": "refusing"})).await?;
    rig::restart(&mut rig, 0).await?;
    rig::wait_ready(&rig, 0, newest).await?;
    let replies = query_repeatedly(&rig, 0, 5).await?;
    assert!(replies.iter().all(is_complete), "{replies:?}");
    rig.close().await
}

#[actix_rt::test]
async fn an_instance_without_peers_is_not_ready_until_the_platform_answers() -> Result<(), RigError>
{
    let mut rig = rig::open(&plan(&["north"], 1)).await?;
    rig::set_platform_behaviour(&rig, &json!({"reachability": "refusing"})).await?;
    rig::restart(&mut rig, 0).await?;
    let operators = rig.instances[0].operators;
    let ready = rig::get(&rig.client, operators, "/ready").await;
    assert!(
        matches!(ready, Err(RigError::ErrorStatus(_, 503, _))),
        "{ready:?}"
    );
    let refused = rig::query(&rig, 0, "parts", &[], "{}").await?;
    assert_eq!(refused.body["outcome"]["state"], "not-run", "{refused:?}");

    rig::set_platform_behaviour(&rig, &json!({"reachability": "up"})).await?;
    rig::wait_ready(&rig, 0, 1).await?;
    let replies = query_repeatedly(&rig, 0, 1).await?;
    assert!(replies.iter().all(is_complete), "{replies:?}");
    rig.close().await
}

#[actix_rt::test]
async fn an_instance_keeps_serving_while_the_platform_does_not_answer() -> Result<(), RigError> {
    let mut plan = plan(&["north"], 2);
    plan.settings = json!({"fleet": {"freshness_limit_ms": 500}});
    let rig = rig::open(&plan).await?;
    rig::set_platform_behaviour(&rig, &json!({"reachability": "silent"})).await?;
    actix_rt::time::sleep(OBSERVATION_TIME).await;
    let replies = query_repeatedly(&rig, 0, 5).await?;
    assert!(replies.iter().all(is_complete), "{replies:?}");
    rig.close().await
}

#[actix_rt::test]
async fn a_stale_platform_never_lowers_the_accepted_revision() -> Result<(), RigError> {
    let mut rig = rig::open(&plan(&["north", "south"], 1)).await?;
    let newest = rig::publish(&mut rig, |fleet| fleet.released_fingerprints.push(7)).await?;
    for instance in 0..2 {
        rig::wait_ready(&rig, instance, newest).await?;
    }
    rig::set_platform_behaviour(&rig, &json!({"stale_version": 1})).await?;
    rig::restart(&mut rig, 0).await?;
    rig::wait_ready(&rig, 0, newest).await?;
    for _ in 0..OBSERVATION_TIME.as_millis() / SAMPLE_INTERVAL.as_millis() {
        for instance in 0..2 {
            assert_eq!(accepted_revision(&rig, instance).await?, newest);
        }
        actix_rt::time::sleep(SAMPLE_INTERVAL).await;
    }
    rig.close().await
}
