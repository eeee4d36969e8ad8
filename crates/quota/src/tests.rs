//! Tests of the caps over simulated fleets.

mod fleet;
mod simulation;
mod units;
