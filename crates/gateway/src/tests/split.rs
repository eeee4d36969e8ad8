//! Fronts that split their requests among services.

use std::collections::BTreeMap;

use model::{Destination, Record};
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};

use super::fixture::{Fate, plan, record, records, world};

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(3),
        ..ProptestConfig::default()
    })]

    #[test]
    fn each_service_gets_the_share_of_its_weight(weights in vec(1..20_u32, 1..4)) {
        let mut plan = plan(weights.len());
        plan.is_gathering = false;
        let mut world = world(&plan, |_, _| (1, Fate::Done(record(1))));
        let mut configuration = records(&plan).remove(0);
        if let Record::Configuration(configuration) = &mut configuration {
            configuration.version = 2;
            let services = plan.services.iter().cloned();
            let parts = services.zip(weights.iter().map(|&weight| f64::from(weight)));
            configuration.fronts[0].destination = Destination::Split(parts.collect());
        }
        catalog::apply(&mut world.gateway.catalog, world.now, &configuration);
        let requests_count = 400;
        for _ in 0..requests_count {
            world.ask();
            world.pass(2);
        }
        let mut counts: BTreeMap<&str, f64> = BTreeMap::new();
        for seen in &world.seen {
            let service = seen.target.split('/').next().unwrap_or_default();
            *counts.entry(service).or_default() += 1.0;
        }
        let total: u32 = weights.iter().sum();
        for (service, weight) in plan.services.iter().zip(&weights) {
            let share = counts.get(service.as_str()).copied().unwrap_or(0.0);
            let expected = f64::from(*weight) / f64::from(total);
            let off = (share / f64::from(requests_count) - expected).abs();
            prop_assert!(off < 0.02, "{service}: {off} off");
        }
    }
}
