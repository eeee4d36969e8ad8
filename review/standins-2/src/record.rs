//! The record of a case: what was sent, answered and run, with milliseconds since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record {
            start: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    /// Returns the milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Writes a line, and returns its time.
    pub fn line(&self, text: &str) -> u64 {
        let mut file = self.file.lock().unwrap();
        let now_ms = self.now_ms();
        // The result of the case doesn't depend on the record.
        let _ = writeln!(file, "{now_ms:>7} ms  {text}");
        now_ms
    }

    /// Writes a line to the record and to the standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        // Nor does it depend on whether the output is read.
        let _ = writeln!(std::io::stdout(), "{text}");
    }
}
