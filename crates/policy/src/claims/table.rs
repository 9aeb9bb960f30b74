//! The minter's table of claims on its own tickets and on those of the daemons that it succeeded.
//!
//! Invariant: at any time at most one table in the fleet grants claims on a ticket, and it knows
//! every claim granted earlier. A table stops granting before it exports its content and resumes
//! only after a definite refusal; see [`handover`].

use std::collections::{BTreeMap, BTreeSet};

use monsooncart_types::{instance, time};

use crate::claims::{claim, handover, register, secret, ticket};

/// State of the transfer to a successor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Transfer {
    /// Not started, or refused by every successor that was tried.
    None,
    /// Offered to this successor; whether it took the table is unknown.
    Offered(instance::Instance),
    /// This successor took the table.
    Taken(instance::Instance),
}

/// Claims decided by one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Table {
    instance: instance::Instance,
    own: register::Register,
    inherited: BTreeMap<instance::Instance, register::Register>,
    /// Minters whose tables were taken over at any time.
    taken_over: BTreeSet<instance::Instance>,
    transfer: Transfer,
    /// Time of the first offer. Every repetition uses it, so that all are identical.
    offered_at: Option<time::Time>,
    /// Whether the table has permanently stopped minting tickets and taking over other tables.
    stopping: bool,
}

impl Table {
    /// Creates a table without tickets.
    #[must_use]
    pub fn new(
        instance: instance::Instance,
        secret: secret::Secret,
        limit: register::Limits,
    ) -> Self {
        Self {
            instance,
            own: register::Register::new(instance, secret, limit),
            inherited: BTreeMap::new(),
            taken_over: BTreeSet::new(),
            transfer: Transfer::None,
            offered_at: None,
            stopping: false,
        }
    }

    /// Returns the daemon instance that owns this table.
    #[must_use]
    pub fn instance(&self) -> instance::Instance {
        self.instance
    }

    /// Mints a ticket; `None` while stopping.
    pub fn mint(&mut self, now: time::Time) -> Option<ticket::Ticket> {
        (!self.stopping).then(|| self.own.mint(now))
    }

    /// Decides a claim; repeating it gives the same decision.
    ///
    /// # Errors
    ///
    /// Fails if the ticket is not decided here or the claim is not granted.
    pub fn claim(
        &mut self,
        ticket: &ticket::Ticket,
        claimant: claim::Claimant,
    ) -> Result<(), claim::Refusal> {
        self.register(ticket.minter)?.claim(ticket, claimant)
    }

    /// Reopens a claimed ticket whose request was not executed and never will be.
    ///
    /// # Errors
    ///
    /// Fails if the ticket is forged or expired, or if it is not decided here; in the latter case,
    /// send the release to the daemon that decides it.
    pub fn release(
        &mut self,
        ticket: &ticket::Ticket,
        claimant: claim::Claimant,
    ) -> Result<(), claim::Refusal> {
        self.register(ticket.minter)?.release(ticket, claimant)
    }

    /// Records the result of the claimed request.
    ///
    /// # Errors
    ///
    /// Fails if the ticket is forged or expired, or if it is not decided here; in the latter case,
    /// send the result to the daemon that decides it.
    pub fn settle(
        &mut self,
        ticket: &ticket::Ticket,
        claimant: claim::Claimant,
        state: claim::State,
    ) -> Result<(), claim::Refusal> {
        self.register(ticket.minter)?
            .settle(ticket, claimant, state)
    }

    /// Returns the state of a ticket's request.
    ///
    /// # Errors
    ///
    /// Fails if the ticket is forged or expired, or if it is not decided here.
    pub fn outcome(&mut self, ticket: &ticket::Ticket) -> Result<claim::State, claim::Refusal> {
        self.register(ticket.minter)?.outcome(ticket)
    }

    /// Expires tickets past their lifetime. Does nothing once the table is offered, so that
    /// repeated offers are identical.
    pub fn expire(&mut self, now: time::Time) {
        if self.transfer != Transfer::None {
            return;
        }
        self.own.expire(now);
        for register in self.inherited.values_mut() {
            register.expire(now);
        }
    }

    /// Stops minting permanently; claims are still decided until the table is offered.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Offers the table to a successor and stops granting claims. Returns an identical offer until
    /// a definite reply arrives, and `None` if another successor may have taken the table.
    pub fn export(
        &mut self,
        now: time::Time,
        to: instance::Instance,
    ) -> Option<handover::Handover> {
        if to == self.instance {
            return None;
        }
        self.stopping = true;
        match self.transfer {
            Transfer::None => self.transfer = Transfer::Offered(to),
            Transfer::Offered(earlier) if earlier == to => {}
            Transfer::Offered(_) | Transfer::Taken(_) => return None,
        }
        let inherited = self.inherited.values().cloned();
        Some(handover::Handover {
            from: self.instance,
            to,
            made: *self.offered_at.get_or_insert(now),
            registers: std::iter::once(self.own.clone()).chain(inherited).collect(),
        })
    }

    /// Records a successor's reply to an offer.
    pub fn record_reply(&mut self, from: instance::Instance, reply: handover::Reply) {
        if self.transfer != Transfer::Offered(from) {
            return;
        }
        match reply {
            handover::Reply::Taken => {
                self.transfer = Transfer::Taken(from);
                self.inherited.clear();
            }
            handover::Reply::Refused => {
                self.transfer = Transfer::None;
                self.offered_at = None;
            }
            handover::Reply::Misaddressed => {}
        }
    }

    /// Takes over the table of a stopping daemon.
    pub fn import(&mut self, now: time::Time, handover: handover::Handover) -> handover::Reply {
        if handover.to != self.instance {
            return handover::Reply::Misaddressed;
        }
        if self.taken_over.contains(&handover.from) {
            return handover::Reply::Taken;
        }
        if self.stopping {
            return handover::Reply::Refused;
        }
        self.taken_over.insert(handover.from);
        for mut register in handover.registers {
            register.rebase(handover.made, now);
            self.taken_over.insert(register.minter());
            self.inherited.insert(register.minter(), register);
        }
        handover::Reply::Taken
    }

    /// Returns the daemon that this table was offered to, whether or not it has replied. Claims
    /// should be sent to it.
    #[must_use]
    pub fn successor(&self) -> Option<instance::Instance> {
        match self.transfer {
            Transfer::None => None,
            Transfer::Offered(to) | Transfer::Taken(to) => Some(to),
        }
    }

    /// Whether a successor has taken the table.
    #[must_use]
    pub fn is_handed_over(&self) -> bool {
        matches!(self.transfer, Transfer::Taken(_))
    }

    /// Iterates over the minters whose tickets are decided here.
    pub fn minters(&self) -> impl Iterator<Item = instance::Instance> + '_ {
        let is_granting = self.transfer == Transfer::None;
        let all = std::iter::once(self.instance).chain(self.inherited.keys().copied());
        all.filter(move |_| is_granting)
    }

    /// Returns the number of tickets with an entry.
    #[must_use]
    pub fn entries(&self) -> usize {
        let inherited = self.inherited.values().map(register::Register::entries);
        self.own.entries() + inherited.sum::<usize>()
    }

    fn register(
        &mut self,
        minter: instance::Instance,
    ) -> Result<&mut register::Register, claim::Refusal> {
        let known = minter == self.instance || self.taken_over.contains(&minter);
        if known && self.transfer != Transfer::None {
            return Err(claim::Refusal::Stopping);
        }
        if minter == self.instance {
            return Ok(&mut self.own);
        }
        self.inherited.get_mut(&minter).ok_or(claim::Refusal::Gone)
    }
}
