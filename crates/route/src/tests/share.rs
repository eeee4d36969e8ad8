//! Division of the limits of a target among the instances.

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

use findings::Findings;

use crate::{Routes, apply, rank_share, set_instances};

fn config() -> Config {
    Config {
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        cases: 256,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn shares_of_all_ranks_add_up_to_the_total(
        total in 0..200_u32, instances in 1..500_u32, offset: u32,
    ) {
        let shares = (0..instances).map(|rank| rank_share(total, instances, rank, offset));
        prop_assert_eq!(shares.sum::<u32>(), total);
    }

    #[test]
    fn shares_differ_by_at_most_one(
        total in 0..200_u32, instances in 1..500_u32, offset: u32,
    ) {
        let shares: Vec<u32> = (0..instances).map(|rank| rank_share(total, instances, rank, offset)).collect();
        let least = shares.iter().min().expect("there is an instance");
        let most = shares.iter().max().expect("there is an instance");
        prop_assert!(most - least <= 1);
    }
}

/// With two replicas that accept one call each in cold start, each of two instances may call one of
/// them. Without offsets both calls would belong to the same instance.
#[test]
fn small_cold_start_limits_leave_every_instance_a_replica() {
    let zones = r#"[{"name": "north", "state": "in"}]"#;
    let target = |index: u32| {
        format!(
            r#"{{"name": "parts-01-t{index}", "zone": "north", "address": "127.0.0.1:{index}",
            "slots_count": 4, "connections_max_count": 32, "cold_bearable_count": 1, "state": "in"}}"#
        )
    };
    let document = format!(
        r#"{{"revision": 1, "added": ["zone/north", "service/parts-01", "front/parts"],
        "changed": [], "withdrawn": [], "fleet": {{"zones": {zones}, "released_fingerprints": [],
        "services": [{{"name": "parts-01", "targets": [{}, {}]}}],
        "fronts": [{{"name": "parts", "zones": [],
        "shard_maps": [{{"from_snapshot": 1, "services": ["parts-01"]}}]}}]}}}}"#,
        target(1),
        target(2),
    );
    let mut findings = Findings::default();
    let note = note::read(&document, &mut findings);
    let note = note.unwrap_or_else(|| panic!("{findings}"));
    for rank in 0..2 {
        let mut routes = Routes::default();
        let mut out = Vec::new();
        set_instances(&mut routes, 2, rank, &mut out);
        apply(&mut routes, &note, &mut out);
        let shares = routes
            .targets
            .values()
            .map(|target| target.cold_share_count);
        assert_eq!(shares.sum::<u32>(), 1, "instance {rank}");
    }
}
