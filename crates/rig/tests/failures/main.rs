//! Tests of failures of the platform, zones, instances and targets with real processes.

mod load;
mod orders;
mod pause;
mod platform;
mod replacement;
mod zones;
