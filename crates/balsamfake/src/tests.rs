//! Tests of the reducer, without network or real time.

mod calls;
mod control;
mod fixture;
mod lifecycle;
mod platform;
