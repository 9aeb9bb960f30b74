//! Rate limit for log lines of frequent events.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::lock::lock;

/// Maximum number of events logged per second; at about 50 µs per line, they take a tenth of a
/// core.
const MAX_EVENTS_PER_SECOND: u32 = 2000;

#[derive(Debug)]
struct Window {
    start: Instant,
    count: u32,
}

/// Limits the rate of logged events.
#[derive(Debug)]
pub struct LogLimiter {
    window: Mutex<Window>,
}

impl Default for LogLimiter {
    fn default() -> Self {
        Self {
            window: Mutex::new(Window {
                start: Instant::now(),
                count: 0,
            }),
        }
    }
}

impl LogLimiter {
    /// Counts an event and returns whether it is to be logged.
    pub fn admits(&self, now: Instant) -> bool {
        let mut window = lock(&self.window);
        if now.saturating_duration_since(window.start) >= Duration::from_secs(1) {
            window.start = now;
            window.count = 0;
        }
        window.count += 1;
        window.count <= MAX_EVENTS_PER_SECOND
    }
}
