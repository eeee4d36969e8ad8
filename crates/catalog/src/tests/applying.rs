//! Tests of single records.

use std::time::{Duration, Instant};

use model::Record;
use rstest::rstest;

use super::fixture::{configuration, registration, removed, target};
use crate::{Catalog, Change, Route, Standing, apply, expire, find_front, standing};

#[test]
fn a_version_never_goes_back() {
    let now = Instant::now();
    let mut catalog = Catalog::default();
    apply(&mut catalog, now, &configuration(7, &["a", "b"]));
    let change = apply(&mut catalog, now, &configuration(5, &["c"]));
    assert_eq!(change, Some(Change::OldConfiguration { version: 5 }));
    assert_eq!(catalog.version, 7);
    let front = find_front(&catalog, "parts.example", "/search/x").expect("the front");
    assert!(
        matches!(&catalog.fronts[front].route, Route::Gather { services, .. } if services.len() == 2)
    );
}

#[rstest]
#[case::below("/search/x", true)]
#[case::query("/search/?page=2", true)]
#[case::prefix_only("/search/", true)]
#[case::no_slash("/search", false)]
#[case::elsewhere("/other/search/", false)]
#[case::in_query("/?/search/", false)]
fn the_prefix_begins_the_path(#[case] path: &str, #[case] is_found: bool) {
    let mut catalog = Catalog::default();
    apply(&mut catalog, Instant::now(), &configuration(1, &["a"]));
    assert_eq!(
        find_front(&catalog, "parts.example", path).is_some(),
        is_found
    );
    assert_eq!(find_front(&catalog, "other.example", path), None);
}

#[rstest]
#[case(20, 0.89, 18)]
#[case(20, 0.75, 15)]
#[case(20, 0.9, 18)]
#[case(90, 0.95, 86)]
#[case(3, 0.0, 1)]
#[case(7, 1.0, 7)]
fn the_least_share_is_never_undercut(
    #[case] services_count: usize,
    #[case] least_ratio: f64,
    #[case] expected: u32,
) {
    let names: Vec<String> = (0..services_count).map(|n| format!("s{n}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let Record::Configuration(mut entry) = configuration(1, &names) else {
        panic!("a configuration");
    };
    if let model::Destination::Gather {
        least_ratio: least, ..
    } = &mut entry.fronts[0].destination
    {
        *least = least_ratio;
    }
    let mut catalog = Catalog::default();
    apply(&mut catalog, Instant::now(), &Record::Configuration(entry));
    let front = catalog.fronts.values().next().expect("the front");
    assert!(matches!(front.route, Route::Gather { least_count, .. } if least_count == expected));
}

#[test]
fn a_new_process_or_address_is_a_new_target() {
    let now = Instant::now();
    let mut catalog = Catalog::default();
    apply(&mut catalog, now, &target("i-1", registration(80)));
    let first = catalog.target_ids["i-1"];
    assert_eq!(
        apply(&mut catalog, now, &target("i-1", registration(80))),
        None
    );
    let mut reborn = registration(80);
    reborn.born_ms = 2;
    let change = apply(&mut catalog, now, &target("i-1", reborn));
    assert!(
        matches!(change, Some(Change::TargetStarted { replaced: Some(old), .. }) if old == first)
    );
    assert_eq!(catalog.targets.len(), 1);
    let moved = registration(81);
    apply(&mut catalog, now, &target("i-1", moved));
    assert_eq!(catalog.targets.len(), 1);
    let services = catalog.services.values();
    let named: usize = services.map(|service| service.targets.len()).sum();
    assert_eq!(named, 1);
}

#[test]
fn a_zone_that_is_taken_out_receives_nothing() {
    let now = Instant::now();
    let mut catalog = Catalog::default();
    apply(&mut catalog, now, &target("i-1", registration(80)));
    let key = catalog.target_ids["i-1"];
    let zone = "kranj".to_owned();
    apply(
        &mut catalog,
        now,
        &Record::ZoneOut {
            zone: zone.clone(),
            is_out: true,
        },
    );
    assert_eq!(standing(&catalog, key, now), Standing::Out);
    apply(
        &mut catalog,
        now,
        &Record::ZoneOut {
            zone,
            is_out: false,
        },
    );
    assert_eq!(standing(&catalog, key, now), Standing::Ready);
}

#[test]
fn a_draining_target_is_a_last_resort_for_a_short_time_only() {
    let now = Instant::now();
    let mut catalog = Catalog::default();
    let mut draining = registration(80);
    draining.is_draining = true;
    apply(&mut catalog, now, &target("i-1", draining));
    let key = catalog.target_ids["i-1"];
    assert_eq!(standing(&catalog, key, now), Standing::Leaving);
    let later = now + Duration::from_millis(900);
    assert_eq!(standing(&catalog, key, later), Standing::Out);
}

#[rstest]
#[case::removed(removed("i-1"))]
#[case::garbage(Record::Target { target_id: "i-1".to_owned(), registration: None })]
fn a_target_without_a_readable_registration_leaves(#[case] record: Record) {
    let now = Instant::now();
    let mut catalog = Catalog::default();
    apply(&mut catalog, now, &target("i-1", registration(80)));
    apply(&mut catalog, now, &target("i-2", registration(81)));
    let key = catalog.target_ids["i-1"];
    apply(&mut catalog, now, &record);
    assert_eq!(standing(&catalog, key, now), Standing::Leaving);
    assert_eq!(expire(&mut catalog, now), []);
    assert_eq!(expire(&mut catalog, now + Duration::from_secs(1)), [key]);
    assert_eq!(catalog.targets.len(), 1);
}

#[test]
fn a_registration_that_lapsed_while_the_store_was_away_is_waited_for() {
    let now = Instant::now();
    let mut catalog = Catalog::default();
    apply(&mut catalog, now, &target("i-1", registration(80)));
    let key = catalog.target_ids["i-1"];
    catalog.lapses_until = Some(now + Duration::from_secs(3));
    apply(&mut catalog, now, &removed("i-1"));
    let later = now + Duration::from_millis(2_000);
    assert_eq!(standing(&catalog, key, later), Standing::Leaving);
    apply(&mut catalog, later, &target("i-1", registration(80)));
    assert_eq!(standing(&catalog, key, later), Standing::Ready);
    apply(&mut catalog, later, &removed("i-1"));
    assert_eq!(
        expire(&mut catalog, later + Duration::from_millis(2_300)),
        [key]
    );
}
