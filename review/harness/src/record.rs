//! The record of a case: what was sent, answered and run, with the time since its start.

use std::{
    fs::File,
    io::{self, Write as _},
    path::Path,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

/// A record that all tasks of a case write to.
#[derive(Clone)]
pub(crate) struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub(crate) fn create(path: &Path) -> io::Result<Self> {
        Ok(Self { start: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    /// Time since the start of the case.
    pub(crate) fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    /// Writes a line with the time.
    pub(crate) fn line(&self, line: &str) {
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        // A record that can't be written must not end the case: its exit code tells the result.
        let _ = writeln!(file, "{:9.3} s  {line}", self.elapsed().as_secs_f64());
    }

    /// Writes a line and prints it.
    pub(crate) fn note(&self, line: &str) {
        println!("{:9.3} s  {line}", self.elapsed().as_secs_f64());
        self.line(line);
    }
}
