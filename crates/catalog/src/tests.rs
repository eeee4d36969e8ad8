//! Tests of the catalog.

mod apply;
mod differential;
mod fixture;
mod sync;
