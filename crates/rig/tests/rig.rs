//! Tests of the rig: queries, published configurations, crashed targets and graceful exit.

use std::time::Duration;

use rig::{RigError, Signal, plan};
use serde_json::json;

const EXIT_TIMEOUT: Duration = Duration::from_secs(20);

#[actix_rt::test]
async fn a_query_reaches_every_service_and_the_instance_exits_on_sigterm() -> Result<(), RigError> {
    let mut rig = rig::open(&plan(&["north", "south"], 3)).await?;
    let reply = rig::query(&rig, 0, "parts", &[], "{\"vehicle\": 7}").await?;
    assert_eq!(reply.status, 200, "{reply:?}");
    assert_eq!(reply.body["coverage"]["answered_count"], 3);
    assert_eq!(reply.body["results"][2]["body"]["service"], "parts-03");
    assert_eq!(
        reply.body["results"][2]["body"]["query"],
        json!({"vehicle": 7})
    );

    rig::signal(&rig, 0, Signal::Terminate)?;
    let status = rig::wait_exit(&mut rig, 0, EXIT_TIMEOUT).await?;
    assert!(status.success(), "{status:?}");
    rig.close().await
}

#[actix_rt::test]
async fn a_published_configuration_reaches_every_instance() -> Result<(), RigError> {
    let mut rig = rig::open(&plan(&["north", "south"], 1)).await?;
    let revision = rig::publish(&mut rig, |fleet| {
        fleet.fronts[0].name = "fittings".to_owned();
    })
    .await?;
    for instance in 0..2 {
        rig::wait_ready(&rig, instance, revision).await?;
        let reply = rig::query(&rig, instance, "fittings", &[], "{}").await?;
        assert_eq!(reply.status, 200, "{reply:?}");
        assert_eq!(reply.body["coverage"]["answered_count"], 1, "{reply:?}");
        let reply = rig::query(&rig, instance, "parts", &[], "{}").await?;
        assert_eq!(reply.body["outcome"]["reason"], "unknown-front");
        assert_eq!(reply.status, 404, "{reply:?}");
    }
    rig.close().await
}

#[actix_rt::test]
async fn a_query_is_answered_although_one_target_crashed() -> Result<(), RigError> {
    let rig = rig::open(&plan(&["north"], 1)).await?;
    rig::crash_target(&rig, "parts-01-t1").await?;
    let reply = rig::query(&rig, 0, "parts", &[], "{}").await?;
    assert_eq!(reply.body["coverage"]["answered_count"], 1, "{reply:?}");
    let reports = rig::target_reports(&rig).await?;
    assert_eq!(reports["parts-01-t1"]["counts"]["crashes_count"], 1);
    rig.close().await
}
