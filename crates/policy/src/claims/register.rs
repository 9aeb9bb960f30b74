//! Claims on the tickets of one minter.
//!
//! An unclaimed ticket takes no memory: its number lies between [`Register::first_unexpired`] and
//! the next number to be minted, and has no entry. Tickets expire only from the low end, by raising
//! the first unexpired number; a number below it is refused forever. That makes expiry safe without
//! relying on clocks.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use monsooncart_types::{instance, time};

use crate::claims::{claim, secret, ticket};

/// Number of slices that the lifetime is divided into; the tickets minted in a slice expire
/// together.
const SLICES_PER_LIFETIME: u32 = 64;

/// Maximum number of daemons whose released claims are recorded for one ticket.
const MAX_RELEASED: usize = 16;

/// Limits on what a register retains.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Limits {
    /// Time for which a ticket can be claimed and its outcome queried.
    pub lifetime: Duration,
    /// Maximum number of tickets with an entry; above it the oldest tickets expire early.
    pub entries: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            lifetime: Duration::from_secs(3600),
            entries: 65_536,
        }
    }
}

/// The granted claim on a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
struct Holder {
    claimant: claim::Claimant,
    state: claim::State,
}

/// State of a ticket that was ever claimed or released.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
struct Entry {
    holder: Option<Holder>,
    /// The newest released request of each daemon; it and earlier ones are never granted.
    released: Vec<claim::Claimant>,
}

impl Entry {
    fn has_released(&self, claimant: claim::Claimant) -> bool {
        let covers =
            |r: &claim::Claimant| r.daemon == claimant.daemon && r.request >= claimant.request;
        self.released.iter().any(covers)
    }

    fn release(&mut self, claimant: claim::Claimant) {
        let is_same_daemon = |r: &&mut claim::Claimant| r.daemon == claimant.daemon;
        match self.released.iter_mut().find(is_same_daemon) {
            Some(known) => known.request = known.request.max(claimant.request),
            None => self.released.push(claimant),
        }
    }
}

/// Ticket numbers minted in one slice of time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
struct Slice {
    first: u64,
    start: time::Time,
}

/// Claims on the tickets of one minter.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Register {
    minter: instance::Instance,
    secret: secret::Secret,
    limit: Limits,
    first: u64,
    next: u64,
    slices: VecDeque<Slice>,
    entries: BTreeMap<u64, Entry>,
}

impl Register {
    /// Creates a register without tickets.
    #[must_use]
    pub fn new(minter: instance::Instance, secret: secret::Secret, limit: Limits) -> Self {
        Self {
            minter,
            secret,
            limit,
            first: 0,
            next: 0,
            slices: VecDeque::new(),
            entries: BTreeMap::new(),
        }
    }

    /// Returns the daemon that minted the tickets.
    #[must_use]
    pub fn minter(&self) -> instance::Instance {
        self.minter
    }

    /// Returns the lowest ticket number that has not expired.
    #[must_use]
    pub fn first_unexpired(&self) -> u64 {
        self.first
    }

    /// Returns the number of tickets with an entry.
    #[must_use]
    pub fn entries(&self) -> usize {
        self.entries.len()
    }

    /// Mints a ticket.
    pub fn mint(&mut self, now: time::Time) -> ticket::Ticket {
        let slice_length = self.limit.lifetime / SLICES_PER_LIFETIME;
        let starts_slice = self
            .slices
            .back()
            .is_none_or(|s| now.since(s.start) >= slice_length);
        if starts_slice {
            let first = self.next;
            self.slices.push_back(Slice { first, start: now });
        }
        let number = self.next;
        self.next += 1;
        self.secret.ticket(self.minter, number)
    }

    /// Decides a claim; repeating it gives the same decision.
    ///
    /// # Errors
    ///
    /// Fails if the ticket is not valid here, is claimed by another claimant or already settled, or
    /// if this claimant released it.
    pub fn claim(
        &mut self,
        ticket: &ticket::Ticket,
        claimant: claim::Claimant,
    ) -> Result<(), claim::Refusal> {
        self.verify(ticket)?;
        let entry = self.entries.entry(ticket.number).or_default();
        if let Some(holder) = entry.holder {
            let is_repeated = holder.claimant == claimant && holder.state == claim::State::Claimed;
            let state = holder.state;
            return if is_repeated {
                Ok(())
            } else {
                Err(claim::Refusal::Taken { state })
            };
        }
        if entry.has_released(claimant) {
            return Err(claim::Refusal::Released);
        }
        if entry.released.len() >= MAX_RELEASED {
            return Err(claim::Refusal::Expired);
        }
        let state = claim::State::Claimed;
        entry.holder = Some(Holder { claimant, state });
        self.enforce_entry_limit();
        Ok(())
    }

    /// Reopens a claimed ticket. The claimant is never granted it afterwards, even if the release
    /// arrives before its claim.
    ///
    /// # Errors
    ///
    /// Fails if the ticket is forged or expired.
    pub fn release(
        &mut self,
        ticket: &ticket::Ticket,
        claimant: claim::Claimant,
    ) -> Result<(), claim::Refusal> {
        self.verify(ticket)?;
        let entry = self.entries.entry(ticket.number).or_default();
        let is_settled = |h: Holder| h.claimant == claimant && h.state != claim::State::Claimed;
        if entry.holder.is_some_and(is_settled) {
            return Ok(());
        }
        entry.release(claimant);
        if entry.holder.is_some_and(|h| h.claimant == claimant) {
            entry.holder = None;
        }
        self.enforce_entry_limit();
        Ok(())
    }

    /// Records the result of the claimant's request. The first result is final, except that an
    /// answer replaces an unknown result.
    ///
    /// # Errors
    ///
    /// Fails if the ticket is forged or expired.
    pub fn settle(
        &mut self,
        ticket: &ticket::Ticket,
        claimant: claim::Claimant,
        state: claim::State,
    ) -> Result<(), claim::Refusal> {
        self.verify(ticket)?;
        let entry = self.entries.get_mut(&ticket.number);
        let Some(holder) = entry.and_then(|e| e.holder.as_mut()) else {
            return Ok(());
        };
        let is_result = matches!(state, claim::State::Answered(_) | claim::State::Unknown);
        let replaceable = !matches!(holder.state, claim::State::Answered(_));
        if is_result && replaceable && holder.claimant == claimant {
            holder.state = state;
        }
        Ok(())
    }

    /// Returns the state of a ticket's request.
    ///
    /// # Errors
    ///
    /// Fails if the ticket is forged or expired.
    pub fn outcome(&self, ticket: &ticket::Ticket) -> Result<claim::State, claim::Refusal> {
        self.verify(ticket)?;
        let entry = self.entries.get(&ticket.number);
        let holder = entry.and_then(|e| e.holder);
        Ok(holder.map_or(claim::State::Open, |h| h.state))
    }

    /// Expires tickets past their lifetime.
    pub fn expire(&mut self, now: time::Time) {
        let max_age = self.limit.lifetime + self.limit.lifetime / SLICES_PER_LIFETIME;
        let is_expired = |s: &Slice| now.since(s.start) > max_age;
        while self.slices.front().is_some_and(is_expired) {
            self.slices.pop_front();
            self.expire_below(self.slices.front().map_or(self.next, |s| s.first));
        }
    }

    /// Converts the register's times to this process's clock, on which the time `from` of the
    /// earlier clock is `to`. Ages are preserved.
    pub(crate) fn rebase(&mut self, from: time::Time, to: time::Time) {
        for slice in &mut self.slices {
            let age = from.since(slice.start);
            let age = u64::try_from(age.as_nanos()).unwrap_or(u64::MAX);
            slice.start = time::Time(to.0.saturating_sub(age));
        }
    }

    fn verify(&self, ticket: &ticket::Ticket) -> Result<(), claim::Refusal> {
        let minted = ticket.minter == self.minter && ticket.number < self.next;
        if !minted || !self.secret.verifies(ticket) {
            return Err(claim::Refusal::Forged);
        }
        if ticket.number < self.first {
            return Err(claim::Refusal::Expired);
        }
        Ok(())
    }

    /// Expires the oldest tickets while the number of entries exceeds the limit.
    fn enforce_entry_limit(&mut self) {
        while self.entries.len() > self.limit.entries {
            let Some((&number, _)) = self.entries.first_key_value() else {
                return;
            };
            self.expire_below(number + 1);
        }
    }

    fn expire_below(&mut self, first: u64) {
        self.first = self.first.max(first);
        if self
            .entries
            .first_key_value()
            .is_some_and(|(n, _)| *n < self.first)
        {
            self.entries = self.entries.split_off(&self.first);
        }
    }
}
