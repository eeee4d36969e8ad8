//! The queue of what is to happen, and the loop over it.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    time::{Duration, Instant},
};

use model::{Effect, Event};

use crate::{
    effects,
    happening::{Happening, Notice, Outcome, with_event},
    reduce::{begin, reduce},
    world::World,
};

/// Time after the last arrival until which answers are awaited.
const DRAIN: Duration = Duration::from_secs(2);

/// What is to happen, in order of time and then of origin.
#[derive(Debug, Default)]
struct Queue {
    heap: BinaryHeap<Reverse<(Duration, u64, Slot)>>,
    next_number: u64,
}

/// A happening that takes no part in the order.
#[derive(Debug)]
struct Slot(Happening);

impl PartialEq for Slot {
    fn eq(&self, _: &Slot) -> bool {
        true
    }
}

impl Eq for Slot {}

impl PartialOrd for Slot {
    fn partial_cmp(&self, other: &Slot) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Slot {
    fn cmp(&self, _: &Slot) -> std::cmp::Ordering {
        std::cmp::Ordering::Equal
    }
}

/// Runs the world until every request is answered; `policy` is the reducer to measure.
pub fn run(world: &mut World, mut policy: impl FnMut(Instant, Event<'_>, &mut Vec<Effect>)) {
    let origin = Instant::now();
    let end = world.case.duration + world.case.timeout + DRAIN;
    let mut queue = Queue::default();
    let mut asleep_until = Duration::ZERO;
    let mut outcomes = begin(world);
    let mut effects_out = Vec::new();
    settle(&mut queue, Duration::ZERO, &mut outcomes, &mut asleep_until);
    while let Some(Reverse((now, _, Slot(happening)))) = queue.heap.pop() {
        if now > end {
            break;
        }
        match happening {
            Happening::Policy(notice) if now < asleep_until => {
                push(&mut queue, asleep_until, Happening::Policy(notice));
            }
            Happening::Policy(notice) => {
                feed(world, origin + now, &notice, &mut policy, &mut effects_out);
                for effect in effects_out.drain(..) {
                    effects::take(world, now, effect, &mut outcomes);
                }
            }
            happening => reduce(world, now, happening, &mut outcomes),
        }
        settle(&mut queue, now, &mut outcomes, &mut asleep_until);
    }
}

fn feed(
    world: &mut World,
    now: Instant,
    notice: &Notice,
    policy: &mut impl FnMut(Instant, Event<'_>, &mut Vec<Effect>),
    out: &mut Vec<Effect>,
) {
    let timeout = world.case.timeout;
    let took = with_event(notice, timeout, |event| {
        let started = Instant::now();
        policy(now, event, out);
        started.elapsed()
    });
    // A value of the platform comes seldom, so its cost is not that of an event.
    if matches!(notice, Notice::Note { .. } | Notice::Instances { .. }) {
        return;
    }
    world.tally.events_count += 1;
    world.tally.reduce_time += took;
}

fn settle(
    queue: &mut Queue,
    now: Duration,
    outcomes: &mut Vec<Outcome>,
    asleep_until: &mut Duration,
) {
    for outcome in outcomes.drain(..) {
        match outcome {
            Outcome::Later { after, happening } => push(queue, now + after, happening),
            Outcome::Pause(duration) => *asleep_until = now + duration,
        }
    }
}

fn push(queue: &mut Queue, at: Duration, happening: Happening) {
    queue.next_number += 1;
    let number = queue.next_number;
    queue.heap.push(Reverse((at, number, Slot(happening))));
}
