//! What a process of a rig uses.

use std::time::Duration;

use procfs::process::Process;

use crate::{Rig, RigError, process_id};

/// What a process has used so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Processor time of all its threads.
    pub processor_time: Duration,
    /// Memory that is resident.
    pub resident_bytes: u64,
}

/// Returns what an instance has used since its start.
///
/// # Errors
///
/// Returns an error if the instance does not run.
pub fn usage(rig: &Rig, instance: usize) -> Result<Usage, RigError> {
    let id = process_id(rig, instance)?;
    let stat = Process::new(id).and_then(|process| process.stat());
    let stat = stat.map_err(|error| {
        RigError::Io("read the usage of a process", std::io::Error::other(error))
    })?;
    let ticks_count = stat.utime + stat.stime;
    let seconds = ticks_count as f64 / procfs::ticks_per_second() as f64;
    Ok(Usage {
        processor_time: Duration::from_secs_f64(seconds),
        resident_bytes: stat.rss * procfs::page_size(),
    })
}
