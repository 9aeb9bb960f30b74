//! Claims on tickets.
//!
//! Claims on tickets minted by this daemon are decided locally; all others are sent to the daemon
//! that minted the ticket, or to its successor.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::FutureExt as _;
use futures_util::future::BoxFuture;
use monsooncart_cluster::call;
use monsooncart_policy::claims::{claim, register, secret, successor, table, ticket};
use monsooncart_policy::handle;
use monsooncart_proxy::interface;
use monsooncart_types::instance;
use monsooncart_wire::claims as wire;

use crate::core;
use crate::lock::lock;

/// Timeout of a claim or outcome call to the deciding daemon.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of a release or settle call to the deciding daemon.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of attempts to report the completion of a claim.
const MAX_COMPLETION_ATTEMPTS: u32 = 12;

/// Initial delay between attempts to report a completion; doubled after each.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum delay between attempts to report a completion.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Interval between removals of expired tickets.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(30);

/// Maximum number of daemons that a claim is sent to in turn while tables are handed over to
/// successors.
const MAX_DECIDERS: u32 = 3;

/// How a claim is completed.
#[derive(Clone, Copy, Debug)]
enum Completion {
    /// The request was not executed and never will be.
    Release,
    /// The request was answered, or its outcome is unknown.
    Settle(claim::State),
}

/// The claim table of this daemon and the known successors of other minters.
pub struct Claims {
    core: Arc<core::Core>,
    table: Mutex<table::Table>,
    successors: Mutex<successor::Successors>,
}

impl Claims {
    /// Creates an empty claim table with a fresh random secret.
    #[must_use]
    pub fn new(core: Arc<core::Core>) -> Self {
        let secret = secret::Secret(rand::random());
        let table = table::Table::new(core.instance, secret, register::Limits::default());
        Self {
            core,
            table: Mutex::new(table),
            successors: Mutex::default(),
        }
    }

    /// Runs `change` on the locked table.
    pub fn with_table<T>(&self, change: impl FnOnce(&mut table::Table) -> T) -> T {
        change(&mut lock(&self.table))
    }

    /// Removes expired tickets periodically, until the task is dropped.
    pub async fn expire(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(EXPIRY_INTERVAL);
        loop {
            ticks.tick().await;
            let now = self.core.now();
            self.with_table(|t| t.expire(now));
        }
    }

    /// Records that a minter's table was taken over; returns whether this was new.
    pub fn record_succession(&self, succession: successor::Succession) -> bool {
        lock(&self.successors).insert(succession)
    }

    fn claimant(&self, request: handle::Request) -> claim::Claimant {
        claim::Claimant {
            daemon: self.core.instance,
            request: request.0,
        }
    }

    /// The daemon that decides claims on a ticket; `None` if it is this one.
    fn decider(&self, ticket: &ticket::Ticket) -> Option<instance::Instance> {
        let is_local = self.with_table(|t| t.minters().any(|minter| minter == ticket.minter));
        if is_local {
            return None;
        }
        let decider = lock(&self.successors).decider(ticket.minter);
        (decider != self.core.instance).then_some(decider)
    }

    async fn claim(
        &self,
        ticket: ticket::Ticket,
        claimant: claim::Claimant,
    ) -> Result<(), claim::Refusal> {
        let mut last_decider = None;
        for _ in 0..MAX_DECIDERS {
            let Some(decider) = self.decider(&ticket) else {
                return self.with_table(|t| t.claim(&ticket, claimant));
            };
            if last_decider == Some(decider) {
                break;
            }
            last_decider = Some(decider);
            let response = self.claim_at(decider, ticket, claimant).await;
            if response != Err(claim::Refusal::Stopping) {
                return response;
            }
        }
        Err(claim::Refusal::Stopping)
    }

    async fn claim_at(
        &self,
        decider: instance::Instance,
        ticket: ticket::Ticket,
        claimant: claim::Claimant,
    ) -> Result<(), claim::Refusal> {
        let cluster = self.core.cluster().ok_or(claim::Refusal::Unreachable)?;
        let request = wire::Claim { ticket, claimant };
        let response = cluster.client(decider).claim(request, CLAIM_TIMEOUT).await;
        response.unwrap_or_else(|error| Err(Self::refusal_for_failed_call(&error, ticket)))
    }

    /// The refusal for a claim call that failed; the request is not sent to a server.
    fn refusal_for_failed_call(error: &call::Error, ticket: ticket::Ticket) -> claim::Refusal {
        log::warn!(ticket:% = ticket, error:%; "claims: claim call failed; request is not sent");
        if error.peer_terminated {
            return claim::Refusal::Gone;
        }
        // The decider may have granted the claim nevertheless, so the proxy releases it.
        claim::Refusal::Unreachable
    }

    /// Reports the completion of a claim to the deciding daemon, with retries while that daemon
    /// does not answer or hands its table over to a successor.
    async fn report_completion(
        self: Arc<Self>,
        ticket: ticket::Ticket,
        claimant: claim::Claimant,
        completion: Completion,
    ) {
        let mut retry_delay = INITIAL_RETRY_DELAY;
        for _ in 0..MAX_COMPLETION_ATTEMPTS {
            match self
                .try_report_completion(ticket, claimant, completion)
                .await
            {
                Ok(()) => return,
                Err(claim::Refusal::Stopping | claim::Refusal::Unreachable) => {}
                Err(refusal) => {
                    log::info!(ticket:% = ticket, refusal:%; "claims: completion of a claim was refused");
                    return;
                }
            }
            tokio::time::sleep(retry_delay).await;
            retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
        }
        log::warn!(ticket:% = ticket; "claims: gave up reporting the completion of a claim");
    }

    async fn try_report_completion(
        &self,
        ticket: ticket::Ticket,
        claimant: claim::Claimant,
        completion: Completion,
    ) -> Result<(), claim::Refusal> {
        let Some(decider) = self.decider(&ticket) else {
            return self.with_table(|t| match completion {
                Completion::Release => t.release(&ticket, claimant),
                Completion::Settle(state) => t.settle(&ticket, claimant, state),
            });
        };
        let cluster = self.core.cluster().ok_or(claim::Refusal::Unreachable)?;
        let client = cluster.client(decider);
        let response = match completion {
            Completion::Release => {
                let request = wire::Release { ticket, claimant };
                client.release(request, COMPLETION_TIMEOUT).await
            }
            Completion::Settle(state) => {
                let request = wire::Settle {
                    ticket,
                    claimant,
                    state,
                };
                client.settle(request, COMPLETION_TIMEOUT).await
            }
        };
        response.unwrap_or_else(|error| {
            log::debug!(ticket:% = ticket, error:%; "claims: completion call failed");
            Err(match error.peer_terminated {
                true => claim::Refusal::Gone,
                false => claim::Refusal::Unreachable,
            })
        })
    }

    async fn query_outcome(&self, ticket: ticket::Ticket) -> Result<claim::State, claim::Refusal> {
        let Some(decider) = self.decider(&ticket) else {
            return self.with_table(|t| t.outcome(&ticket));
        };
        let cluster = self.core.cluster().ok_or(claim::Refusal::Unreachable)?;
        let request = wire::Outcome { ticket };
        let response = cluster
            .client(decider)
            .outcome(request, CLAIM_TIMEOUT)
            .await;
        response.unwrap_or_else(|error| {
            log::warn!(ticket:% = ticket, error:%; "claims: outcome call failed");
            Err(match error.peer_terminated {
                true => claim::Refusal::Gone,
                false => claim::Refusal::Unreachable,
            })
        })
    }
}

/// Implements the proxy's claims interface.
pub struct ProxyClaims(pub Arc<Claims>);

impl interface::Claims for ProxyClaims {
    fn mint(&self) -> Option<ticket::Ticket> {
        let now = self.0.core.now();
        self.0.with_table(|t| t.mint(now))
    }

    fn claim(
        &self,
        ticket: ticket::Ticket,
        request: handle::Request,
    ) -> BoxFuture<'_, Result<(), claim::Refusal>> {
        self.0.claim(ticket, self.0.claimant(request)).boxed()
    }

    fn release(&self, ticket: ticket::Ticket, request: handle::Request) -> BoxFuture<'_, ()> {
        let claims = Arc::clone(&self.0);
        let claimant = claims.claimant(request);
        claims
            .report_completion(ticket, claimant, Completion::Release)
            .boxed()
    }

    fn settle(
        &self,
        ticket: ticket::Ticket,
        request: handle::Request,
        state: claim::State,
    ) -> BoxFuture<'_, ()> {
        let claims = Arc::clone(&self.0);
        let claimant = claims.claimant(request);
        claims
            .report_completion(ticket, claimant, Completion::Settle(state))
            .boxed()
    }

    fn outcome(
        &self,
        ticket: ticket::Ticket,
    ) -> BoxFuture<'_, Result<claim::State, claim::Refusal>> {
        self.0.query_outcome(ticket).boxed()
    }
}
