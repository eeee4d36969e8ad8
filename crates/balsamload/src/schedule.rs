//! Schedule of arrivals (Poisson process) and the mix of requests.

use std::time::{Duration, Instant};

use model::Priority;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};

use crate::options::Options;

/// An open-loop schedule: exponential inter-arrival times, drawn from a seeded generator.
#[derive(Clone, Debug)]
pub struct Schedule {
    rng: ChaCha8Rng,
    inter_arrival_s: Option<Exp<f64>>,
    /// When the next arrival is due.
    pub next_due_at: Instant,
    /// End of the load; no arrival is due later.
    pub ends_at: Instant,
    /// Arrivals taken so far.
    pub arrivals_count: u64,
}

/// A scheduled arrival of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// When it is due.
    pub due_at: Instant,
    /// Sequence number, from 0.
    pub number: u64,
    /// Index of the instance in the options.
    pub instance: usize,
    /// Index of the front in the options.
    pub front: usize,
    /// Priority for load shedding.
    pub priority: Priority,
    /// Whether it must run at most once and so needs a ticket.
    pub is_at_most_once: bool,
}

/// Creates the schedule of a load that starts now.
pub fn new(options: &Options, now: Instant) -> Schedule {
    let mut schedule = Schedule {
        rng: ChaCha8Rng::seed_from_u64(options.seed),
        inter_arrival_s: Exp::new(options.rate_per_s).ok(),
        next_due_at: now,
        ends_at: now + options.duration,
        arrivals_count: 0,
    };
    draw_next(&mut schedule);
    schedule
}

/// Removes and returns the next arrival if it is due.
pub fn pop_due(schedule: &mut Schedule, options: &Options, now: Instant) -> Option<Arrival> {
    if schedule.next_due_at > now || is_exhausted(schedule) {
        return None;
    }
    let number = schedule.arrivals_count;
    schedule.arrivals_count += 1;
    let rng = &mut schedule.rng;
    let instance = rng.random_range(0..options.instances.len());
    let front = rng.random_range(0..options.fronts.len());
    let priority = priority(options, rng.random_range(0..100));
    let is_at_most_once = rng.random_range(0..100) < options.once_percent;
    let arrival = Arrival {
        due_at: schedule.next_due_at,
        number,
        instance,
        front,
        priority,
        is_at_most_once,
    };
    draw_next(schedule);
    Some(arrival)
}

/// Returns whether all arrivals have been taken.
pub fn is_exhausted(schedule: &Schedule) -> bool {
    schedule.next_due_at > schedule.ends_at
}

fn draw_next(schedule: &mut Schedule) {
    let gap_s = schedule.inter_arrival_s.map_or(1.0, |inter_arrival_s| {
        inter_arrival_s.sample(&mut schedule.rng)
    });
    schedule.next_due_at += Duration::from_secs_f64(gap_s);
}

fn priority(options: &Options, drawn_percent: u32) -> Priority {
    if drawn_percent < options.urgent_percent {
        return Priority::Urgent;
    }
    if drawn_percent < options.urgent_percent + options.deferrable_percent {
        return Priority::Deferrable;
    }
    Priority::Normal
}
