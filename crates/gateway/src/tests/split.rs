//! Fronts that split requests among services by weight.

use std::collections::BTreeMap;

use model::{Destination, StoreRecord};
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};

use super::fixture::{CallResult, gathering_front, record, records, simulation};

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(3),
        ..ProptestConfig::default()
    })]

    #[test]
    fn requests_are_split_by_weight(weights in vec(1..20_u32, 1..4)) {
        let mut front = gathering_front(weights.len());
        front.is_gathering = false;
        let mut sim = simulation(&front, |_, _| (1, CallResult::Done(record(1))));
        let mut configuration = records(&front).remove(0);
        if let StoreRecord::Configuration(configuration) = &mut configuration {
            configuration.version = 2;
            let services = front.services.iter().cloned();
            let parts = services.zip(weights.iter().map(|&weight| f64::from(weight)));
            configuration.fronts[0].destination = Destination::Split(parts.collect());
        }
        catalog::apply(&mut sim.gateway.catalog, sim.now, &configuration);
        let requests_count = 400;
        for _ in 0..requests_count {
            sim.send_request();
            sim.advance(2);
        }
        let mut counts: BTreeMap<&str, f64> = BTreeMap::new();
        for attempt in &sim.attempts {
            let service = attempt.target.split('/').next().unwrap_or_default();
            *counts.entry(service).or_default() += 1.0;
        }
        let total: u32 = weights.iter().sum();
        for (service, weight) in front.services.iter().zip(&weights) {
            let share = counts.get(service.as_str()).copied().unwrap_or(0.0);
            let expected = f64::from(*weight) / f64::from(total);
            let off = (share / f64::from(requests_count) - expected).abs();
            prop_assert!(off < 0.02, "{service}: share is off by {off}");
        }
    }
}
