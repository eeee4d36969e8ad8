//! Tests of the fake platform: watches, staleness, outages, the rate limit and the publication lag.

use std::time::Duration;

use crate::{
    effect::{Effect, Reply},
    event::{ControlCommand, Event},
};

use super::fixture::{Fixture, fixture, process_event, request, run_command, update_platform};

fn watch(fixture: &mut Fixture, reader: &str, after_version: u64) -> Vec<Effect> {
    let request = request(fixture);
    let event = Event::WatchRequested {
        request,
        reader,
        after_version,
        wait: Duration::from_secs(1),
    };
    process_event(fixture, event)
}

fn instances(fixture: &mut Fixture) -> Option<Reply> {
    let request = request(fixture);
    let event = Event::InstancesRequested {
        request,
        reader: "north-1",
    };
    replies(&process_event(fixture, event)).pop()
}

fn replies(out: &[Effect]) -> Vec<Reply> {
    let replies = out.iter().filter_map(|effect| match effect {
        Effect::Reply { reply, .. } => Some(reply.clone()),
        _ => None,
    });
    replies.collect()
}

fn versions(out: &[Effect]) -> Vec<u64> {
    let replies = replies(out).into_iter();
    let versions = replies.filter_map(|reply| match reply {
        Reply::Value { version, .. } => Some(version),
        _ => None,
    });
    versions.collect()
}

#[test]
fn watch_is_answered_when_a_newer_version_is_published() {
    let mut fixture = fixture();
    assert_eq!(versions(&watch(&mut fixture, "north-1", 0)), [1]);
    assert!(versions(&watch(&mut fixture, "north-1", 1)).is_empty());
    let request = request(&mut fixture);
    let command = ControlCommand::PublishNote { body: b"{}" };
    let out = process_event(&mut fixture, Event::CommandReceived { request, command });
    assert_eq!(versions(&out), [2]);
}

#[test]
fn expired_watch_returns_the_unchanged_version_once() {
    let mut fixture = fixture();
    watch(&mut fixture, "north-1", 1);
    let request = fixture.state.platform.watches[0].request;
    let out = process_event(&mut fixture, Event::WatchExpired { request });
    assert_eq!(versions(&out), [1]);
    let out = process_event(&mut fixture, Event::WatchExpired { request });
    assert!(out.is_empty());
}

#[test]
fn stale_version_bounds_the_served_version() {
    let mut fixture = fixture();
    run_command(&mut fixture, ControlCommand::PublishNote { body: b"{}" });
    update_platform(&mut fixture, "{\"stale_version\": 1}");
    assert_eq!(versions(&watch(&mut fixture, "north-1", 0)), [1]);
    update_platform(&mut fixture, "{\"stale_version\": 0}");
    assert_eq!(versions(&watch(&mut fixture, "north-1", 0)), [2]);
}

#[test]
fn only_cut_readers_get_no_reply() {
    let mut fixture = fixture();
    update_platform(&mut fixture, "{\"cut_readers\": [\"north-1\"]}");
    assert!(watch(&mut fixture, "north-1", 0).is_empty());
    assert_eq!(versions(&watch(&mut fixture, "south-1", 0)), [1]);
}

#[test]
fn unreachable_platform_refuses_or_does_not_reply() {
    let mut fixture = fixture();
    update_platform(&mut fixture, "{\"reachability\": \"refusing\"}");
    let out = watch(&mut fixture, "north-1", 0);
    assert!(matches!(replies(&out).as_slice(), [Reply::Unavailable]));
    update_platform(&mut fixture, "{\"reachability\": \"silent\"}");
    assert!(watch(&mut fixture, "north-1", 0).is_empty());
}

#[test]
fn reads_above_the_rate_limit_are_refused_and_counted() {
    let mut fixture = fixture();
    update_platform(&mut fixture, "{\"rate_max_per_s\": 3}");
    let mut limited = 0;
    for _ in 0..5 {
        let out = watch(&mut fixture, "north-1", 0);
        limited += usize::from(matches!(replies(&out).as_slice(), [Reply::RateLimited]));
    }
    assert_eq!(limited, 2);
    assert_eq!(fixture.state.platform.reads_count, 5);
    fixture.now += Duration::from_secs(1);
    assert_eq!(versions(&watch(&mut fixture, "north-1", 0)), [1]);
}

#[test]
fn list_of_instances_becomes_visible_after_the_lag() {
    let mut fixture = fixture();
    update_platform(&mut fixture, "{\"instances_lag_ms\": 500}");
    run_command(
        &mut fixture,
        ControlCommand::PublishInstances { body: b"[1]" },
    );
    let Some(Reply::Value { body, .. }) = instances(&mut fixture) else {
        panic!("no list of instances in the reply");
    };
    assert_eq!(body, "[]");
    process_event(&mut fixture, Event::InstancesLagElapsed);
    let Some(Reply::Value { body, .. }) = instances(&mut fixture) else {
        panic!("no list of instances in the reply");
    };
    assert_eq!(body, "[1]");
}
