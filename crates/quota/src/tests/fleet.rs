//! Shares served and the bound, over fleets of 1 to 300 instances and through failures.

use std::{collections::BTreeSet, time::Duration};

use model::UsageCap;
use proptest::{prelude::*, test_runner::RngSeed};
use rand::RngExt;
use rstest::rstest;

use super::simulation::{
    Sim, announce, cut_zone, freeze, kill, permitted_count, publish, restart, run, sim, worst_ratio,
};

const CAP: UsageCap = UsageCap {
    per_s: 10.0,
    burst_count: 10.0,
};

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn all(sim: &Sim) -> Vec<usize> {
    (0..sim.nodes.len()).collect()
}

/// Guards against callers within the cap that are refused because they are spread unevenly, and
/// against more requests than the bound.
#[rstest]
fn shares_of_permitted_requests_are_served(
    #[values(1, 9, 73, 300)] nodes_count: usize,
    #[values(false, true)] is_uneven: bool,
    #[values(0.5, 1.0, 1.6, 8.0)] demand_ratio: f64,
) {
    let (mut served, mut permitted) = (0, 0);
    for (seed, cap) in [
        (1, CAP),
        (
            2,
            UsageCap {
                per_s: 0.5,
                burst_count: 4.0,
            },
        ),
        (
            3,
            UsageCap {
                per_s: 30.0,
                burst_count: 30.0,
            },
        ),
    ] {
        let zones_count = nodes_count.min(3);
        let mut sim = sim(nodes_count, zones_count, cap, seed);
        let entries = match is_uneven {
            true => (0..nodes_count.min(3)).collect(),
            false => all(&sim),
        };
        // Every issuer issues, and every bucket is full.
        run(&mut sim, seconds(25), 0.0, &entries);
        let (ready, from) = (sim.start, sim.now);
        run(&mut sim, seconds(25), cap.per_s * demand_ratio, &entries);
        let worst = worst_ratio(&sim, &cap, sim.start);
        assert!(worst <= 1.0, "{worst} of the bound");
        let nodes = nodes_count as f64 * 25.0;
        println!(
            "cap {} nodes {nodes_count} uneven {is_uneven} demand {demand_ratio}: worst {worst:.3}, served {} of {}, {} over cap, {} unreachable, {:.2} messages and {:.1} bytes a second",
            cap.per_s,
            sim.spent.len(),
            permitted_count(&sim, &cap, ready, from),
            sim.over_cap_count,
            sim.unreachable_count,
            sim.messages_count as f64 / nodes,
            sim.bytes_count as f64 / nodes,
        );
        served += sim.spent.len() as u64;
        permitted += permitted_count(&sim, &cap, ready, from);
        assert_eq!(sim.unreachable_count, 0);
    }
    let min_ratio = if demand_ratio < 1.0 { 0.98 } else { 0.95 };
    let ratio = served as f64 / permitted as f64;
    assert!(ratio >= min_ratio, "{ratio} of the permitted requests");
}

#[derive(Clone, Copy, Debug)]
enum Failure {
    Killed,
    Frozen,
    CutInbound,
    CutOutbound,
    Replaced,
    ZoneCut,
    AllKilled,
    CapLowered,
    OldQuestions,
    RemovedAndAdded,
}

/// Guards against permits that are issued or spent twice when a machine, a link or a process fails.
#[rstest]
#[case(Failure::Killed)]
#[case(Failure::Frozen)]
#[case(Failure::CutInbound)]
#[case(Failure::CutOutbound)]
#[case(Failure::Replaced)]
#[case(Failure::ZoneCut)]
#[case(Failure::AllKilled)]
#[case(Failure::CapLowered)]
#[case(Failure::OldQuestions)]
#[case(Failure::RemovedAndAdded)]
fn no_failure_exceeds_the_bound(#[case] failure: Failure) {
    for (nodes_count, demand_ratio) in [(9, 1.0), (9, 8.0), (73, 8.0)] {
        let mut sim = sim(nodes_count, 3, CAP, 11);
        sim.loss_ratio = 0.02;
        sim.duplicate_ratio = 0.1;
        let entries = all(&sim);
        run(&mut sim, seconds(12), 0.0, &entries);
        let demand_per_s = CAP.per_s * demand_ratio;
        run(&mut sim, seconds(6), demand_per_s, &entries);
        let index = issuer(&sim, 0);
        let before = sim.spent.len();
        inject(&mut sim, failure, index, demand_per_s, &entries);
        run(&mut sim, seconds(20), demand_per_s, &entries);
        let worst = worst_ratio(&sim, &CAP, sim.start);
        let during = sim.spent.len() - before;
        println!(
            "{failure:?}, {nodes_count} instances, demand {demand_ratio}: worst {worst:.3}, sent {during}"
        );
        assert!(worst <= 1.0, "{failure:?}: {worst} of the bound");
        if !matches!(failure, Failure::CapLowered) {
            assert!(during > 100, "{failure:?}: only {during} sent");
        }
    }
}

fn inject(sim: &mut Sim, failure: Failure, index: usize, per_s: f64, entries: &[usize]) {
    let nodes_count = sim.nodes.len();
    match failure {
        Failure::Killed => kill(sim, index),
        Failure::Frozen => freeze(sim, index, seconds(4)),
        Failure::OldQuestions => {
            for entry in 0..nodes_count {
                freeze(
                    sim,
                    entry,
                    Duration::from_millis(300 + 450 * (entry as u64 % 5)),
                );
            }
        }
        Failure::CutInbound => sim.cuts.extend((0..nodes_count).map(|from| (from, index))),
        Failure::CutOutbound => sim.cuts.extend((0..nodes_count).map(|to| (index, to))),
        Failure::Replaced => {
            announce(sim, index, false);
            run(sim, seconds(4), per_s, entries);
            kill(sim, index);
            restart(sim, index, BTreeSet::from([index]));
            announce(sim, index, true);
        }
        Failure::ZoneCut => {
            cut_zone(sim, 0);
            run(sim, seconds(12), per_s, entries);
            sim.cuts.clear();
        }
        Failure::AllKilled => {
            for index in 0..nodes_count {
                kill(sim, index);
            }
            for index in 0..nodes_count {
                restart(sim, index, BTreeSet::from([index]));
            }
        }
        Failure::CapLowered => {
            let cap = UsageCap {
                per_s: 0.5,
                burst_count: 1.0,
            };
            publish(sim, Some(cap));
            run(sim, seconds(10), per_s, entries);
            let from = sim.now - seconds(5);
            run(sim, seconds(20), per_s, entries);
            let worst = worst_ratio(sim, &cap, from);
            println!("lowered: worst {worst:.3}");
            assert!(worst <= 1.0, "{worst} of the lower bound");
        }
        Failure::RemovedAndAdded => {
            // Requests are not capped in between, so only the time after counts.
            publish(sim, None);
            run(sim, seconds(6), 0.0, entries);
            publish(sim, Some(CAP));
            run(sim, seconds(6), 0.0, entries);
        }
    }
}

/// Returns the issuer in a zone, in its own view.
fn issuer(sim: &Sim, zone: usize) -> usize {
    let (_, organisation) = crate::organisations(&sim.nodes[0].quota)
        .next()
        .expect("a cap");
    let mut issuers = crate::issuers(organisation);
    let issuer = issuers.find(|(name, _)| *name == sim.zones[zone]);
    let name = issuer.and_then(|(_, name)| name).expect("an issuer");
    let number = name.rsplit('-').next().expect("a number");
    number.parse().expect("a number")
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 12,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(61),
        ..ProptestConfig::default()
    })]

    /// Guards against combinations of failures that no single test contains.
    #[test]
    fn no_schedule_of_failures_exceeds_the_bound(
        seed in any::<u64>(),
        steps in prop::collection::vec((0_u8..9, any::<u16>()), 1..10),
        nodes_count in 4_usize..16,
        demand_ratio in 0.5..8.0_f64,
    ) {
        let mut sim = sim(nodes_count, 3, CAP, seed);
        sim.loss_ratio = 0.05;
        sim.duplicate_ratio = 0.2;
        sim.delay_max = Duration::from_millis(60);
        let entries = all(&sim);
        let demand_per_s = CAP.per_s * demand_ratio;
        let mut highest = CAP;
        run(&mut sim, seconds(10), demand_per_s, &entries);
        for (kind, value) in steps {
            let index = usize::from(value) % nodes_count;
            match kind {
                0 => kill(&mut sim, index),
                1 => restart(&mut sim, index, BTreeSet::from([index])),
                2 => freeze(&mut sim, index, Duration::from_millis(u64::from(value) % 6_000)),
                3 => cut_zone(&mut sim, index % 3),
                4 => sim.cuts.clear(),
                5 => { sim.cuts.extend((0..nodes_count).map(|from| (from, index))); }
                6 => { sim.cuts.extend((0..nodes_count).map(|to| (index, to))); }
                7 => {
                    let cap = UsageCap {
                        per_s: f64::from(value % 20) + 0.5,
                        burst_count: f64::from(value % 7),
                    };
                    highest.per_s = highest.per_s.max(cap.per_s);
                    highest.burst_count = highest.burst_count.max(cap.burst_count);
                    publish(&mut sim, Some(cap));
                }
                _ => {
                    announce(&mut sim, index, false);
                    run(&mut sim, seconds(3), demand_per_s, &entries);
                    kill(&mut sim, index);
                    restart(&mut sim, index, BTreeSet::from([index]));
                    announce(&mut sim, index, true);
                }
            }
            let pause = Duration::from_millis(sim.rng.random_range(100..5_000));
            run(&mut sim, pause, demand_per_s, &entries);
        }
        let worst = worst_ratio(&sim, &highest, sim.start);
        println!("worst {worst:.3}");
        prop_assert!(worst <= 1.0, "{worst} of the bound");
    }
}
