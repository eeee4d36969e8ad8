//! Tests of the whole reducer.

mod fan_out;
mod fixture;
mod once;
mod replay;
