//! Property test of the accounting.

use std::time::{Duration, Instant};

use proptest::{
    prelude::{ProptestConfig, any, prop, proptest},
    prop_assert, prop_assert_eq,
    test_runner::RngSeed,
};

use super::*;

const BOUNDS: Bounds = Bounds {
    memory_max_bytes: 400_000,
    clients_max_count: 8,
    base_bytes: 10_000,
};

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        cases: 512,
        ..ProptestConfig::default()
    })]

    /// Guards against memory that is counted twice, never released, or granted beyond the bound
    /// when connections end at any point, and against a reserve that large bodies take.
    #[test]
    fn total_is_what_clients_hold_and_never_exceeds_the_bound(
        steps in prop::collection::vec((0..6u8, any::<prop::sample::Index>(), 0..200_000usize), 0..200),
    ) {
        let mut account = new(BOUNDS);
        let mut held: Vec<(ClientKey, usize)> = Vec::new();
        let mut now = Instant::now();
        for (step, index, bytes) in steps {
            now += Duration::from_millis(bytes as u64 % 900);
            let verdict = match (step, held.is_empty()) {
                (0, _) | (_, true) => match open(&mut account, true, now) {
                    Verdict::Granted(key) => { held.push((key, BOUNDS.base_bytes)); None }
                    Verdict::Shed(key) => Some(key),
                    Verdict::Refused => None,
                },
                (1 | 2, _) => {
                    let slot = index.index(held.len());
                    match reserve(&mut account, held[slot].0, bytes, now) {
                        Verdict::Granted(()) => {
                            held[slot].1 += bytes;
                            let is_usual = held[slot].1 <= USUAL_BYTES;
                            prop_assert!(is_usual || held_bytes(&account) <= 300_000);
                            None
                        }
                        Verdict::Shed(key) => { prop_assert!(key != held[slot].0); Some(key) }
                        Verdict::Refused => None,
                    }
                }
                (3, _) => {
                    let slot = index.index(held.len());
                    release(&mut account, held[slot].0, bytes);
                    let freed = bytes.min(held[slot].1 - BOUNDS.base_bytes);
                    held[slot].1 -= freed;
                    None
                }
                (4, _) => {
                    let phase = [Phase::Receiving, Phase::Serving, Phase::Idle][bytes % 3];
                    let (key, _) = held[index.index(held.len())];
                    enter(&mut account, key, phase, now);
                    None
                }
                _ => Some(held[index.index(held.len())].0),
            };
            if let Some(key) = verdict {
                close(&mut account, key);
                held.retain(|(open_key, _)| *open_key != key);
            }
            let expected: usize = held.iter().map(|(_, bytes)| bytes).sum();
            prop_assert_eq!(held_bytes(&account), expected);
            prop_assert!(expected <= BOUNDS.memory_max_bytes);
            prop_assert!(clients_count(&account) <= BOUNDS.clients_max_count);
        }
        for (key, _) in held {
            close(&mut account, key);
        }
        prop_assert_eq!(held_bytes(&account), 0);
    }
}

/// Guards against shedding a client whose request is being served, or a fast one before a slow one.
#[test]
fn the_slowest_receiver_is_shed_first_and_a_served_client_never() {
    let mut account = new(Bounds {
        clients_max_count: 3,
        ..BOUNDS
    });
    let start = Instant::now();
    let keys = [(); 3].map(|()| match open(&mut account, true, start) {
        Verdict::Granted(key) => key,
        refused => panic!("{refused:?}"),
    });
    assert_eq!(open(&mut account, true, start), Verdict::Refused);
    enter(&mut account, keys[0], Phase::Serving, start);
    receive(&mut account, keys[1], 5_000);
    let later = start + Duration::from_secs(1);
    assert_eq!(open(&mut account, false, later), Verdict::Refused);
    assert_eq!(open(&mut account, true, later), Verdict::Shed(keys[2]));
    assert_eq!(open(&mut account, true, later), Verdict::Shed(keys[1]));
    assert_eq!(open(&mut account, true, later), Verdict::Refused);
}
