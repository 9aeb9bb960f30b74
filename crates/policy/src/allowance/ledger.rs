//! The parts of one daemon of all allowances.

mod lending;
mod reporting;

use std::time::Duration;

use monsooncart_types::{instance, map, time};

use super::{
    BASE_HOLDERS, BASE_RATE, BASE_SHARE, Decision, FINDING_TIME, FIRST_LENDERS, Limit,
    Organisation, SILENCE_RETENTION, SYNC_TIMEOUT, Tolerance, account, loan, peer, received,
    report,
};
use crate::rank;

/// Time without a report after which a daemon's missing echo does not lengthen the reports.
const ACTIVE_TIME: Duration = Duration::from_secs(2);

/// A daemon of the entry sets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The daemon.
    pub daemon: instance::Instance,
    /// Whether it is in the same data centre; messages to others are dear.
    pub is_local: bool,
}

/// The daemon's accounts, and the weights of the other daemons.
#[derive(Clone, Debug)]
pub struct Ledger {
    own: instance::Instance,
    vm: u64,
    started_at: time::Time,
    tolerance: Tolerance,
    /// Whether there are other daemons, also while none is known.
    expects_others: bool,
    is_holder: bool,
    /// Whether the weights of the others are known, so that this daemon may use its own.
    is_synced: bool,
    accounts: map::Map<Organisation, account::Account>,
    peers: map::Map<instance::Instance, peer::Peer>,
    /// Earlier instances of VMs.
    superseded: map::Set<instance::Instance>,
    /// Number of the last change of an announced weight.
    changes: u64,
    /// Messages about loans that are to be sent.
    loans: Vec<(instance::Instance, loan::Loan)>,
    grants: u64,
    /// Number of asks, which varies the order of the lenders.
    asks: u64,
    /// Number of the last grant of each daemon, and those received out of order.
    received_grants: map::Map<instance::Instance, received::Received>,
    /// Changes with every weight that parts are computed from.
    generation: u64,
}

impl Ledger {
    /// Creates the ledger of the daemon `own` on the VM `vm`, which starts at `now`. `expects_others`
    /// tells whether it is to join a fleet.
    #[must_use]
    pub fn new(
        now: time::Time,
        own: instance::Instance,
        vm: u64,
        tolerance: Tolerance,
        expects_others: bool,
    ) -> Self {
        Self {
            own,
            vm,
            started_at: now,
            tolerance,
            expects_others,
            is_holder: false,
            is_synced: false,
            accounts: map::Map::default(),
            peers: map::Map::default(),
            superseded: map::Set::default(),
            changes: 0,
            loans: Vec::new(),
            grants: 0,
            asks: 0,
            received_grants: map::Map::default(),
            generation: 1,
        }
    }

    /// Applies the daemons of the entry sets, this one included if it is among them.
    pub fn set_holders(&mut self, now: time::Time, holders: &[Holder]) {
        self.is_holder = holders.iter().any(|holder| holder.daemon == self.own);
        for peer in self.peers.values_mut() {
            peer.is_holder = false;
        }
        let others = holders.iter().filter(|holder| holder.daemon != self.own);
        for holder in others.filter(|holder| !self.superseded.contains(&holder.daemon)) {
            let peer = self.peers.entry(holder.daemon);
            let peer = peer.or_insert_with(|| peer::Peer::new(now));
            peer.is_holder = true;
            peer.is_local = holder.is_local;
        }
        self.peers
            .retain(|_, peer| peer.is_required() || peer.vm.is_some());
        self.generation += 1;
    }

    /// Decides about a request of an organisation. `is_first` is false for a request that was
    /// undecided before.
    pub fn decide(
        &mut self,
        now: time::Time,
        organisation: Organisation,
        limit: Limit,
        is_first: bool,
    ) -> Decision {
        let extended = self.tolerance.extend(limit);
        self.update_account(now, organisation, extended);
        let lenders = self.lenders(organisation);
        let Some(account) = self.accounts.get_mut(&organisation) else {
            return Decision::Undecided;
        };
        let decision = account.decide(now, is_first, !lenders.is_empty());
        if let Some((tokens, all)) = account.take_wanted() {
            let lenders = match all {
                true => &lenders[FIRST_LENDERS.min(lenders.len())..],
                false => &lenders[..FIRST_LENDERS.min(lenders.len())],
            };
            self.asks += 1;
            let ask = loan::Loan::Ask {
                from: self.own,
                organisation,
                limit,
                tokens,
            };
            self.loans
                .extend(lenders.iter().map(|lender| (*lender, ask)));
        }
        decision
    }

    /// Gives the token of a request back that has not run.
    pub fn refund(&mut self, now: time::Time, organisation: Organisation) {
        if let Some(account) = self.accounts.get_mut(&organisation) {
            account.refund(now);
        }
    }

    /// This daemon's share of an organisation's allowance; `None` if it had no request lately.
    #[must_use]
    pub fn part(&self, organisation: Organisation) -> Option<f64> {
        self.accounts.get(&organisation).map(account::Account::part)
    }

    /// Creates the account of an organisation if there is none, and brings its part up to date.
    fn update_account(&mut self, now: time::Time, organisation: Organisation, limit: Limit) {
        self.update_sync(now);
        let generation = self.generation;
        let known = self.accounts.get(&organisation);
        if known.is_some_and(|a| a.generation == generation && a.limit() == limit) {
            return;
        }
        let effective = known.map_or(0.0, |account| account.effective.value());
        let part = self.part_of(now, organisation, limit, effective);
        let has_token = self.base_holders(organisation).contains(&self.own);
        let started_at = self.started_at;
        let account = self
            .accounts
            .entry(organisation)
            .or_insert_with(|| account::Account::new(now, started_at, limit, part, has_token));
        account.set_limit(now, limit);
        account.set_part(now, part, has_token);
        account.generation = generation;
    }

    /// Notices that the weights of all daemons of the entry sets are known. One that appears later has
    /// none before this daemon has echoed it.
    fn update_sync(&mut self, now: time::Time) {
        if self.is_synced {
            return;
        }
        let is_any_known = self.peers.values().any(|peer| peer.is_holder);
        self.is_synced = match is_any_known {
            true => !self.peers.values().any(|peer| peer.is_awaited(now)),
            false => self.is_holder && (!self.expects_others || self.is_waiting_over(now)),
        };
        if self.is_synced {
            self.generation += 1;
        }
    }

    /// Whether the daemon has waited long enough for others.
    fn is_waiting_over(&self, now: time::Time) -> bool {
        now.since(self.started_at) >= SYNC_TIMEOUT
    }

    /// Whether this daemon has started lately and has not heard all others, or knows none.
    fn is_finding_others(&self, now: time::Time) -> bool {
        let is_early = now.since(self.started_at) < FINDING_TIME;
        let mut holders = self.peers.values().filter(|peer| peer.is_holder).peekable();
        let knows_others = holders.peek().is_some();
        let has_heard_all = holders.all(|peer| peer.is_synced);
        is_early && self.expects_others && !(knows_others && has_heard_all)
    }

    /// Share of an allowance for an effective weight.
    fn part_of(
        &self,
        now: time::Time,
        organisation: Organisation,
        limit: Limit,
        effective: f64,
    ) -> f64 {
        if !self.is_synced {
            return 0.0;
        }
        let base_holders = self.base_holders(organisation);
        let base = limit.rate * BASE_SHARE + BASE_RATE;
        let base = base / base_holders.len().max(1) as f64;
        let base_of = |daemon: &instance::Instance| match base_holders.contains(daemon) {
            true => base,
            false => 0.0,
        };
        let mut own = effective.max(base_of(&self.own));
        let peers = self.peers.iter();
        let weights = peers.map(|(daemon, peer)| peer.weight(organisation, base_of(daemon)));
        let mut others: f64 = weights.sum();
        if self.is_finding_others(now) {
            // Those that this daemon has not heard may have demand for the whole rate.
            own = base_of(&self.own);
            others = others.max(limit.rate);
        }
        if own <= 0.0 {
            0.0
        } else {
            own / (own + others)
        }
    }

    /// Daemons of the entry sets that share the base weight of an organisation, by rendezvous hashing.
    fn base_holders(&self, organisation: Organisation) -> Vec<instance::Instance> {
        let peers = self.peers.iter().filter(|(_, peer)| peer.is_holder);
        let peers = peers.map(|(daemon, _)| *daemon);
        let own = self.is_holder.then_some(self.own);
        let mut holders: Vec<_> = peers.chain(own).collect();
        if holders.len() > BASE_HOLDERS {
            let weight = |daemon: &instance::Instance| {
                std::cmp::Reverse(rank::mix(organisation.0 ^ rank::mix(daemon.0)))
            };
            holders.select_nth_unstable_by_key(BASE_HOLDERS, weight);
            holders.truncate(BASE_HOLDERS);
        }
        holders
    }

    /// Number of the last change that all required daemons have echoed.
    fn echoed(&self) -> u64 {
        let required = self.peers.values().filter(|peer| peer.is_required());
        required.map(|peer| peer.echoed).min().unwrap_or(u64::MAX)
    }

    /// Uses the announced weights that all required daemons have echoed.
    fn confirm(&mut self) {
        let echoed = self.echoed();
        for account in self.accounts.values_mut() {
            if account.confirm(echoed) {
                // Forces the part to be computed anew.
                account.generation = 0;
            }
        }
    }

    /// Follows the demand; returns the reports that are due, with their receivers.
    pub fn tick(&mut self, now: time::Time) -> Vec<(instance::Instance, report::Report)> {
        self.peers.retain(|_, peer| {
            let silence = now.since(peer.heard_at);
            let retention = match peer.is_required() {
                true => SILENCE_RETENTION,
                false => ACTIVE_TIME,
            };
            peer.is_holder || silence < retention
        });
        let mut changes = self.changes;
        for account in self.accounts.values_mut() {
            if account.follow_demand(now) {
                changes += 1;
                account.changed_in = changes;
                account.generation = 0;
            }
        }
        self.changes = changes;
        self.confirm();
        self.generation += 1;
        self.settle_accounts(now);
        if !self.is_involved() {
            // The others do not report to this daemon any more.
            self.peers.values_mut().for_each(peer::Peer::forget);
            self.is_synced = false;
        }
        self.take_reports(now)
    }

    /// Whether the daemon has, or may have, parts.
    fn is_involved(&self) -> bool {
        self.is_holder || !self.accounts.is_empty()
    }

    /// Whether no tick is needed until the next request, report or change of the entry sets.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let is_settled = |peer: &peer::Peer| {
            !peer.awaits_echo && (peer.is_synced || !peer.is_holder || !self.is_involved())
        };
        self.accounts.is_empty() && self.loans.is_empty() && self.peers.values().all(is_settled)
    }

    /// Brings all parts up to date, so that tokens are added by the part of their time, and discards
    /// idle accounts.
    fn settle_accounts(&mut self, now: time::Time) {
        let organisations = self.accounts.iter();
        let organisations: Vec<_> = organisations.map(|(o, a)| (*o, a.limit())).collect();
        for (organisation, limit) in organisations {
            self.update_account(now, organisation, limit);
        }
        let echoed = self.echoed();
        self.accounts
            .retain(|_, account| !account.is_idle() || account.changed_in > echoed);
    }
}
