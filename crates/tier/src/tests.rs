//! Tests of the whole reducer.

mod fan_out;
mod fixture;
mod fold;
mod freshness;
mod membership;
mod net;
mod once;
mod replay;
mod snapshot;
mod spreading;
