//! Orders under arbitrary schedules: no order runs twice, and "not run" is always true.
//!
//! The checks are in the world itself: at each execution and at each answer.

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

use super::world::{Fate, Pending, World, ask, drain, happen, issue, lose_peer, restart, world};

const INSTANCES_COUNT: usize = 3;
const ORDERS_COUNT: usize = 4;

/// One step of a schedule.
#[derive(Clone, Debug)]
enum Step {
    /// Sends an order through an instance, for the first time or again.
    Order(usize, usize),
    /// Sends an idempotent request through an instance.
    Read(usize),
    /// Lets one of the pending things happen.
    Happen(usize, Fate),
    Restart(usize),
    LosePeer(usize, usize),
    Pause(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let instance = 0..INSTANCES_COUNT;
    let fate = prop_oneof![
        6 => Just(Fate::Arrive),
        2 => Just(Fate::ArriveTwice),
        1 => Just(Fate::Lose),
        1 => Just(Fate::ExecuteAndLose),
        1 => Just(Fate::Decline),
    ];
    prop_oneof![
        6 => (0..ORDERS_COUNT, instance.clone()).prop_map(|(o, i)| Step::Order(o, i)),
        1 => instance.clone().prop_map(Step::Read),
        16 => (any::<prop::sample::Index>(), fate)
            .prop_map(|(position, fate)| Step::Happen(position.index(1 << 16), fate)),
        1 => instance.clone().prop_map(Step::Restart),
        1 => (instance.clone(), instance).prop_map(|(a, b)| Step::LosePeer(a, b)),
        1 => (1..400_u64).prop_map(Step::Pause),
    ]
}

fn play(steps: Vec<Step>) -> World {
    let mut world = world(INSTANCES_COUNT);
    let tickets: Vec<String> = (0..ORDERS_COUNT)
        .map(|order| issue(&mut world, order % INSTANCES_COUNT))
        .collect();
    let mut reads_count = 0;
    for step in steps {
        match step {
            Step::Order(order, index) => {
                let name = format!("order-{order}");
                ask(&mut world, index, &name, Some(&tickets[order]));
            }
            Step::Read(index) => {
                reads_count += 1;
                ask(&mut world, index, &format!("read-{reads_count}"), None);
            }
            Step::Happen(position, fate) if !world.pending.is_empty() => {
                let position = position % world.pending.len();
                happen(&mut world, position, fate);
            }
            Step::Happen(..) => {}
            Step::Restart(index) => restart(&mut world, index),
            Step::LosePeer(index, other) => lose_peer(&mut world, index, other),
            Step::Pause(seconds) => world.now += std::time::Duration::from_secs(seconds),
        }
    }
    drain(&mut world);
    world
}

proptest! {
    #![proptest_config(Config {
        cases: 600, rng_seed: RngSeed::Fixed(66), failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn no_order_runs_twice_and_not_run_is_true(steps in prop::collection::vec(step(), 1..120)) {
        play(steps);
    }
}

#[test]
fn a_resend_after_any_end_is_told_the_same() {
    for fate in [
        Fate::Arrive,
        Fate::Lose,
        Fate::ExecuteAndLose,
        Fate::Decline,
    ] {
        let mut world = world(2);
        let ticket = issue(&mut world, 0);
        ask(&mut world, 0, "order", Some(&ticket));
        let call = world.pending.len() - 1;
        happen(&mut world, call, fate);
        drain(&mut world);
        let first = world.answered.clone();
        for index in [1, 0, 1] {
            ask(&mut world, index, "order", Some(&ticket));
            drain(&mut world);
        }
        let same = first.into_iter().map(|(word, count)| (word, count * 4));
        assert_eq!(world.answered, same.collect(), "{fate:?}");
    }
}

/// Plays a request that crashes every target; returns the targets lost.
fn play_poison(resends: &[(usize, bool)]) -> u32 {
    let mut world = world(INSTANCES_COUNT);
    let mut lost_count = 0;
    for &(index, is_order) in resends {
        let ticket = is_order.then(|| issue(&mut world, index));
        ask(&mut world, index, "poison", ticket.as_deref());
        let is_timer = |pending: &Pending| matches!(pending, Pending::Timer(..));
        while let Some(position) = world.pending.iter().position(|p| !is_timer(p)) {
            let is_call = matches!(world.pending[position], Pending::Call(..));
            lost_count += u32::from(is_call);
            let fate = if is_call { Fate::Lose } else { Fate::Arrive };
            happen(&mut world, position, fate);
        }
        world.pending.clear();
    }
    lost_count
}

proptest! {
    #![proptest_config(Config {
        cases: 300, rng_seed: RngSeed::Fixed(67), failure_persistence: None,
        ..Config::default()
    })]

    /// A caller that sends a poison request again and again, as a read or as an order, through any
    /// instance, loses two targets, if the news travel faster than the caller.
    #[test]
    fn a_poison_request_costs_two_targets(
        resends in prop::collection::vec((0..INSTANCES_COUNT, any::<bool>()), 3..12),
    ) {
        prop_assert_eq!(play_poison(&resends), 2);
    }
}
