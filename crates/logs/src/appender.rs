//! Appender with a bounded queue and a writer thread, so that logging never blocks on a slow reader
//! of standard output.

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

/// Capacity of the queue; lines are dropped while it is full.
const QUEUE_MAX_COUNT: usize = 4_096;
/// Lines written per second; further lines are dropped and counted. Ten times the rate of an
/// instance at full processor load.
const LINES_PER_SECOND_MAX_COUNT: u32 = 2_000;
/// Size at which a batch of lines is written, even if more lines are queued.
const CHUNK_BYTES: usize = 64 * 1024;
/// Limit of a flush, so that a reader that has stopped reading cannot block the exit of the
/// process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Command to the writer thread.
enum WriterCommand {
    /// Write one line, line break included.
    Line(Vec<u8>),
    /// Confirm once all earlier lines are written.
    Flush(SyncSender<()>),
}

/// Sending side of the queue to the writer thread.
#[derive(Debug)]
pub(crate) struct QueueAppender {
    commands: SyncSender<WriterCommand>,
    dropped_count: Arc<AtomicU64>,
}

/// Starts the writer thread.
pub(crate) fn spawn() -> QueueAppender {
    let (commands, receiver) = mpsc::sync_channel(QUEUE_MAX_COUNT);
    let dropped_count = Arc::new(AtomicU64::new(0));
    let dropped = dropped_count.clone();
    thread::spawn(move || run_writer(&receiver, &dropped, &mut io::stdout()));
    QueueAppender {
        commands,
        dropped_count,
    }
}

impl Append for QueueAppender {
    fn append(&self, record: &Record<'_>, more: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let mut line = EventLayout.format(record, more)?;
        line.push(b'\n');
        if self.commands.try_send(WriterCommand::Line(line)).is_err() {
            self.dropped_count.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        let (done, flushed) = mpsc::sync_channel(1);
        if self.commands.try_send(WriterCommand::Flush(done)).is_ok() {
            // A time-out is ignored: a blocked reader must not delay the exit.
            let _ = flushed.recv_timeout(FLUSH_TIMEOUT);
        }
        Ok(())
    }
}

/// Writes queued lines in batches until all senders are dropped.
fn run_writer(
    commands: &Receiver<WriterCommand>,
    dropped_count: &AtomicU64,
    output: &mut impl Write,
) {
    let mut window = RateWindow {
        started_at: Instant::now(),
        lines_count: 0,
    };
    let mut chunk = Vec::new();
    while let Ok(command) = commands.recv() {
        let mut flushes = Vec::new();
        let mut next = Some(command);
        while let Some(command) = next {
            match command {
                WriterCommand::Line(line) if admit_line(&mut window, Instant::now()) => {
                    chunk.extend_from_slice(&line);
                }
                WriterCommand::Line(_) => {
                    dropped_count.fetch_add(1, Ordering::Relaxed);
                }
                WriterCommand::Flush(done) => flushes.push(done),
            }
            next = match chunk.len() < CHUNK_BYTES {
                true => commands.try_recv().ok(),
                false => None,
            };
        }
        // An error means that standard output is closed; there is no other place to report it.
        let _ = output.write_all(&chunk).and_then(|()| output.flush());
        chunk.clear();
        report_dropped(dropped_count, &mut window, &mut chunk);
        for done in flushes {
            // The flush may have timed out, which drops the receiver.
            let _ = done.send(());
        }
    }
}

/// One-second window of the rate limit.
struct RateWindow {
    started_at: Instant,
    lines_count: u32,
}

/// Counts a line against the rate limit and tells whether it may be written.
fn admit_line(window: &mut RateWindow, now: Instant) -> bool {
    if now.saturating_duration_since(window.started_at) >= Duration::from_secs(1) {
        *window = RateWindow {
            started_at: now,
            lines_count: 0,
        };
    }
    window.lines_count += 1;
    window.lines_count <= LINES_PER_SECOND_MAX_COUNT
}

/// Puts a line with the number of dropped lines at the start of the next chunk, if the rate limit
/// permits.
fn report_dropped(dropped_count: &AtomicU64, window: &mut RateWindow, chunk: &mut Vec<u8>) {
    if dropped_count.load(Ordering::Relaxed) == 0 || !admit_line(window, Instant::now()) {
        return;
    }
    let lines_count = dropped_count.swap(0, Ordering::Relaxed);
    let line = format!("level=warn event=log-lines-dropped lines_count={lines_count}\n");
    chunk.extend_from_slice(line.as_bytes());
}

#[cfg(test)]
mod tests;
