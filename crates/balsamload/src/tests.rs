//! Tests of the reducer, without network or real time.

mod fixture;
mod schedule;
mod stats;
