//! Tests of applying single records.

use std::time::{Duration, Instant};

use model::StoreRecord;
use rstest::rstest;

use super::fixture::{configuration, registration, removed, target};
use crate::{
    Catalog, Change, Eligibility, Route, apply, eligibility, find_front, remove_expired_targets,
};

#[test]
fn older_configuration_is_ignored() {
    let now = Instant::now();
    let mut catalog = Catalog::default();
    apply(&mut catalog, now, &configuration(7, &["a", "b"]));
    let change = apply(&mut catalog, now, &configuration(5, &["c"]));
    assert_eq!(change, Some(Change::OldConfiguration { version: 5 }));
    assert_eq!(catalog.version, 7);
    let front = find_front(&catalog, "parts.example", "/search/x").expect("a front");
    assert!(
        matches!(&catalog.fronts[front].route, Route::Gather { services, .. } if services.len() == 2)
    );
}

#[rstest]
#[case::longer_path("/search/x", true)]
#[case::query("/search/?page=2", true)]
#[case::prefix_only("/search/", true)]
#[case::missing_trailing_slash("/search", false)]
#[case::not_at_start("/other/search/", false)]
#[case::in_query("/?/search/", false)]
fn front_matches_path_prefix(#[case] path: &str, #[case] is_found: bool) {
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
fn required_parts_are_rounded_up_without_float_error(
    #[case] services_count: usize,
    #[case] least_ratio: f64,
    #[case] expected: u32,
) {
    let names: Vec<String> = (0..services_count).map(|n| format!("s{n}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let StoreRecord::Configuration(mut entry) = configuration(1, &names) else {
        panic!("expected a configuration");
    };
    if let model::Destination::Gather {
        least_ratio: least, ..
    } = &mut entry.fronts[0].destination
    {
        *least = least_ratio;
    }
    let mut catalog = Catalog::default();
    apply(
        &mut catalog,
        Instant::now(),
        &StoreRecord::Configuration(entry),
    );
    let front = catalog.fronts.values().next().expect("a front");
    assert!(
        matches!(front.route, Route::Gather { parts_min_count, .. } if parts_min_count == expected)
    );
}

#[test]
fn restart_or_address_change_replaces_target() {
    let now = Instant::now();
    let mut catalog = Catalog::default();
    apply(&mut catalog, now, &target("i-1", registration(80)));
    let first = catalog.target_ids["i-1"];
    assert_eq!(
        apply(&mut catalog, now, &target("i-1", registration(80))),
        None
    );
    let mut restarted = registration(80);
    restarted.born_ms = 2;
    let change = apply(&mut catalog, now, &target("i-1", restarted));
    assert!(
        matches!(change, Some(Change::TargetStarted { replaced: Some(old), .. }) if old == first)
    );
    assert_eq!(catalog.targets.len(), 1);
    let moved = registration(81);
    apply(&mut catalog, now, &target("i-1", moved));
    assert_eq!(catalog.targets.len(), 1);
    let services = catalog.services.values();
    let targets_count: usize = services.map(|service| service.targets.len()).sum();
    assert_eq!(targets_count, 1);
}

#[test]
fn targets_of_evacuated_zone_receive_no_requests() {
    let now = Instant::now();
    let mut catalog = Catalog::default();
    apply(&mut catalog, now, &target("i-1", registration(80)));
    let key = catalog.target_ids["i-1"];
    let zone = "kranj".to_owned();
    apply(
        &mut catalog,
        now,
        &StoreRecord::ZoneOut {
            zone: zone.clone(),
            is_out: true,
        },
    );
    assert_eq!(eligibility(&catalog, key, now), Eligibility::Out);
    apply(
        &mut catalog,
        now,
        &StoreRecord::ZoneOut {
            zone,
            is_out: false,
        },
    );
    assert_eq!(eligibility(&catalog, key, now), Eligibility::Ready);
}

#[test]
fn draining_target_is_usable_until_grace_period_ends() {
    let now = Instant::now();
    let mut catalog = Catalog::default();
    let mut draining = registration(80);
    draining.is_draining = true;
    apply(&mut catalog, now, &target("i-1", draining));
    let key = catalog.target_ids["i-1"];
    assert_eq!(eligibility(&catalog, key, now), Eligibility::Leaving);
    let later = now + Duration::from_millis(900);
    assert_eq!(eligibility(&catalog, key, later), Eligibility::Out);
}

#[rstest]
#[case::removed(removed("i-1"))]
#[case::unparsable_registration(StoreRecord::Target { target_id: "i-1".to_owned(), registration: None })]
fn target_without_valid_registration_expires(#[case] record: StoreRecord) {
    let now = Instant::now();
    let mut catalog = Catalog::default();
    apply(&mut catalog, now, &target("i-1", registration(80)));
    apply(&mut catalog, now, &target("i-2", registration(81)));
    let key = catalog.target_ids["i-1"];
    apply(&mut catalog, now, &record);
    assert_eq!(eligibility(&catalog, key, now), Eligibility::Leaving);
    assert_eq!(remove_expired_targets(&mut catalog, now), []);
    assert_eq!(
        remove_expired_targets(&mut catalog, now + Duration::from_secs(1)),
        [key]
    );
    assert_eq!(catalog.targets.len(), 1);
}

#[test]
fn lapsed_registration_has_longer_grace_period() {
    let now = Instant::now();
    let mut catalog = Catalog::default();
    apply(&mut catalog, now, &target("i-1", registration(80)));
    let key = catalog.target_ids["i-1"];
    catalog.lapse_window_until = Some(now + Duration::from_secs(3));
    apply(&mut catalog, now, &removed("i-1"));
    let later = now + Duration::from_millis(2_000);
    assert_eq!(eligibility(&catalog, key, later), Eligibility::Leaving);
    apply(&mut catalog, later, &target("i-1", registration(80)));
    assert_eq!(eligibility(&catalog, key, later), Eligibility::Ready);
    apply(&mut catalog, later, &removed("i-1"));
    assert_eq!(
        remove_expired_targets(&mut catalog, later + Duration::from_millis(2_300)),
        [key]
    );
}

#[test]
fn target_that_drains_after_its_registration_is_back_has_the_usual_grace_period() {
    let now = Instant::now();
    let mut catalog = Catalog::default();
    apply(&mut catalog, now, &target("t1", registration(80)));
    catalog.lapse_window_until = Some(now + Duration::from_secs(3));
    apply(&mut catalog, now, &removed("t1"));
    apply(&mut catalog, now, &target("t1", registration(80)));
    let mut draining = registration(80);
    draining.is_draining = true;
    apply(&mut catalog, now, &target("t1", draining));
    let (key, _) = catalog.targets.iter().next().expect("a target");
    let later = now + Duration::from_secs(1);
    assert_eq!(eligibility(&catalog, key, later), Eligibility::Out);
}
