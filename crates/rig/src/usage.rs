//! Processor and memory usage of an instance.

use std::time::Duration;

use procfs::process::Process;

use crate::{Rig, RigError, process_id};

/// Resource usage of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// User and system time of all threads since the start of the process.
    pub processor_time: Duration,
    /// Memory that is resident now.
    pub resident_bytes: u64,
}

/// Reads the resource usage of an instance.
///
/// # Errors
///
/// Returns an error if the instance is not running or its usage cannot be read.
pub fn usage(rig: &Rig, index: usize) -> Result<Usage, RigError> {
    let id = process_id(rig, index)?;
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
