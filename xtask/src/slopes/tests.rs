//! Tests of sweeps, results and the capacity page.

mod page;
mod results;
mod sweep;
