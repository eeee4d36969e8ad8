//! Failures of the platform, of zones, of instances and of targets, on real processes.

mod load;
mod orders;
mod pause;
mod platform;
mod replacement;
mod zones;
