//! Tests of the gateway's decisions: loads are played on a virtual clock, and what callers and
//! targets see is checked.

mod fixture;
mod gather;
mod isolation;
mod limits;
mod load;
mod once;
mod relay;
mod split;
