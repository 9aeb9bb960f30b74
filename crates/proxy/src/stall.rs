//! Detects operations that make no progress.

use std::future::Future as _;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::time::{Instant, Sleep, sleep_until};

/// Measures how long a pending operation has made no progress.
#[derive(Debug)]
pub struct Timer {
    timeout: Duration,
    sleep: Option<Pin<Box<Sleep>>>,
    running: bool,
}

impl Timer {
    pub fn new(timeout: Duration) -> Self {
        Self {
            timeout,
            sleep: None,
            running: false,
        }
    }

    /// Stops the timer, since progress was made or nothing is pending.
    pub fn record_progress(&mut self) {
        self.running = false;
    }

    /// Starts the timer if it is not running; ready once it has expired.
    pub fn poll(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if !self.running {
            self.running = true;
            let deadline = Instant::now() + self.timeout;
            match &mut self.sleep {
                Some(sleep) => sleep.as_mut().reset(deadline),
                None => self.sleep = Some(Box::pin(sleep_until(deadline))),
            }
        }
        match &mut self.sleep {
            Some(sleep) => sleep.as_mut().poll(cx),
            None => Poll::Pending,
        }
    }
}
