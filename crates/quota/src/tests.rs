//! Tests of the caps over simulated fleets.

mod fleet;
mod reports;
mod simulation;
mod units;
