//! Queries with a ticket ("orders") while instances and targets are killed: each runs at most once,
//! and every reported outcome agrees with the ledger of executions of the fake targets.

use std::time::Duration;

use rig::{Reply, Rig, RigError, Signal, plan};
use serde_json::{Value, json};

/// Execution time of an order during which an instance or a target is killed.
const SLOW_LATENCY_MS: u64 = 1500;
/// Time after which a slow order is executing at its target and far from complete.
const EXECUTION_START_DELAY: Duration = Duration::from_millis(500);
/// Time within which a crashed target has restarted and every instance has noticed it.
const TARGET_RECOVERY_TIME: Duration = Duration::from_secs(4);
const SERVICE: &str = "parts-01";

/// Requests one ticket from an instance.
async fn fetch_ticket(rig: &Rig, instance: usize) -> Result<String, RigError> {
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

async fn send_order(
    rig: &Rig,
    instance: usize,
    ticket: &str,
    number: u32,
) -> Result<Reply, RigError> {
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

/// Asserts that the outcomes reported for an order agree with the ledger; returns the number of its
/// executions.
async fn check_outcomes(rig: &Rig, number: u32, replies: &[Reply]) -> Result<usize, RigError> {
    let count = executions_count(rig, number).await?;
    assert!(count <= 1, "order {number} ran {count} times: {replies:?}");
    for reply in replies {
        let outcome = &reply.body["outcome"];
        let is_correct = match outcome["state"].as_str() {
            Some("ran") => count == 1,
            Some("not-run") => count == 0,
            Some("unknown") => true,
            _ => false,
        };
        assert!(is_correct, "order {number} ran {count} times: {outcome}");
    }
    Ok(count)
}

#[actix_rt::test]
async fn an_order_whose_instance_is_killed_runs_at_most_once() -> Result<(), RigError> {
    let mut rig = rig::open(&plan(&["north", "south"], 1)).await?;

    // Killed before the ticket is used.
    let unused = fetch_ticket(&rig, 0).await?;
    // Killed while the order executes.
    rig::set_target_behaviour(&rig, "all", &json!({"latency_ms": SLOW_LATENCY_MS})).await?;
    let running = fetch_ticket(&rig, 0).await?;
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
    actix_rt::time::sleep(EXECUTION_START_DELAY).await;
    assert_eq!(executions_count(&rig, 2).await?, 1);
    rig::signal(&rig, 0, Signal::Kill)?;
    assert!(
        first
            .await
            .expect("the request task does not panic")
            .is_err()
    );
    let while_down = [
        send_order(&rig, 1, &unused, 1).await?,
        send_order(&rig, 1, &running, 2).await?,
    ];
    rig::restart(&mut rig, 0).await?;
    rig::wait_ready(&rig, 0, 1).await?;
    rig::set_target_behaviour(&rig, "all", &json!({"latency_ms": 1})).await?;
    for instance in 0..2 {
        let again = [
            send_order(&rig, instance, &unused, 1).await?,
            send_order(&rig, instance, &running, 2).await?,
        ];
        check_outcomes(&rig, 1, &again[..1]).await?;
        check_outcomes(&rig, 2, &again[1..]).await?;
    }
    assert_eq!(check_outcomes(&rig, 1, &while_down[..1]).await?, 0);
    assert_eq!(check_outcomes(&rig, 2, &while_down[1..]).await?, 1);

    // Killed after the order has run.
    let ended = fetch_ticket(&rig, 0).await?;
    let first = send_order(&rig, 0, &ended, 3).await?;
    assert_eq!(first.body["outcome"]["state"], "ran", "{first:?}");
    let resent = send_order(&rig, 1, &ended, 3).await?;
    assert_eq!(resent.body["outcome"]["state"], "ran", "{resent:?}");
    rig::restart(&mut rig, 0).await?;
    rig::wait_ready(&rig, 0, 1).await?;
    let replies = [first, resent, send_order(&rig, 1, &ended, 3).await?];
    assert_eq!(check_outcomes(&rig, 3, &replies).await?, 1);
    rig.close().await
}

#[actix_rt::test]
async fn an_order_whose_target_is_killed_runs_at_most_once() -> Result<(), RigError> {
    let rig = rig::open(&plan(&["north", "south"], 1)).await?;

    // Killed while the order executes: it is not executed again or reported as not run.
    rig::set_target_behaviour(&rig, "all", &json!({"latency_ms": SLOW_LATENCY_MS})).await?;
    let running = fetch_ticket(&rig, 0).await?;
    let crash = async {
        actix_rt::time::sleep(EXECUTION_START_DELAY).await;
        rig::crash_target(&rig, "all").await
    };
    let (first, crashed) =
        futures_util::future::join(send_order(&rig, 0, &running, 1), crash).await;
    crashed?;
    let resent = send_order(&rig, 1, &running, 1).await?;
    assert_eq!(check_outcomes(&rig, 1, &[first?, resent]).await?, 1);

    // Every target is down: the order is reported as not run, and a resend after their restart gets
    // an outcome that agrees with the ledger.
    rig::set_target_behaviour(&rig, "all", &json!({"latency_ms": 1})).await?;
    actix_rt::time::sleep(TARGET_RECOVERY_TIME).await;
    rig::crash_target(&rig, "all").await?;
    let early = fetch_ticket(&rig, 0).await?;
    let first = send_order(&rig, 0, &early, 2).await?;
    actix_rt::time::sleep(TARGET_RECOVERY_TIME).await;
    let resent = send_order(&rig, 1, &early, 2).await?;
    check_outcomes(&rig, 2, &[first, resent]).await?;

    // A later order runs.
    let late = fetch_ticket(&rig, 1).await?;
    let reply = send_order(&rig, 1, &late, 3).await?;
    assert_eq!(reply.body["outcome"]["state"], "ran", "{reply:?}");
    assert_eq!(check_outcomes(&rig, 3, &[reply]).await?, 1);
    rig.close().await
}
