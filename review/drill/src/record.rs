//! The record of a drill: one line for each thing that was sent, answered or run.

use std::fs::File;
use std::io::Write as _;
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant};

pub struct Record {
    started_at: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            started_at: Instant::now(),
            file: Mutex::new(File::create(path)?),
        })
    }

    /// Time since the drill began.
    pub fn elapsed(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Writes a line with the time since the drill began.
    pub fn line(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.elapsed().as_secs_f64());
        let mut file = self.file.lock().expect("no writer panics");
        file.write_all(line.as_bytes())
            .expect("record can be written");
    }

    /// Writes a line and prints it.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}
