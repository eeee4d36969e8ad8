//! Tests of the stand-ins' reducer, without network or real time.

mod calls;
mod fixture;
mod life;
mod platform;
mod steering;
