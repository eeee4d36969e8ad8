//! Applying a series of configurations yields the same routes as applying only the last one.

use model::Event;
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

use super::fixture::{feed, fixture, note};
use crate::State;

/// Returns the routes' zones, targets and fronts by name, because keys differ between instances.
fn routes_view(state: &State) -> Vec<String> {
    let routes = &state.routes;
    let zones = routes
        .zones
        .values()
        .map(|zone| format!("{} {}", zone.name, zone.is_out));
    let targets = routes.targets.values().map(|target| {
        let service = &routes.services[target.service].name;
        let zone = &routes.zones[target.zone].name;
        format!(
            "{} {service} {zone} {} {}",
            target.name, target.address, target.is_leaving
        )
    });
    let fronts = routes.fronts.iter().flat_map(|(name, front)| {
        let services = front.shard_maps.iter().flat_map(|map| map.services.iter());
        services.map(move |&key| format!("{name} {}", routes.services[key].name))
    });
    let mut view: Vec<String> = zones.chain(targets).collect();
    view.sort_unstable();
    view.extend(fronts);
    view
}

fn document(revision: u64, services_count: u32, is_out: bool, is_leaving: bool) -> String {
    let mut document = note(revision, services_count);
    if is_out {
        let south = r#"{"name":"south","state":"in"}"#;
        document = document.replace(south, r#"{"name":"south","state":"out"}"#);
    }
    if is_leaving {
        let leaving = r#""state":"leaving","zone":"south""#;
        document = document.replace(r#""state":"in","zone":"south""#, leaving);
    }
    document
}

fn publish(fixture: &mut super::fixture::Fixture, version: u64, document: &str) {
    let body = document.as_bytes();
    feed(fixture, Event::PlatformNote { version, body });
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(13),
        failure_persistence: None,
        cases: 64,
        ..Config::default()
    })]

    #[test]
    fn a_series_of_configurations_equals_a_rebuild_from_the_highest_revision(
        series in proptest::collection::vec(
            (2..60_u64, 1..6_u32, any::<bool>(), any::<bool>()), 1..20,
        ),
    ) {
        let mut incremental = fixture(2);
        let mut highest = (1, note(1, 2));
        for (version, &(number, services_count, is_out, is_leaving)) in (2..).zip(&series) {
            // Even revisions are never consecutive, so a note may list any difference.
            let revision = number * 2;
            let document = document(revision, services_count, is_out, is_leaving);
            publish(&mut incremental, version, &document);
            if revision > highest.0 {
                highest = (revision, document);
            }
        }
        let mut rebuilt = fixture(2);
        publish(&mut rebuilt, 2, &highest.1);
        prop_assert_eq!(incremental.state.fleet.revision(), highest.0);
        prop_assert_eq!(routes_view(&incremental.state), routes_view(&rebuilt.state));
    }
}
