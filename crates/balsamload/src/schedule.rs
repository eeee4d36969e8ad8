//! The schedule of arrivals and the mix of requests.

use std::time::{Duration, Instant};

use model::Priority;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};

use crate::options::Options;

/// The schedule of arrivals.
#[derive(Clone, Debug)]
pub struct Schedule {
    rng: ChaCha8Rng,
    gaps: Option<Exp<f64>>,
    /// When the next request is due.
    pub next_at: Instant,
    /// When the last request is due at the latest.
    pub ends_at: Instant,
    /// Arrivals so far.
    pub arrivals_count: u64,
}

/// One arrival of the schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// When it is due.
    pub at: Instant,
    /// Its number.
    pub number: u64,
    /// Number of the instance.
    pub instance: usize,
    /// Number of the front.
    pub front: usize,
    /// Importance under overload.
    pub priority: Priority,
    /// Whether it may run at most once.
    pub is_once: bool,
}

/// Returns the schedule of a load that begins now.
pub fn open(options: &Options, now: Instant) -> Schedule {
    let mut schedule = Schedule {
        rng: ChaCha8Rng::seed_from_u64(options.seed),
        gaps: Exp::new(options.rate_per_s).ok(),
        next_at: now,
        ends_at: now + options.duration,
        arrivals_count: 0,
    };
    advance(&mut schedule);
    schedule
}

/// Takes the next arrival if it is due.
pub fn next(schedule: &mut Schedule, options: &Options, now: Instant) -> Option<Arrival> {
    if schedule.next_at > now || is_over(schedule) {
        return None;
    }
    let number = schedule.arrivals_count;
    schedule.arrivals_count += 1;
    let rng = &mut schedule.rng;
    let instance = rng.random_range(0..options.instances.len());
    let front = rng.random_range(0..options.fronts.len());
    let priority = priority(options, rng.random_range(0..100));
    let is_once = rng.random_range(0..100) < options.once_percent;
    let arrival = Arrival {
        at: schedule.next_at,
        number,
        instance,
        front,
        priority,
        is_once,
    };
    advance(schedule);
    Some(arrival)
}

/// Tells whether every arrival has been taken.
pub fn is_over(schedule: &Schedule) -> bool {
    schedule.next_at > schedule.ends_at
}

fn advance(schedule: &mut Schedule) {
    let gap_s = schedule
        .gaps
        .map_or(1.0, |gaps| gaps.sample(&mut schedule.rng));
    schedule.next_at += Duration::from_secs_f64(gap_s);
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
