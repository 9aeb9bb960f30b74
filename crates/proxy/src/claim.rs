//! The claim that a request holds on a ticket.

use std::sync::Arc;

use monsooncart_policy::claims::{claim, ticket};
use monsooncart_policy::{handle, outcome};

use crate::interface;

/// A claim that was asked for; opened again or settled when dropped.
pub struct Claim {
    claims: Arc<dyn interface::Claims>,
    ticket: ticket::Ticket,
    request: handle::Request,
    run: outcome::Execution,
    status: Option<u16>,
}

impl Claim {
    /// Asks for the claim on a ticket.
    ///
    /// # Errors
    ///
    /// Where it is not granted: the request must not be sent.
    pub async fn ask(
        claims: Arc<dyn interface::Claims>,
        ticket: ticket::Ticket,
        request: handle::Request,
    ) -> Result<Self, claim::Refusal> {
        let claim = Self {
            claims: claims.clone(),
            ticket,
            request,
            run: outcome::Execution::NotRun,
            status: None,
        };
        match claims.claim(ticket, request).await {
            Ok(()) => Ok(claim),
            Err(refusal) => {
                // Where the minter did not answer, it may hold the claim for this request, which
                // is never sent: dropping the claim opens it again.
                if refusal != claim::Refusal::Unreachable {
                    std::mem::forget(claim);
                }
                Err(refusal)
            }
        }
    }

    /// Opens the ticket again where its work was not run, and records how it ended otherwise.
    pub fn settle(mut self, run: outcome::Execution, status: Option<u16>) {
        self.run = run;
        self.status = status;
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        let (claims, ticket, request) = (self.claims.clone(), self.ticket, self.request);
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        if self.run == outcome::Execution::NotRun {
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
