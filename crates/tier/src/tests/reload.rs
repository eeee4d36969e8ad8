//! Settings that are read again.

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
    let callers = settings.listen.callers.expect("a callers' port");
    FILE.replace("NAME", &settings.instance.name)
        .replace("ZONE", &settings.instance.zone)
        .replace("CALLERS", &callers.to_string())
        .replace("OPERATORS", &settings.listen.operators.to_string())
        .replace("PEERS", &settings.listen.peers.to_string())
        .replace("PLATFORM", &settings.platform.address.to_string())
}

fn logged(fixture: &Fixture) -> Vec<(String, String)> {
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
fn limits_change_while_the_process_runs() {
    let mut fixture = fixture(1);
    let document = file();
    feed(
        &mut fixture,
        Event::SettingsRead {
            document: &document,
        },
    );
    assert_eq!(fixture.state.settings.once.strikes_max_count, 9);
    assert_eq!(logged(&fixture), [("reloaded".to_owned(), "0".to_owned())]);
}

#[rstest]
#[case::identity("\"name\": \"", "\"name\": \"other-")]
#[case::zone("\"zone\": \"", "\"zone\": \"other-")]
fn what_needs_a_start_is_named_and_kept(#[case] from: &str, #[case] to: &str) {
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
    assert_eq!(logged(&fixture), [("reloaded".to_owned(), "1".to_owned())]);
}

#[test]
fn a_faulty_file_changes_nothing() {
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
    assert_eq!(logged(&fixture)[0].0, "settings-faulty");
}
