//! The claim of a request on a ticket.

use std::sync::Arc;

use monsooncart_policy::claims::{claim, ticket};
use monsooncart_policy::{handle, outcome};

use crate::interface;

/// A claim that was requested; released or settled on drop.
pub struct Claim {
    claims: Arc<dyn interface::Claims>,
    ticket: ticket::Ticket,
    request: handle::Request,
    execution: outcome::Execution,
    status: Option<u16>,
}

impl Claim {
    /// Requests the claim on a ticket.
    ///
    /// # Errors
    ///
    /// If the claim is refused. The request must not be sent then.
    pub async fn acquire(
        claims: Arc<dyn interface::Claims>,
        ticket: ticket::Ticket,
        request: handle::Request,
    ) -> Result<Self, claim::Refusal> {
        let claim = Self {
            claims: claims.clone(),
            ticket,
            request,
            execution: outcome::Execution::NotRun,
            status: None,
        };
        match claims.claim(ticket, request).await {
            Ok(()) => Ok(claim),
            Err(refusal) => {
                // A daemon that did not respond may still have granted the claim. This request is
                // never sent, so dropping the claim releases it.
                if refusal != claim::Refusal::Unreachable {
                    std::mem::forget(claim);
                }
                Err(refusal)
            }
        }
    }

    /// Releases the ticket if its work was not run, and records the outcome otherwise.
    pub fn settle(mut self, execution: outcome::Execution, status: Option<u16>) {
        self.execution = execution;
        self.status = status;
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        let (claims, ticket, request) = (self.claims.clone(), self.ticket, self.request);
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        if self.execution == outcome::Execution::NotRun {
            runtime.spawn(async move { claims.release(ticket, request).await });
            return;
        }
        let state = match self.status {
            Some(status) => claim::State::Answered(status),
            None => claim::State::Unknown,
        };
        runtime.spawn(async move { claims.settle(ticket, request, state).await });
    }
}
