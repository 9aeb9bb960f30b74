//! A request that the policy holds.

use std::sync::Arc;

use monsooncart_policy::{event, handle, outcome};
use tokio::sync::mpsc;

use crate::lock::lock;
use crate::service::{Command, Service};

/// A request that the policy holds; withdrawn when dropped.
pub struct Waiting {
    service: Arc<Service>,
    request: handle::Request,
    commands: mpsc::UnboundedReceiver<Command>,
    attempts: usize,
    settled: bool,
}

impl Waiting {
    /// A request of a service, before the policy is told of it.
    pub(super) fn new(
        service: Arc<Service>,
        request: handle::Request,
        commands: mpsc::UnboundedReceiver<Command>,
    ) -> Self {
        Self {
            service,
            request,
            commands,
            attempts: 0,
            settled: false,
        }
    }

    /// The next command. Never ends, since the service keeps the sending side.
    pub async fn next(&mut self) -> Command {
        match self.commands.recv().await {
            Some(command) => self.note(command),
            None => std::future::pending().await,
        }
    }

    fn note(&mut self, command: Command) -> Command {
        match command {
            Command::Send { .. } => self.attempts += 1,
            Command::Refuse(_) => self.settled = true,
            Command::Cancel(_) => {}
        }
        command
    }

    /// An attempt ended.
    pub fn ended(&mut self) {
        self.attempts = self.attempts.saturating_sub(1);
    }

    /// The request was answered.
    pub fn settle(&mut self) {
        self.settled = true;
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if let Some(state) = &mut *lock(&self.service.state) {
            state.waiting.remove(&self.request);
        }
        // No command comes any more: those that were not taken are reported back.
        while let Ok(command) = self.commands.try_recv() {
            match command {
                Command::Send { attempt, .. } => {
                    self.attempts += 1;
                    self.service.handle(event::Event::Finish {
                        attempt,
                        outcome: outcome::Outcome::Cancelled,
                        replayable: false,
                        retry_after: None,
                    });
                }
                Command::Refuse(_) => self.settled = true,
                Command::Cancel(_) => {}
            }
        }
        if !self.settled && self.attempts == 0 {
            self.service
                .handle(event::Event::CancelRequest(self.request));
        }
    }
}
