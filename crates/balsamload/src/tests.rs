//! Tests of the reducer, without network or real time.

mod counting;
mod fixture;
mod schedule;
