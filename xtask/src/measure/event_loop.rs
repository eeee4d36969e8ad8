//! The event queue of the simulation and the loop that processes it.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    time::{Duration, Instant},
};

use model::{Effect, Event};

use crate::{
    effects,
    event::{PolicyEvent, SimEffect, SimEvent, with_event},
    reduce::{initial_effects, reduce},
    simulation::Simulation,
};

/// Time after the timeout of the last request during which answers are still awaited.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Scheduled events, ordered by time; events of the same time keep the order of scheduling.
#[derive(Debug, Default)]
struct Queue {
    heap: BinaryHeap<Reverse<(Duration, u64, Unordered)>>,
    last_number: u64,
}

/// An event that is ignored by comparisons, so that only time and number order the queue.
#[derive(Debug)]
struct Unordered(SimEvent);

impl PartialEq for Unordered {
    fn eq(&self, _: &Unordered) -> bool {
        true
    }
}

impl Eq for Unordered {}

impl PartialOrd for Unordered {
    fn partial_cmp(&self, other: &Unordered) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Unordered {
    fn cmp(&self, _: &Unordered) -> std::cmp::Ordering {
        std::cmp::Ordering::Equal
    }
}

/// Runs the simulation until no event is left or the time limit is reached; `policy` is the reducer
/// under test.
pub fn run(sim: &mut Simulation, mut policy: impl FnMut(Instant, Event<'_>, &mut Vec<Effect>)) {
    let start = Instant::now();
    let time_limit = sim.case.duration + sim.case.timeout + DRAIN_TIME;
    let mut queue = Queue::default();
    let mut paused_until = Duration::ZERO;
    let mut sim_effects = initial_effects(sim);
    let mut policy_effects = Vec::new();
    apply_effects(
        &mut queue,
        Duration::ZERO,
        &mut sim_effects,
        &mut paused_until,
    );
    while let Some(Reverse((now, _, Unordered(event)))) = queue.heap.pop() {
        if now > time_limit {
            break;
        }
        match event {
            SimEvent::Policy(policy_event) if now < paused_until => {
                schedule(&mut queue, paused_until, SimEvent::Policy(policy_event));
            }
            SimEvent::Policy(policy_event) => {
                run_policy(
                    sim,
                    start + now,
                    &policy_event,
                    &mut policy,
                    &mut policy_effects,
                );
                for effect in policy_effects.drain(..) {
                    effects::apply(sim, now, effect, &mut sim_effects);
                }
            }
            event => reduce(sim, now, event, &mut sim_effects),
        }
        apply_effects(&mut queue, now, &mut sim_effects, &mut paused_until);
    }
}

fn run_policy(
    sim: &mut Simulation,
    now: Instant,
    policy_event: &PolicyEvent,
    policy: &mut impl FnMut(Instant, Event<'_>, &mut Vec<Effect>),
    out: &mut Vec<Effect>,
) {
    let timeout = sim.case.timeout;
    let elapsed = with_event(policy_event, timeout, |event| {
        let started = Instant::now();
        policy(now, event, out);
        started.elapsed()
    });
    // Deliveries from the platform are rare, so their cost is left out of the mean per event.
    if matches!(
        policy_event,
        PolicyEvent::Note { .. } | PolicyEvent::Instances { .. }
    ) {
        return;
    }
    sim.stats.events_count += 1;
    sim.stats.reduce_time += elapsed;
}

fn apply_effects(
    queue: &mut Queue,
    now: Duration,
    sim_effects: &mut Vec<SimEffect>,
    paused_until: &mut Duration,
) {
    for effect in sim_effects.drain(..) {
        match effect {
            SimEffect::Schedule { after, event } => schedule(queue, now + after, event),
            SimEffect::Pause(duration) => *paused_until = now + duration,
        }
    }
}

fn schedule(queue: &mut Queue, at: Duration, event: SimEvent) {
    queue.last_number += 1;
    let number = queue.last_number;
    queue.heap.push(Reverse((at, number, Unordered(event))));
}
