//! Tests of the catalog.

mod applying;
mod differential;
mod fixture;
mod syncing;
