//! Tests of the whole reducer.

mod fan_out;
mod fixture;
mod fold;
mod freshness;
mod leave;
mod membership;
mod net;
mod once;
mod poison;
mod replay;
mod snapshot;
mod spreading;
