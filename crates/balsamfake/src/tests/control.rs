//! Tests of the commands of the control port.

use proptest::{
    collection::vec,
    prelude::{ProptestConfig, any, proptest},
    test_runner::RngSeed,
};
use rstest::rstest;

use super::fixture::{fixture, run_command};
use crate::{effect::Reply, event::ControlCommand};

#[rstest]
#[case::unknown("{\"latency\": 5}", "$.latency: unknown or repeated field")]
#[case::wrong_type("{\"latency_ms\": \"5\"}", "$.latency_ms: expected a whole number")]
#[case::over_all("{\"straggler_percent\": 101}", "from 0 to 100")]
#[case::word("{\"phase\": \"hot\"}", "`hot` is not one of warm, cold")]
#[case::order("{\"oldest_snapshot\": 5, \"newest_snapshot\": 4}", "is older than")]
#[case::not_json("latency_ms=5", "not a JSON document")]
fn invalid_change_is_rejected_as_a_whole(#[case] change: &str, #[case] expected: &str) {
    let mut fixture = fixture();
    let before = fixture.state.targets[fixture.target].behaviour.clone();
    let command = ControlCommand::UpdateTarget {
        target: "t1",
        body: change.as_bytes(),
    };
    let Reply::Invalid(findings) = run_command(&mut fixture, command) else {
        panic!("the invalid change was accepted");
    };
    assert!(findings.to_string().contains(expected), "{findings}");
    assert_eq!(fixture.state.targets[fixture.target].behaviour, before);
}

#[test]
fn name_selects_a_target_a_service_a_zone_or_all() {
    let mut fixture = fixture();
    for (name, is_known) in [
        ("t1", true),
        ("parts-1", true),
        ("north", true),
        ("all", true),
        ("t2", false),
    ] {
        let command = ControlCommand::UpdateTarget {
            target: name,
            body: b"{}",
        };
        let reply = run_command(&mut fixture, command);
        assert_eq!(matches!(reply, Reply::Done), is_known, "{name}: {reply:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(13),
        failure_persistence: None,
        cases: 256,
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_bodies_do_not_panic(body in vec(any::<u8>(), 0..200)) {
        let mut fixture = fixture();
        run_command(&mut fixture, ControlCommand::UpdateTarget { target: "t1", body: &body });
        run_command(&mut fixture, ControlCommand::UpdatePlatform { body: &body });
        run_command(&mut fixture, ControlCommand::PublishNote { body: &body });
        run_command(&mut fixture, ControlCommand::PublishInstances { body: &body });
    }
}
