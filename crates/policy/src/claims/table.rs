//! The minter's table of claims: its own tickets, and those of the daemons that it succeeded.
//!
//! Invariant: over the whole fleet at most one table grants claims on a ticket at any time, and it
//! knows of every claim that was granted before. A table stops granting before it gives its
//! content away and goes on only after a definite refusal; see [`handover`].

use std::collections::{BTreeMap, BTreeSet};

use monsooncart_types::{instance, time};

use crate::claims::{claim, handover, register, secret, ticket};

/// Where a planned stop stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Stop {
    /// None is under way, or every successor so far refused.
    None,
    /// Offered to this successor; whether it took the table is unknown.
    Offered(instance::Instance),
    /// This successor took the table.
    Taken(instance::Instance),
}

/// Claims that one daemon decides.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Table {
    instance: instance::Instance,
    own: register::Register,
    inherited: BTreeMap<instance::Instance, register::Register>,
    /// Minters whose tables were ever taken over.
    taken: BTreeSet<instance::Instance>,
    stop: Stop,
    /// When the first offer was made; every offer refers to it, so that all are the same.
    offered: Option<time::Time>,
    /// Once set, no ticket is minted and no table taken over.
    stopping: bool,
}

impl Table {
    /// A table without tickets.
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
            taken: BTreeSet::new(),
            stop: Stop::None,
            offered: None,
            stopping: false,
        }
    }

    /// The run of the daemon that this table belongs to.
    #[must_use]
    pub fn instance(&self) -> instance::Instance {
        self.instance
    }

    /// Mints a ticket; `None` while stopping.
    pub fn mint(&mut self, now: time::Time) -> Option<ticket::Ticket> {
        (!self.stopping).then(|| self.own.mint(now))
    }

    /// Decides a claim; the same claimant gets the same decision again.
    ///
    /// # Errors
    ///
    /// Why it is not granted.
    pub fn claim(
        &mut self,
        ticket: &ticket::Ticket,
        claimant: claim::Claimant,
    ) -> Result<(), claim::Refusal> {
        self.register(ticket.minter)?.claim(ticket, claimant)
    }

    /// Opens a claimed ticket again, as its request was not run and never will be.
    ///
    /// # Errors
    ///
    /// Why the ticket is not decided here; the release is to be sent to where it is.
    pub fn release(
        &mut self,
        ticket: &ticket::Ticket,
        claimant: claim::Claimant,
    ) -> Result<(), claim::Refusal> {
        self.register(ticket.minter)?.release(ticket, claimant)
    }

    /// Records how the claimed request ended.
    ///
    /// # Errors
    ///
    /// Why the ticket is not decided here; the end is to be sent to where it is.
    pub fn settle(
        &mut self,
        ticket: &ticket::Ticket,
        claimant: claim::Claimant,
        state: claim::State,
    ) -> Result<(), claim::Refusal> {
        self.register(ticket.minter)?
            .settle(ticket, claimant, state)
    }

    /// Where the work of a ticket stands.
    ///
    /// # Errors
    ///
    /// Why the ticket is not decided here.
    pub fn outcome(&mut self, ticket: &ticket::Ticket) -> Result<claim::State, claim::Refusal> {
        self.register(ticket.minter)?.outcome(ticket)
    }

    /// Forgets tickets past their lifetime; nothing while the table is offered, so that an offer
    /// which is repeated is the same.
    pub fn expire(&mut self, now: time::Time) {
        if self.stop != Stop::None {
            return;
        }
        self.own.expire(now);
        for register in self.inherited.values_mut() {
            register.expire(now);
        }
    }

    /// Ends minting for good; claims are decided on until the table is offered.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Offers the table to a successor, and grants nothing from then on; the same offer again
    /// while the last one is without a definite answer. `None` where another successor may have
    /// taken the table.
    pub fn export(
        &mut self,
        now: time::Time,
        to: instance::Instance,
    ) -> Option<handover::Handover> {
        if to == self.instance {
            return None;
        }
        self.stopping = true;
        match self.stop {
            Stop::None => self.stop = Stop::Offered(to),
            Stop::Offered(earlier) if earlier == to => {}
            Stop::Offered(_) | Stop::Taken(_) => return None,
        }
        let inherited = self.inherited.values().cloned();
        Some(handover::Handover {
            from: self.instance,
            to,
            made: *self.offered.get_or_insert(now),
            registers: std::iter::once(self.own.clone()).chain(inherited).collect(),
        })
    }

    /// Takes the answer to an offer.
    pub fn record_reply(&mut self, from: instance::Instance, reply: handover::Reply) {
        if self.stop != Stop::Offered(from) {
            return;
        }
        match reply {
            handover::Reply::Taken => {
                self.stop = Stop::Taken(from);
                self.inherited.clear();
            }
            handover::Reply::Refused => {
                self.stop = Stop::None;
                self.offered = None;
            }
            handover::Reply::Misaddressed => {}
        }
    }

    /// Takes over the table of a daemon that stops.
    pub fn import(&mut self, now: time::Time, handover: handover::Handover) -> handover::Reply {
        if handover.to != self.instance {
            return handover::Reply::Misaddressed;
        }
        if self.taken.contains(&handover.from) {
            return handover::Reply::Taken;
        }
        if self.stopping {
            return handover::Reply::Refused;
        }
        self.taken.insert(handover.from);
        for mut register in handover.registers {
            register.rebase(handover.made, now);
            self.taken.insert(register.minter());
            self.inherited.insert(register.minter(), register);
        }
        handover::Reply::Taken
    }

    /// The daemon that this table was offered to, whether or not its answer came: claims are to be
    /// asked for there.
    #[must_use]
    pub fn successor(&self) -> Option<instance::Instance> {
        match self.stop {
            Stop::None => None,
            Stop::Offered(to) | Stop::Taken(to) => Some(to),
        }
    }

    /// Whether the hand-over is complete.
    #[must_use]
    pub fn handed_over(&self) -> bool {
        matches!(self.stop, Stop::Taken(_))
    }

    /// Minters whose tickets are decided here.
    pub fn minters(&self) -> impl Iterator<Item = instance::Instance> + '_ {
        let granting = self.stop == Stop::None;
        let all = std::iter::once(self.instance).chain(self.inherited.keys().copied());
        all.filter(move |_| granting)
    }

    /// Tickets that take memory.
    #[must_use]
    pub fn entries(&self) -> usize {
        let inherited = self.inherited.values().map(register::Register::entries);
        self.own.entries() + inherited.sum::<usize>()
    }

    fn register(
        &mut self,
        minter: instance::Instance,
    ) -> Result<&mut register::Register, claim::Refusal> {
        let known = minter == self.instance || self.taken.contains(&minter);
        if known && self.stop != Stop::None {
            return Err(claim::Refusal::Stopping);
        }
        if minter == self.instance {
            return Ok(&mut self.own);
        }
        self.inherited.get_mut(&minter).ok_or(claim::Refusal::Gone)
    }
}
