//! The claims on one minter's tickets.
//!
//! A ticket that nobody claimed takes no memory: its number lies between [`Register::first`] and
//! the next number to be minted, and has no entry. Tickets leave the register from its low end
//! only, by raising `first`; a number below `first` is refused for ever. That is what makes
//! forgetting safe without any trust in clocks.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use monsooncart_types::{instance, time};

use crate::claims::{claim, secret, ticket};

/// Parts of the lifetime in which numbers are kept together.
const SLICES: u32 = 64;

/// Daemons whose released claims one ticket remembers.
const RELEASED_MAX: usize = 16;

/// How much a register keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Limits {
    /// How long a ticket can be claimed and its outcome be asked for.
    pub lifetime: Duration,
    /// Tickets with an entry; beyond it the oldest tickets expire early.
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

/// Who holds the claim on a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
struct Holder {
    claimant: claim::Claimant,
    state: claim::State,
}

/// What is known of a ticket that was claimed or released once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
struct Entry {
    holder: Option<Holder>,
    /// The newest released request of each daemon, which is never granted from then on.
    released: Vec<claim::Claimant>,
}

impl Entry {
    fn released(&self, claimant: claim::Claimant) -> bool {
        let newer =
            |r: &claim::Claimant| r.daemon == claimant.daemon && r.request >= claimant.request;
        self.released.iter().any(newer)
    }

    fn release(&mut self, claimant: claim::Claimant) {
        let same = |r: &&mut claim::Claimant| r.daemon == claimant.daemon;
        match self.released.iter_mut().find(same) {
            Some(known) => known.request = known.request.max(claimant.request),
            None => self.released.push(claimant),
        }
    }
}

/// Numbers minted in one slice of time.
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
    /// A register without tickets.
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

    /// Whose tickets these are.
    #[must_use]
    pub fn minter(&self) -> instance::Instance {
        self.minter
    }

    /// Lowest number that is not expired.
    #[must_use]
    pub fn first(&self) -> u64 {
        self.first
    }

    /// Tickets that take memory.
    #[must_use]
    pub fn entries(&self) -> usize {
        self.entries.len()
    }

    /// Mints a ticket.
    pub fn mint(&mut self, now: time::Time) -> ticket::Ticket {
        let span = self.limit.lifetime / SLICES;
        let fresh = self
            .slices
            .back()
            .is_none_or(|s| now.since(s.start) >= span);
        if fresh {
            let first = self.next;
            self.slices.push_back(Slice { first, start: now });
        }
        let number = self.next;
        self.next += 1;
        self.secret.ticket(self.minter, number)
    }

    /// Decides a claim.
    ///
    /// # Errors
    ///
    /// Why it is not granted.
    pub fn claim(
        &mut self,
        ticket: &ticket::Ticket,
        claimant: claim::Claimant,
    ) -> Result<(), claim::Refusal> {
        self.check(ticket)?;
        let entry = self.entries.entry(ticket.number).or_default();
        if let Some(holder) = entry.holder {
            let again = holder.claimant == claimant && holder.state == claim::State::Claimed;
            let state = holder.state;
            return if again {
                Ok(())
            } else {
                Err(claim::Refusal::Taken { state })
            };
        }
        if entry.released(claimant) {
            return Err(claim::Refusal::Released);
        }
        if entry.released.len() >= RELEASED_MAX {
            return Err(claim::Refusal::Expired);
        }
        let state = claim::State::Claimed;
        entry.holder = Some(Holder { claimant, state });
        self.bound();
        Ok(())
    }

    /// Opens a claimed ticket again; the claimant is never granted it from then on, also where the
    /// release overtook its claim.
    ///
    /// # Errors
    ///
    /// Why the ticket is not known here.
    pub fn release(
        &mut self,
        ticket: &ticket::Ticket,
        claimant: claim::Claimant,
    ) -> Result<(), claim::Refusal> {
        self.check(ticket)?;
        let entry = self.entries.entry(ticket.number).or_default();
        let settled = |h: Holder| h.claimant == claimant && h.state != claim::State::Claimed;
        if entry.holder.is_some_and(settled) {
            return Ok(());
        }
        entry.release(claimant);
        if entry.holder.is_some_and(|h| h.claimant == claimant) {
            entry.holder = None;
        }
        self.bound();
        Ok(())
    }

    /// Records how the claimant's request ended; the first end stays, but that an answer replaces
    /// an unknown end.
    ///
    /// # Errors
    ///
    /// Why the ticket is not known here.
    pub fn settle(
        &mut self,
        ticket: &ticket::Ticket,
        claimant: claim::Claimant,
        state: claim::State,
    ) -> Result<(), claim::Refusal> {
        self.check(ticket)?;
        let entry = self.entries.get_mut(&ticket.number);
        let Some(holder) = entry.and_then(|e| e.holder.as_mut()) else {
            return Ok(());
        };
        let ends = matches!(state, claim::State::Answered(_) | claim::State::Unknown);
        let open = !matches!(holder.state, claim::State::Answered(_));
        if ends && open && holder.claimant == claimant {
            holder.state = state;
        }
        Ok(())
    }

    /// Where the work of a ticket stands.
    ///
    /// # Errors
    ///
    /// Why the ticket is not known here.
    pub fn outcome(&self, ticket: &ticket::Ticket) -> Result<claim::State, claim::Refusal> {
        self.check(ticket)?;
        let entry = self.entries.get(&ticket.number);
        let holder = entry.and_then(|e| e.holder);
        Ok(holder.map_or(claim::State::Open, |h| h.state))
    }

    /// Forgets tickets past their lifetime.
    pub fn expire(&mut self, now: time::Time) {
        let lifetime = self.limit.lifetime + self.limit.lifetime / SLICES;
        let old = |s: &Slice| now.since(s.start) > lifetime;
        while self.slices.front().is_some_and(old) {
            self.slices.pop_front();
            self.raise(self.slices.front().map_or(self.next, |s| s.first));
        }
    }

    /// The register with its instants measured from `now` on backwards, as another process can
    /// take it.
    pub(crate) fn rebase(&mut self, from: time::Time, to: time::Time) {
        for slice in &mut self.slices {
            let age = from.since(slice.start);
            let age = u64::try_from(age.as_nanos()).unwrap_or(u64::MAX);
            slice.start = time::Time(to.0.saturating_sub(age));
        }
    }

    fn check(&self, ticket: &ticket::Ticket) -> Result<(), claim::Refusal> {
        let minted = ticket.minter == self.minter && ticket.number < self.next;
        if !minted || !self.secret.verifies(ticket) {
            return Err(claim::Refusal::Forged);
        }
        if ticket.number < self.first {
            return Err(claim::Refusal::Expired);
        }
        Ok(())
    }

    /// Expires the oldest tickets while there are too many entries.
    fn bound(&mut self) {
        while self.entries.len() > self.limit.entries {
            let Some((&number, _)) = self.entries.first_key_value() else {
                return;
            };
            self.raise(number + 1);
        }
    }

    fn raise(&mut self, first: u64) {
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
