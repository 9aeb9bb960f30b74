//! A request that is pending at the policy.

use std::sync::Arc;

use monsooncart_policy::{event, handle, outcome};
use tokio::sync::mpsc;

use crate::lock::lock;
use crate::service::{Command, Service};

/// A request submitted to the policy; withdrawn on drop if it is neither completed nor being
/// attempted.
pub struct Request {
    service: Arc<Service>,
    request: handle::Request,
    commands: mpsc::UnboundedReceiver<Command>,
    open_attempts: usize,
    completed: bool,
}

impl Request {
    /// Creates a pending request, before it is submitted to the policy.
    pub(super) fn new(
        service: Arc<Service>,
        request: handle::Request,
        commands: mpsc::UnboundedReceiver<Command>,
    ) -> Self {
        Self {
            service,
            request,
            commands,
            open_attempts: 0,
            completed: false,
        }
    }

    /// Returns the next command. Waits forever if there is none, even after the service has dropped
    /// the sender.
    pub async fn next(&mut self) -> Command {
        match self.commands.recv().await {
            Some(command) => self.track_command(command),
            None => std::future::pending().await,
        }
    }

    fn track_command(&mut self, command: Command) -> Command {
        match command {
            Command::Send { .. } | Command::Relay { .. } => self.open_attempts += 1,
            Command::Refuse(_) => self.completed = true,
            Command::Cancel(_) => {}
        }
        command
    }

    /// Records that an attempt has finished.
    pub fn finish_attempt(&mut self) {
        self.open_attempts = self.open_attempts.saturating_sub(1);
    }

    /// Records that the request was answered, so that it is not withdrawn.
    pub fn mark_completed(&mut self) {
        self.completed = true;
    }
}

impl Drop for Request {
    fn drop(&mut self) {
        if let Some(state) = &mut *lock(&self.service.state) {
            state.pending.remove(&self.request);
        }
        // No further command can arrive; report the queued ones as cancelled.
        while let Ok(command) = self.commands.try_recv() {
            match command {
                Command::Send { attempt, .. } | Command::Relay { attempt, .. } => {
                    self.open_attempts += 1;
                    self.service.handle_event(event::Event::Finish {
                        attempt,
                        outcome: outcome::Outcome::Cancelled,
                        replayable: false,
                        retry_after: None,
                    });
                }
                Command::Refuse(_) => self.completed = true,
                Command::Cancel(_) => {}
            }
        }
        if !self.completed && self.open_attempts == 0 {
            self.service
                .handle_event(event::Event::CancelRequest(self.request));
        }
    }
}
