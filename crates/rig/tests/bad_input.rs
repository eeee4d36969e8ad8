//! Invalid requests, invalid settings and an unreachable platform: an instance reports the error and
//! keeps serving, or does not start.

use std::process::Command;

use rig::{Rig, RigError, plan};
use rstest::rstest;
use serde_json::json;

const TIMEOUT: (&str, &str) = ("balsam-timeout-ms", "2000");

/// An invalid request and the expected error.
struct Case {
    path: &'static str,
    headers: &'static [(&'static str, &'static str)],
    body: String,
    status: u16,
    message: &'static str,
}

fn cases() -> Vec<Case> {
    let case = |path, headers, body: &str, status, message| Case {
        path,
        headers,
        body: body.to_owned(),
        status,
        message,
    };
    const PARTS: &str = "/v1/fronts/parts/query";
    vec![
        case(
            "/v1/fronts/none/query",
            &[TIMEOUT],
            "{}",
            404,
            "unknown-front",
        ),
        case(PARTS, &[TIMEOUT], &"1".repeat(65_537), 413, ""),
        case(PARTS, &[TIMEOUT], "{", 400, "not a JSON document"),
        case(PARTS, &[TIMEOUT], "", 400, "not a JSON document"),
        case(PARTS, &[], "{}", 400, "balsam-timeout-ms"),
        case(
            PARTS,
            &[("balsam-timeout-ms", "0")],
            "{}",
            400,
            "expected a whole number",
        ),
        case(
            PARTS,
            &[("balsam-timeout-ms", "-5")],
            "{}",
            400,
            "expected a whole number",
        ),
        case(
            PARTS,
            &[("balsam-timeout-ms", "1")],
            "{}",
            408,
            "deadline-passed",
        ),
        case(PARTS, &[TIMEOUT, TIMEOUT], "{}", 400, "more than once"),
        case(
            PARTS,
            &[TIMEOUT, ("balsam-tiemout", "1")],
            "{}",
            400,
            "unknown header",
        ),
        case(
            PARTS,
            &[TIMEOUT, ("balsam-priority", "soon")],
            "{}",
            400,
            "expected urgent",
        ),
        case(
            PARTS,
            &[TIMEOUT, ("balsam-service", "none")],
            "{}",
            404,
            "unknown-service",
        ),
        case("/v1/nothing", &[TIMEOUT], "{}", 404, ""),
    ]
}

#[actix_rt::test]
async fn an_invalid_request_gets_an_error_and_the_next_request_is_served() -> Result<(), RigError> {
    let rig = rig::open(&plan(&["north"], 1)).await?;
    for case in cases() {
        let (status, body) = post(&rig, &case).await;
        assert_eq!(status, case.status, "{}: {body}", case.message);
        assert!(body.contains(case.message), "{}: {body}", case.message);
        let reply = rig::query(&rig, 0, "parts", &[], "{}").await?;
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    rig.close().await
}

async fn post(rig: &Rig, case: &Case) -> (u16, String) {
    let url = format!("http://{}{}", rig.instances[0].callers, case.path);
    let mut request = rig.client.post(url);
    for header in case.headers {
        request = request.append_header(*header);
    }
    let reply = request.send_body(case.body.clone()).await;
    let mut reply = reply.expect("the instance replies");
    let body = reply.body().await.unwrap_or_default();
    (
        reply.status().as_u16(),
        String::from_utf8_lossy(&body).into_owned(),
    )
}

#[actix_rt::test]
async fn an_instance_starts_without_the_platform_and_is_ready_once_it_returns()
-> Result<(), RigError> {
    let mut rig = rig::open(&plan(&["north"], 1)).await?;
    rig::set_platform_behaviour(&rig, &json!({"reachability": "refusing"})).await?;
    rig::restart(&mut rig, 0).await?;
    let operators = rig.instances[0].operators;
    rig::get(&rig.client, operators, "/live").await?;
    let ready = rig::get(&rig.client, operators, "/ready").await;
    assert!(
        matches!(ready, Err(RigError::ErrorStatus(_, 503, _))),
        "{ready:?}"
    );
    let reply = rig::query(&rig, 0, "parts", &[], "{}").await?;
    assert_eq!(reply.body["outcome"]["reason"], "no-configuration");
    rig::set_platform_behaviour(&rig, &json!({"reachability": "up"})).await?;
    rig::wait_ready(&rig, 0, 1).await?;
    rig.close().await
}

#[actix_rt::test]
async fn a_port_in_use_is_named_in_the_error_and_the_process_exits() -> Result<(), RigError> {
    let rig = rig::open(&plan(&["north"], 1)).await?;
    let settings = rig.directory.path().join("north-1.json");
    let (code, log) = run(&rig, &["--settings", &settings.display().to_string()]);
    assert_eq!(code, Some(1), "{log}");
    let peers = rig.instances[0].peers.to_string();
    assert!(log.contains(&peers) && log.contains("listen"), "{log}");
    rig.close().await
}

#[rstest]
#[case::unknown_key(
    r#"{"instance": {"name": "n", "zone": "z", "rack": 1}}"#,
    "$.instance.rack"
)]
#[case::missing_section("{}", "the field `listen` is missing")]
#[case::wrong_type(r#"{"instance": 7}"#, "1:14: $.instance: expected an object")]
#[case::not_json("{", "not a JSON document")]
#[actix_rt::test]
async fn invalid_settings_are_reported_with_their_location(
    #[case] settings: &str,
    #[case] expected: &str,
) -> Result<(), RigError> {
    let programs = rig::build(rig::Profile::Debug)?;
    let directory = tempfile::tempdir().expect("a directory can be created");
    let path = directory.path().join("settings.json");
    std::fs::write(&path, settings).expect("the file can be written");
    let output = Command::new(programs.join("balsamd"))
        .args(["check", "--settings", &path.display().to_string()])
        .output()
        .expect("the program runs");
    let log = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{log}");
    assert!(log.contains(expected), "{log}");
    Ok(())
}

/// Runs `balsamd` until it exits, and returns its exit code and standard error.
fn run(rig: &Rig, arguments: &[&str]) -> (Option<i32>, String) {
    let output = Command::new(rig.programs.join("balsamd"))
        .args(arguments)
        .output()
        .expect("the program runs");
    let log = String::from_utf8_lossy(&output.stderr).into_owned();
    (output.status.code(), log)
}
