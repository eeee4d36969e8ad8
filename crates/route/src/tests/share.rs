//! The division of a target's connections.

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

use crate::part;

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
    fn the_parts_of_all_ranks_add_up_to_the_total(
        total in 0..200_u32, instances in 1..500_u32, offset: u32,
    ) {
        let parts = (0..instances).map(|rank| part(total, instances, rank, offset));
        prop_assert_eq!(parts.sum::<u32>(), total);
    }

    #[test]
    fn parts_differ_by_at_most_one(
        total in 0..200_u32, instances in 1..500_u32, offset: u32,
    ) {
        let parts: Vec<u32> = (0..instances).map(|rank| part(total, instances, rank, offset)).collect();
        let least = parts.iter().min().expect("there is an instance");
        let most = parts.iter().max().expect("there is an instance");
        prop_assert!(most - least <= 1);
    }
}
