//! Lines on their way to standard output: whoever logs never waits for whoever reads.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{self, Receiver, SyncSender},
    },
    thread,
    time::{Duration, Instant},
};

use logforth::{Append, Diagnostic, Error, Layout, record::Record};

use crate::layout::EventLayout;

/// Lines that wait for a slow reader before further ones are dropped.
const WAITING_MAX_COUNT: usize = 4_096;
/// Lines of one second; the rest is counted. Ten times what an instance logs at the load that its
/// processor bears.
const PER_SECOND_MAX_COUNT: u32 = 2_000;
/// Bytes that are written at once.
const CHUNK_BYTES: usize = 64 * 1024;
/// Longest wait for the last lines at the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// What the writing thread receives.
enum Job {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

/// The sending side of the queue of lines.
#[derive(Debug)]
pub(crate) struct Bounded {
    jobs: SyncSender<Job>,
    dropped_count: Arc<AtomicU64>,
}

/// Starts the thread that writes lines.
pub(crate) fn spawn() -> Bounded {
    let (jobs, receiver) = mpsc::sync_channel(WAITING_MAX_COUNT);
    let dropped_count = Arc::new(AtomicU64::new(0));
    let dropped = dropped_count.clone();
    thread::spawn(move || write_all(&receiver, &dropped, &mut io::stdout()));
    Bounded {
        jobs,
        dropped_count,
    }
}

impl Append for Bounded {
    fn append(&self, record: &Record<'_>, more: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let mut line = EventLayout.format(record, more)?;
        line.push(b'\n');
        if self.jobs.try_send(Job::Line(line)).is_err() {
            self.dropped_count.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        let (done, is_done) = mpsc::sync_channel(1);
        if self.jobs.try_send(Job::Flush(done)).is_ok() {
            // A reader that has stopped reading must not keep the process from ending.
            let _ = is_done.recv_timeout(FLUSH_TIMEOUT);
        }
        Ok(())
    }
}

/// Writes lines until nobody can send any more.
fn write_all(jobs: &Receiver<Job>, dropped_count: &AtomicU64, output: &mut impl Write) {
    let mut second = Second {
        began_at: Instant::now(),
        lines_count: 0,
    };
    let mut chunk = Vec::new();
    while let Ok(job) = jobs.recv() {
        let mut waiting = Vec::new();
        let mut next = Some(job);
        while let Some(job) = next {
            match job {
                Job::Line(line) if has_room(&mut second, Instant::now()) => {
                    chunk.extend_from_slice(&line);
                }
                Job::Line(_) => {
                    dropped_count.fetch_add(1, Ordering::Relaxed);
                }
                Job::Flush(done) => waiting.push(done),
            }
            next = match chunk.len() < CHUNK_BYTES {
                true => jobs.try_recv().ok(),
                false => None,
            };
        }
        // Whoever reads the log has gone if it cannot be written; there is no other place for it.
        let _ = output.write_all(&chunk).and_then(|()| output.flush());
        chunk.clear();
        report_dropped(dropped_count, &mut second, &mut chunk);
        for done in waiting {
            // The end of the process may not have waited any longer.
            let _ = done.send(());
        }
    }
}

/// The lines of the present second.
struct Second {
    began_at: Instant,
    lines_count: u32,
}

fn has_room(second: &mut Second, now: Instant) -> bool {
    if now.saturating_duration_since(second.began_at) >= Duration::from_secs(1) {
        *second = Second {
            began_at: now,
            lines_count: 0,
        };
    }
    second.lines_count += 1;
    second.lines_count <= PER_SECOND_MAX_COUNT
}

/// Puts a line about dropped ones in front of the next chunk, once there is room for it.
fn report_dropped(dropped_count: &AtomicU64, second: &mut Second, chunk: &mut Vec<u8>) {
    if dropped_count.load(Ordering::Relaxed) == 0 || !has_room(second, Instant::now()) {
        return;
    }
    let lines_count = dropped_count.swap(0, Ordering::Relaxed);
    let line = format!("level=warn event=log-lines-dropped lines_count={lines_count}\n");
    chunk.extend_from_slice(line.as_bytes());
}

#[cfg(test)]
mod tests;
