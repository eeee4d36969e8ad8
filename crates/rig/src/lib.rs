//! A fleet of real processes on loopback, for tests, demonstrations and measurements.
//!
//! A [`Rig`] owns one `balsamfake`, which plays the platform and the targets, and several `balsamd`.
//! Functions over it publish configurations, steer targets, send queries and signals, and read what
//! the processes report. This crate is a developers' tool: no program that ships depends on it.
//!
//! Invariants:
//! - signals go only to processes that the rig has started;
//! - every process ends when the rig is closed or dropped;
//! - each rig has a loopback address of its own, so rigs that run side by side share no port;
//! - waiting is waiting for a line, a reply or the end of a process, with a time limit.

mod error;
mod http;
mod plan;
mod process;
mod programs;
mod rig;
mod steer;
mod usage;

pub use error::RigError;
pub use http::{Reply, get, query, query_at};
pub use plan::{InstancePlan, Plan, ServicePlan, plan};
pub use process::Signal;
pub use programs::{Profile, build};
pub use rig::{Instance, Rig, open, process_id, restart, signal, start, wait_exit, wait_ready};
pub use steer::{
    crash, ledger, metrics, publish, publish_fleet, publish_instances, state, steer_platform,
    steer_target, target_reports,
};
pub use usage::{Usage, usage};
