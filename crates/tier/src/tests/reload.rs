//! Reloading of settings.

use model::{Effect, Event};
use rstest::rstest;

use super::fixture::{Fixture, feed, fixture, settings};

const FILE: &str = r#"{
    "instance": {"name": "NAME", "zone": "ZONE"},
    "listen": {"callers": "CALLERS", "operators": "OPERATORS", "peers": "PEERS"},
    "platform": {"address": "PLATFORM"},
    "once": {"strikes_max_count": 9}
}"#;

fn file() -> String {
    let settings = settings();
    let callers = settings
        .listen
        .callers
        .expect("the settings have a port for callers");
    FILE.replace("NAME", &settings.instance.name)
        .replace("ZONE", &settings.instance.zone)
        .replace("CALLERS", &callers.to_string())
        .replace("OPERATORS", &settings.listen.operators.to_string())
        .replace("PEERS", &settings.listen.peers.to_string())
        .replace("PLATFORM", &settings.platform.address.to_string())
}

/// Returns the name and the last field's value of each log line.
fn log_lines(fixture: &Fixture) -> Vec<(String, String)> {
    let lines = fixture.out.iter().filter_map(|effect| match effect {
        Effect::Log(line) => Some(line),
        _ => None,
    });
    lines
        .map(|line| {
            let last = line.fields.last().map(|(_, value)| value.to_string());
            (line.name.clone(), last.unwrap_or_default())
        })
        .collect()
}

#[test]
fn limits_change_without_a_restart() {
    let mut fixture = fixture(1);
    let document = file();
    feed(
        &mut fixture,
        Event::SettingsRead {
            document: &document,
        },
    );
    assert_eq!(fixture.state.settings.once.strikes_max_count, 9);
    assert_eq!(
        log_lines(&fixture),
        [("reloaded".to_owned(), "0".to_owned())]
    );
}

#[rstest]
#[case::identity("\"name\": \"", "\"name\": \"other-")]
#[case::zone("\"zone\": \"", "\"zone\": \"other-")]
fn settings_that_need_a_restart_are_kept_and_logged(#[case] from: &str, #[case] to: &str) {
    let mut fixture = fixture(1);
    let before = fixture.state.settings.instance.clone();
    let document = file().replace(from, to);
    feed(
        &mut fixture,
        Event::SettingsRead {
            document: &document,
        },
    );
    assert_eq!(fixture.state.settings.instance, before);
    assert_eq!(
        log_lines(&fixture),
        [("reloaded".to_owned(), "1".to_owned())]
    );
}

#[test]
fn a_document_with_findings_changes_nothing() {
    let mut fixture = fixture(1);
    let before = fixture.state.settings.clone();
    let document = file().replace('9', "-1");
    feed(
        &mut fixture,
        Event::SettingsRead {
            document: &document,
        },
    );
    assert_eq!(fixture.state.settings, before);
    assert_eq!(log_lines(&fixture)[0].0, "settings-faulty");
}
