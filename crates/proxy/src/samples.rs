//! Which of many like events are logged.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::lock::lock;

/// Events that are logged a second, at most; about a tenth of a core's work at some 50 us a line.
const PER_SECOND: u32 = 2000;

#[derive(Debug)]
struct Window {
    start: Instant,
    count: u32,
}

/// Admits events up to a rate.
#[derive(Debug)]
pub struct Samples {
    window: Mutex<Window>,
}

impl Default for Samples {
    fn default() -> Self {
        Self {
            window: Mutex::new(Window {
                start: Instant::now(),
                count: 0,
            }),
        }
    }
}

impl Samples {
    /// Whether an event is to be logged.
    pub fn admits(&self, now: Instant) -> bool {
        let mut window = lock(&self.window);
        if now.saturating_duration_since(window.start) >= Duration::from_secs(1) {
            window.start = now;
            window.count = 0;
        }
        window.count += 1;
        window.count <= PER_SECOND
    }
}
