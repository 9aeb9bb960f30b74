//! The record of a run: what was sent, answered and run, with the time since the start.

use std::sync::{Mutex, OnceLock};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

static START: OnceLock<Instant> = OnceLock::new();
static LINES: Mutex<Vec<(f64, String)>> = Mutex::new(Vec::new());

/// Seconds since the start of the run.
pub fn now() -> f64 {
    START.get_or_init(Instant::now).elapsed().as_secs_f64()
}

/// Milliseconds since 1970.
pub fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Adds a line to the record; returns the time that it bears.
pub fn note(line: impl Into<String>) -> f64 {
    let at = now();
    LINES.lock().unwrap().push((at, line.into()));
    at
}

/// The record as text, in the order of time.
pub fn text() -> String {
    let mut lines = LINES.lock().unwrap().clone();
    lines.sort_by(|a, b| a.0.total_cmp(&b.0));
    let lines = lines.iter().map(|(at, line)| format!("{at:8.3} {line}\n"));
    lines.collect()
}
