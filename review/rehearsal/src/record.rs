//! The record of a run: what was sent, answered and run, with times.

use std::fmt::Write as _;
use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// Lines with their times, in seconds since the start of the run.
#[derive(Clone, Debug)]
pub struct Record {
    started_at: Instant,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Record {
    /// Starts an empty record.
    pub fn start() -> Self {
        Self {
            started_at: Instant::now(),
            lines: Arc::default(),
        }
    }

    /// Seconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    /// Adds a line.
    pub fn add(&self, line: impl Into<String>) {
        let line = (self.now(), line.into());
        self.lines
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(line);
    }

    /// Adds a line and prints it.
    pub fn say(&self, line: impl Into<String>) {
        let line = line.into();
        println!("{:8.3}  {line}", self.now());
        self.add(line);
    }

    /// Writes the record to a file.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        let mut lines = self
            .lines
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut text = String::new();
        for (at, line) in lines {
            let _ = writeln!(text, "{at:8.3}  {line}");
        }
        std::fs::write(path, text)
    }
}
