//! Ends a response at its deadline, whatever its caller does.
//!
//! hyper asks a body for a frame only while the caller takes bytes, so that a body cannot end itself.
//! What is dropped at the deadline is the future that serves the response: that of the connection
//! over HTTP/1, where responses follow each other, and that of the stream over HTTP/2.

use std::sync::{Arc, Mutex};

use hyper::rt;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

use crate::lock::lock;

tokio::task_local! {
    /// Expiry of the connection or stream that is being served.
    static CURRENT: Arc<Expiry>;
}

#[derive(Clone, Copy, Debug, Default)]
enum State {
    /// No response has a deadline.
    #[default]
    Idle,
    /// The response in flight has this deadline.
    Armed(Instant),
    /// A response has reached its deadline.
    Expired,
}

/// Deadline of the response that a connection or stream carries.
#[derive(Debug, Default)]
pub struct Expiry {
    state: Mutex<State>,
    changed: Notify,
}

impl Expiry {
    /// Expiry of the connection or stream that the calling task serves.
    pub fn current() -> Option<Arc<Self>> {
        CURRENT.try_with(Arc::clone).ok()
    }

    /// Sets the deadline of the response in flight.
    pub fn arm(&self, deadline: Instant) {
        self.set(State::Armed(deadline));
    }

    /// Removes the deadline, since the response was received completely or has ended.
    pub fn disarm(&self) {
        self.set(State::Idle);
    }

    /// Records that the response has reached its deadline.
    pub fn expire(&self) {
        self.set(State::Expired);
    }

    /// Whether a response has reached its deadline.
    pub fn has_expired(&self) -> bool {
        matches!(*lock(&self.state), State::Expired)
    }

    fn set(&self, next: State) {
        let mut state = lock(&self.state);
        // Nothing follows on a connection or stream that has expired.
        if !matches!(*state, State::Expired) {
            *state = next;
            self.changed.notify_one();
        }
    }

    /// Waits until a response reaches its deadline.
    pub async fn passed(self: Arc<Self>) {
        loop {
            let state = *lock(&self.state);
            match state {
                State::Expired => return,
                State::Armed(deadline) if deadline <= Instant::now() => self.expire(),
                State::Armed(deadline) => {
                    tokio::select! {
                        () = sleep_until(deadline) => {}
                        () = self.changed.notified() => {}
                    }
                }
                State::Idle => self.changed.notified().await,
            }
        }
    }
}

/// Runs a future that serves a connection or stream with this expiry, which the caller enforces.
pub async fn scope<F: Future>(expiry: Arc<Expiry>, serving: F) -> F::Output {
    CURRENT.scope(expiry, serving).await
}

/// Spawns the streams of a connection, each with an expiry that is enforced.
#[derive(Clone, Copy, Debug)]
pub struct Executor;

impl<F> rt::Executor<F> for Executor
where
    F: Future + Send + 'static,
    F::Output: Send,
{
    fn execute(&self, serving: F) {
        tokio::spawn(async move {
            let expiry = Arc::new(Expiry::default());
            tokio::select! {
                _ = scope(expiry.clone(), serving) => {}
                () = expiry.passed() => {}
            }
        });
    }
}
