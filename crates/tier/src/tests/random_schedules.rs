//! Orders under random schedules: no order runs twice, and the answer "not run" is always true.
//!
//! An order is an at-most-once request. The simulation checks both at each execution and at each
//! answer.

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

use super::simulation::{
    Delivery, Pending, Simulation, deliver, deliver_all, issue_ticket, report_peer_unreachable,
    restart, send_request, simulation,
};

const INSTANCES_COUNT: usize = 3;
const ORDERS_COUNT: usize = 4;

/// One step of a schedule.
#[derive(Clone, Debug)]
enum Step {
    /// Sends or resends an order (first index) through an instance (second index).
    Order(usize, usize),
    /// Sends an idempotent request through an instance.
    IdempotentRequest(usize),
    /// Delivers one of the pending events.
    Deliver(usize, Delivery),
    Restart(usize),
    /// Reports to an instance (first index) that another one cannot be reached.
    PeerUnreachable(usize, usize),
    /// Advances the clock by seconds.
    AdvanceClock(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let instance = 0..INSTANCES_COUNT;
    let delivery = prop_oneof![
        6 => Just(Delivery::Deliver),
        2 => Just(Delivery::DeliverTwice),
        1 => Just(Delivery::Lose),
        1 => Just(Delivery::ExecuteThenLose),
        1 => Just(Delivery::Shed),
    ];
    prop_oneof![
        6 => (0..ORDERS_COUNT, instance.clone()).prop_map(|(o, i)| Step::Order(o, i)),
        1 => instance.clone().prop_map(Step::IdempotentRequest),
        16 => (any::<prop::sample::Index>(), delivery)
            .prop_map(|(position, delivery)| Step::Deliver(position.index(1 << 16), delivery)),
        1 => instance.clone().prop_map(Step::Restart),
        1 => (instance.clone(), instance).prop_map(|(a, b)| Step::PeerUnreachable(a, b)),
        1 => (1..400_u64).prop_map(Step::AdvanceClock),
    ]
}

fn run_schedule(steps: Vec<Step>) -> Simulation {
    let mut sim = simulation(INSTANCES_COUNT);
    let tickets: Vec<String> = (0..ORDERS_COUNT)
        .map(|order| issue_ticket(&mut sim, order % INSTANCES_COUNT))
        .collect();
    let mut reads_count = 0;
    for step in steps {
        match step {
            Step::Order(order, index) => {
                let name = format!("order-{order}");
                send_request(&mut sim, index, &name, Some(&tickets[order]));
            }
            Step::IdempotentRequest(index) => {
                reads_count += 1;
                send_request(&mut sim, index, &format!("read-{reads_count}"), None);
            }
            Step::Deliver(position, delivery) if !sim.pending.is_empty() => {
                let position = position % sim.pending.len();
                deliver(&mut sim, position, delivery);
            }
            Step::Deliver(..) => {}
            Step::Restart(index) => restart(&mut sim, index),
            Step::PeerUnreachable(index, other) => report_peer_unreachable(&mut sim, index, other),
            Step::AdvanceClock(seconds) => sim.now += std::time::Duration::from_secs(seconds),
        }
    }
    deliver_all(&mut sim);
    sim
}

proptest! {
    #![proptest_config(Config {
        cases: 600, rng_seed: RngSeed::Fixed(66), failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn no_order_runs_twice_or_after_not_run(steps in prop::collection::vec(step(), 1..120)) {
        run_schedule(steps);
    }
}

#[test]
fn a_resend_gets_the_same_outcome_after_any_delivery() {
    for delivery in [
        Delivery::Deliver,
        Delivery::Lose,
        Delivery::ExecuteThenLose,
        Delivery::Shed,
    ] {
        let mut sim = simulation(2);
        let ticket = issue_ticket(&mut sim, 0);
        send_request(&mut sim, 0, "order", Some(&ticket));
        let call = sim.pending.len() - 1;
        deliver(&mut sim, call, delivery);
        deliver_all(&mut sim);
        let first = sim.answer_counts.clone();
        for index in [1, 0, 1] {
            send_request(&mut sim, index, "order", Some(&ticket));
            deliver_all(&mut sim);
        }
        let same = first.into_iter().map(|(word, count)| (word, count * 4));
        assert_eq!(sim.answer_counts, same.collect(), "{delivery:?}");
    }
}

/// Sends a request that crashes every target that it reaches; returns the number of targets lost.
///
/// Timers are dropped after each send, so no deadline ends the request first.
fn run_crashing_request(resends: &[(usize, bool)]) -> u32 {
    let mut sim = simulation(INSTANCES_COUNT);
    let mut lost_count = 0;
    for &(index, is_order) in resends {
        let ticket = is_order.then(|| issue_ticket(&mut sim, index));
        send_request(&mut sim, index, "poison", ticket.as_deref());
        let is_timer = |pending: &Pending| matches!(pending, Pending::Timer(..));
        while let Some(position) = sim.pending.iter().position(|p| !is_timer(p)) {
            let is_call = matches!(sim.pending[position], Pending::Call(..));
            lost_count += u32::from(is_call);
            let delivery = if is_call {
                Delivery::Lose
            } else {
                Delivery::Deliver
            };
            deliver(&mut sim, position, delivery);
        }
        sim.pending.clear();
    }
    lost_count
}

proptest! {
    #![proptest_config(Config {
        cases: 300, rng_seed: RngSeed::Fixed(67), failure_persistence: None,
        ..Config::default()
    })]

    /// A caller that resends a crashing request, idempotent or as an order, through any instance
    /// loses two targets, provided that strike announcements arrive before the next resend.
    #[test]
    fn a_crashing_request_loses_exactly_two_targets(
        resends in prop::collection::vec((0..INSTANCES_COUNT, any::<bool>()), 3..12),
    ) {
        prop_assert_eq!(run_crashing_request(&resends), 2);
    }
}
