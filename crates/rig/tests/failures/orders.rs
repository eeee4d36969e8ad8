//! Orders while instances and targets are killed. The stand-ins' ledger is the judge.

use std::time::Duration;

use rig::{Reply, Rig, RigError, Signal, plan};
use serde_json::{Value, json};

/// Execution time of an order that something is to happen to.
const SLOW_MS: u64 = 1500;
/// Time after which a slow order runs at its target and is far from its end.
const UNDER_WAY: Duration = Duration::from_millis(500);
/// Time within which a crashed target has restarted and every instance has found that out.
const RETURN_LIMIT: Duration = Duration::from_secs(4);
const SERVICE: &str = "parts-01";

/// Asks an instance for one ticket.
async fn ticket(rig: &Rig, instance: usize) -> Result<String, RigError> {
    let url = format!("http://{}/v1/tickets", rig.instances[instance].callers);
    let failed = |error: String| RigError::NoReply(url.clone(), error);
    let response = rig.client.post(&url).send().await;
    let mut response = response.map_err(|error| failed(error.to_string()))?;
    let body: Value = response
        .json()
        .await
        .map_err(|error| failed(error.to_string()))?;
    let ticket = body["tickets"][0].as_str();
    ticket
        .map(str::to_owned)
        .ok_or_else(|| failed(format!("no ticket in {body}")))
}

async fn order(rig: &Rig, instance: usize, ticket: &str, number: u32) -> Result<Reply, RigError> {
    let headers = [
        ("balsam-ticket", ticket),
        ("balsam-service", SERVICE),
        ("balsam-timeout-ms", "4000"),
    ];
    let body = json!({"order": number}).to_string();
    rig::query(rig, instance, "parts", &headers, &body).await
}

async fn executions_count(rig: &Rig, number: u32) -> Result<usize, RigError> {
    let ledger = rig::ledger(rig).await?;
    let body = json!({"order": number}).to_string();
    let executions = ledger["executions"].as_array().into_iter().flatten();
    Ok(executions
        .filter(|execution| execution["body"] == body.as_str())
        .count())
}

/// Checks what callers were told about one order against the ledger.
async fn judge(rig: &Rig, number: u32, replies: &[Reply]) -> Result<usize, RigError> {
    let count = executions_count(rig, number).await?;
    assert!(count <= 1, "order {number} ran {count} times: {replies:?}");
    for reply in replies {
        let outcome = &reply.body["outcome"];
        let is_true = match outcome["state"].as_str() {
            Some("ran") => count == 1,
            Some("not-run") => count == 0,
            Some("unknown") => true,
            _ => false,
        };
        assert!(is_true, "order {number} ran {count} times: {outcome}");
    }
    Ok(count)
}

#[actix_rt::test]
async fn an_order_whose_instance_is_killed_runs_at_most_once() -> Result<(), RigError> {
    let mut rig = rig::open(&plan(&["north", "south"], 1)).await?;

    // Before its first use.
    let unused = ticket(&rig, 0).await?;
    // While it runs.
    rig::steer_target(&rig, "all", &json!({"latency_ms": SLOW_MS})).await?;
    let running = ticket(&rig, 0).await?;
    let client = rig.client.clone();
    let address = rig.instances[0].callers;
    let sent = running.clone();
    let first = actix_rt::spawn(async move {
        let headers = [
            ("balsam-ticket", sent.as_str()),
            ("balsam-service", SERVICE),
            ("balsam-timeout-ms", "4000"),
        ];
        let body = json!({"order": 2}).to_string();
        rig::query_at(&client, address, "parts", &headers, &body).await
    });
    actix_rt::time::sleep(UNDER_WAY).await;
    assert_eq!(executions_count(&rig, 2).await?, 1);
    rig::signal(&rig, 0, Signal::Kill)?;
    assert!(first.await.expect("the caller does not panic").is_err());
    let while_gone = [
        order(&rig, 1, &unused, 1).await?,
        order(&rig, 1, &running, 2).await?,
    ];
    rig::restart(&mut rig, 0).await?;
    rig::wait_ready(&rig, 0, 1).await?;
    rig::steer_target(&rig, "all", &json!({"latency_ms": 1})).await?;
    for instance in 0..2 {
        let again = [
            order(&rig, instance, &unused, 1).await?,
            order(&rig, instance, &running, 2).await?,
        ];
        judge(&rig, 1, &again[..1]).await?;
        judge(&rig, 2, &again[1..]).await?;
    }
    assert_eq!(judge(&rig, 1, &while_gone[..1]).await?, 0);
    assert_eq!(judge(&rig, 2, &while_gone[1..]).await?, 1);

    // After its end.
    let ended = ticket(&rig, 0).await?;
    let first = order(&rig, 0, &ended, 3).await?;
    assert_eq!(first.body["outcome"]["state"], "ran", "{first:?}");
    let resent = order(&rig, 1, &ended, 3).await?;
    assert_eq!(resent.body["outcome"]["state"], "ran", "{resent:?}");
    rig::restart(&mut rig, 0).await?;
    rig::wait_ready(&rig, 0, 1).await?;
    let replies = [first, resent, order(&rig, 1, &ended, 3).await?];
    assert_eq!(judge(&rig, 3, &replies).await?, 1);
    rig.close().await
}

#[actix_rt::test]
async fn an_order_whose_target_is_killed_runs_at_most_once() -> Result<(), RigError> {
    let rig = rig::open(&plan(&["north", "south"], 1)).await?;

    // While it runs: nobody may run it again, and nobody says that it did not run.
    rig::steer_target(&rig, "all", &json!({"latency_ms": SLOW_MS})).await?;
    let running = ticket(&rig, 0).await?;
    let crash = async {
        actix_rt::time::sleep(UNDER_WAY).await;
        rig::crash(&rig, "all").await
    };
    let (first, crashed) = futures_util::future::join(order(&rig, 0, &running, 1), crash).await;
    crashed?;
    let resent = order(&rig, 1, &running, 1).await?;
    assert_eq!(judge(&rig, 1, &[first?, resent]).await?, 1);

    // While every target is down: it ends as not run, and a resend after their return agrees.
    rig::steer_target(&rig, "all", &json!({"latency_ms": 1})).await?;
    actix_rt::time::sleep(RETURN_LIMIT).await;
    rig::crash(&rig, "all").await?;
    let early = ticket(&rig, 0).await?;
    let first = order(&rig, 0, &early, 2).await?;
    actix_rt::time::sleep(RETURN_LIMIT).await;
    let resent = order(&rig, 1, &early, 2).await?;
    judge(&rig, 2, &[first, resent]).await?;

    // A new order runs again.
    let late = ticket(&rig, 1).await?;
    let reply = order(&rig, 1, &late, 3).await?;
    assert_eq!(reply.body["outcome"]["state"], "ran", "{reply:?}");
    assert_eq!(judge(&rig, 3, &[reply]).await?, 1);
    rig.close().await
}
