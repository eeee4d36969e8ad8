//! Tests of the catalog.

mod apply;
mod differential;
mod fixture;
mod restored_store;
mod restored_store_schedules;
mod store_eras;
mod sync;
