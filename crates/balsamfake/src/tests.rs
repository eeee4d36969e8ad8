//! Tests of the stand-ins' reducer, without network or real time.

mod calls;
mod control;
mod fixture;
mod lifecycle;
mod platform;
