//! Claims on tickets: decided here for the tickets of this daemon, asked for elsewhere for others.

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

/// Longest wait for the minter's answer to a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest wait for the minter's answer to a release or a settlement.
const END_TIMEOUT: Duration = Duration::from_secs(2);

/// Tellings of how a claim ended.
const TELLINGS: u32 = 12;

/// Wait after the first telling that found nobody; doubled after each.
const PAUSE: Duration = Duration::from_millis(100);

/// Longest wait between two tellings.
const PAUSE_MAX: Duration = Duration::from_secs(5);

/// Time between two looks for tickets past their lifetime.
const EXPIRY: Duration = Duration::from_secs(30);

/// Daemons asked one after another while a ticket moves to a successor.
const MOVES: u32 = 3;

/// How a claim ended.
#[derive(Clone, Copy, Debug)]
enum End {
    /// Its request was not run and never will be.
    Release,
    /// Its request was answered, or its end is unknown.
    Settle(claim::State),
}

/// The claims of one daemon.
pub struct Claims {
    core: Arc<core::Core>,
    table: Mutex<table::Table>,
    successors: Mutex<successor::Successors>,
}

impl Claims {
    /// A table without tickets, with a secret of its own.
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

    /// Runs `change` on the table.
    pub fn table<T>(&self, change: impl FnOnce(&mut table::Table) -> T) -> T {
        change(&mut lock(&self.table))
    }

    /// Forgets tickets past their lifetime, until the task is dropped.
    pub async fn expire(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(EXPIRY);
        loop {
            ticks.tick().await;
            let now = self.core.now();
            self.table(|t| t.expire(now));
        }
    }

    /// Learns that a minter's table was taken over; whether it was new.
    pub fn succeeded(&self, succession: successor::Succession) -> bool {
        lock(&self.successors).insert(succession)
    }

    fn claimant(&self, request: handle::Request) -> claim::Claimant {
        claim::Claimant {
            daemon: self.core.instance,
            request: request.0,
        }
    }

    /// The daemon that decides a ticket; `None` where it is this one.
    fn decider(&self, ticket: &ticket::Ticket) -> Option<instance::Instance> {
        let here = self.table(|t| t.minters().any(|minter| minter == ticket.minter));
        if here {
            return None;
        }
        let decider = lock(&self.successors).decider(ticket.minter);
        (decider != self.core.instance).then_some(decider)
    }

    async fn ask(
        &self,
        ticket: ticket::Ticket,
        claimant: claim::Claimant,
    ) -> Result<(), claim::Refusal> {
        let mut asked = None;
        for _ in 0..MOVES {
            let Some(decider) = self.decider(&ticket) else {
                return self.table(|t| t.claim(&ticket, claimant));
            };
            if asked == Some(decider) {
                break;
            }
            asked = Some(decider);
            let answer = self.ask_at(decider, ticket, claimant).await;
            if answer != Err(claim::Refusal::Stopping) {
                return answer;
            }
        }
        Err(claim::Refusal::Stopping)
    }

    async fn ask_at(
        &self,
        decider: instance::Instance,
        ticket: ticket::Ticket,
        claimant: claim::Claimant,
    ) -> Result<(), claim::Refusal> {
        let cluster = self.core.cluster().ok_or(claim::Refusal::Unreachable)?;
        let request = wire::Claim { ticket, claimant };
        let answer = cluster.call(decider).claim(request, CLAIM_TIMEOUT).await;
        answer.unwrap_or_else(|error| Err(Self::unanswered(&error, ticket)))
    }

    /// What a claim without an answer means. The request is not sent.
    fn unanswered(error: &call::Error, ticket: ticket::Ticket) -> claim::Refusal {
        log::warn!(ticket:% = ticket, error:%; "claims: claim was not answered");
        if error.ended {
            return claim::Refusal::Gone;
        }
        // Where the claim may be held all the same, the request path releases it.
        claim::Refusal::Unreachable
    }

    /// Tells the daemon that decides the ticket how a claim ended, again and again while that
    /// daemon does not answer or its claims move to a successor.
    async fn tell(self: Arc<Self>, ticket: ticket::Ticket, claimant: claim::Claimant, end: End) {
        let mut pause = PAUSE;
        for _ in 0..TELLINGS {
            match self.tell_once(ticket, claimant, end).await {
                Ok(()) => return,
                Err(claim::Refusal::Stopping | claim::Refusal::Unreachable) => {}
                Err(refusal) => {
                    log::info!(ticket:% = ticket, refusal:%; "claims: end of a claim was refused");
                    return;
                }
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(PAUSE_MAX);
        }
        log::warn!(ticket:% = ticket; "claims: end of a claim was not told");
    }

    async fn tell_once(
        &self,
        ticket: ticket::Ticket,
        claimant: claim::Claimant,
        end: End,
    ) -> Result<(), claim::Refusal> {
        let Some(decider) = self.decider(&ticket) else {
            return self.table(|t| match end {
                End::Release => t.release(&ticket, claimant),
                End::Settle(state) => t.settle(&ticket, claimant, state),
            });
        };
        let cluster = self.core.cluster().ok_or(claim::Refusal::Unreachable)?;
        let client = cluster.call(decider);
        let told = match end {
            End::Release => {
                let request = wire::Release { ticket, claimant };
                client.release(request, END_TIMEOUT).await
            }
            End::Settle(state) => {
                let request = wire::Settle {
                    ticket,
                    claimant,
                    state,
                };
                client.settle(request, END_TIMEOUT).await
            }
        };
        told.unwrap_or_else(|error| {
            log::debug!(ticket:% = ticket, error:%; "claims: end of a claim was not answered");
            Err(match error.ended {
                true => claim::Refusal::Gone,
                false => claim::Refusal::Unreachable,
            })
        })
    }

    async fn ask_outcome(&self, ticket: ticket::Ticket) -> Result<claim::State, claim::Refusal> {
        let Some(decider) = self.decider(&ticket) else {
            return self.table(|t| t.outcome(&ticket));
        };
        let cluster = self.core.cluster().ok_or(claim::Refusal::Unreachable)?;
        let request = wire::Outcome { ticket };
        let answer = cluster.call(decider).outcome(request, CLAIM_TIMEOUT).await;
        answer.unwrap_or_else(|error| {
            log::warn!(ticket:% = ticket, error:%; "claims: outcome was not answered");
            Err(match error.ended {
                true => claim::Refusal::Gone,
                false => claim::Refusal::Unreachable,
            })
        })
    }
}

/// What the request path sees of the claims.
pub struct Border(pub Arc<Claims>);

impl interface::Claims for Border {
    fn mint(&self) -> Option<ticket::Ticket> {
        let now = self.0.core.now();
        self.0.table(|t| t.mint(now))
    }

    fn claim(
        &self,
        ticket: ticket::Ticket,
        request: handle::Request,
    ) -> BoxFuture<'_, Result<(), claim::Refusal>> {
        self.0.ask(ticket, self.0.claimant(request)).boxed()
    }

    fn release(&self, ticket: ticket::Ticket, request: handle::Request) -> BoxFuture<'_, ()> {
        let claims = Arc::clone(&self.0);
        let claimant = claims.claimant(request);
        claims.tell(ticket, claimant, End::Release).boxed()
    }

    fn settle(
        &self,
        ticket: ticket::Ticket,
        request: handle::Request,
        state: claim::State,
    ) -> BoxFuture<'_, ()> {
        let claims = Arc::clone(&self.0);
        let claimant = claims.claimant(request);
        claims.tell(ticket, claimant, End::Settle(state)).boxed()
    }

    fn outcome(
        &self,
        ticket: ticket::Ticket,
    ) -> BoxFuture<'_, Result<claim::State, claim::Refusal>> {
        self.0.ask_outcome(ticket).boxed()
    }
}
