//! Long-lived tasks that survive a panic.
//!
//! A panic ends a task silently: the process goes on without it, for example without a watch of the
//! configuration. [`run_restarting`] logs the panic and runs the task again, and [`catch`] contains a
//! panic in one step, so that one malformed message costs no more than its own handling.

use std::any::Any;
use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::time::Duration;

use futures_util::FutureExt as _;
use tokio::time::Instant;

/// Delay before a task that panicked runs again; doubles with each panic that follows soon.
const MIN_RESTART_DELAY: Duration = Duration::from_millis(200);

/// Maximum delay before a task runs again, and the run time after which the delay is the minimum
/// again.
const MAX_RESTART_DELAY: Duration = Duration::from_secs(5);

/// Message of a panic.
fn panic_message(payload: &(dyn Any + Send)) -> &str {
    let text = payload.downcast_ref::<&str>().copied();
    let text = text.or_else(|| payload.downcast_ref::<String>().map(String::as_str));
    text.unwrap_or("panic without a message")
}

/// Runs the future that `start` returns, and another one after a delay whenever it panics, until one
/// ends by itself.
///
/// The state that the futures share must tolerate that a future stops at any of its panics.
pub async fn run_restarting<F>(name: &'static str, mut start: impl FnMut() -> F)
where
    F: Future<Output = ()>,
{
    let mut delay = MIN_RESTART_DELAY;
    loop {
        let started_at = Instant::now();
        let Err(payload) = AssertUnwindSafe(start()).catch_unwind().await else {
            return;
        };
        let panic = panic_message(payload.as_ref());
        log::error!(task = name, panic; "task: panicked; restarting");
        if started_at.elapsed() >= MAX_RESTART_DELAY {
            delay = MIN_RESTART_DELAY;
        }
        tokio::time::sleep(delay).await;
        delay = (delay * 2).min(MAX_RESTART_DELAY);
    }
}

/// Runs a step of a task; returns `None`, after logging it, if the step panics.
pub fn catch<T>(name: &'static str, step: impl FnOnce() -> T) -> Option<T> {
    let result = std::panic::catch_unwind(AssertUnwindSafe(step));
    let log_panic = |payload: Box<dyn Any + Send>| {
        let panic = panic_message(payload.as_ref());
        log::error!(task = name, panic; "task: panicked");
    };
    result.map_err(log_panic).ok()
}
