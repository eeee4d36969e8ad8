//! Test harness that runs a fleet of real processes on loopback, for tests, demonstrations and
//! measurements.
//!
//! A [`Rig`] owns one `balsamfake` process, which runs the fake platform and the fake targets, and
//! one `balsamd` process for each instance. Functions that take a rig publish configurations, set
//! the behaviour of targets and platform, send queries and signals, and read reports and metrics.
//! This crate is for development only: no program that ships depends on it.
//!
//! Functions that take an instance take its index in [`Rig::instances`].
//!
//! Invariants:
//! - signals go only to processes that the rig has started;
//! - every process is killed when the rig is closed or dropped;
//! - each rig has a loopback address of its own, so that concurrent rigs share no port;
//! - every wait is for a log line, a reply or the exit of a process, and has a time limit.

mod control;
mod error;
mod http;
mod plan;
mod process;
mod programs;
mod rig;
mod usage;

pub use control::{
    crash_target, ledger, metrics, publish, publish_fleet, publish_instances,
    set_platform_behaviour, set_target_behaviour, state, target_reports,
};
pub use error::RigError;
pub use http::{Reply, get, query, query_at};
pub use plan::{InstancePlan, Plan, ServicePlan, plan};
pub use process::Signal;
pub use programs::{Profile, build};
pub use rig::{Instance, Rig, open, process_id, restart, signal, start, wait_exit, wait_ready};
pub use usage::{Usage, usage};
