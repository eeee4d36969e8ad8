//! Tests of the measurement of slopes.

mod figures;
mod page;
mod sweep;
