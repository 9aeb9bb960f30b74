//! Division of the organisations' allowances among the daemons.
//!
//! Each daemon decides about its requests with a [`allowance::Ledger`]. This module gives it the
//! daemons of the entry sets, and exchanges its messages. A daemon without requests of organisations
//! with an allowance exchanges none.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use monsooncart_config::routing::access;
use monsooncart_config::settings;
use monsooncart_policy::membership::member;
use monsooncart_policy::{allowance, rank};
use monsooncart_types::{id, instance, time};
use monsooncart_wire::update;
use tokio::sync::Notify;

use crate::core;

/// Interval of the ledger's ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(150);

/// Time for which messages about loans are batched. Short, as requests wait for them.
const LOAN_DELAY: Duration = Duration::from_millis(5);

/// This daemon's parts of the allowances.
pub struct Allowances {
    ledger: Mutex<allowance::Ledger>,
    /// Notified when there may be something to send.
    wake: Notify,
}

/// The organisation, as the ledgers of all daemons know it.
fn organisation(name: &id::Organisation) -> allowance::Organisation {
    allowance::Organisation(rank::hash(name.as_bytes()))
}

impl Allowances {
    /// Creates the parts of a daemon that starts at `now`.
    #[must_use]
    pub fn new(
        now: time::Time,
        instance: instance::Instance,
        settings: &settings::Settings,
    ) -> Self {
        let vm = rank::hash(settings.name.as_bytes());
        let tolerance = settings.gateway.as_ref().map(|g| g.allowance_tolerance);
        let tolerance = tolerance.unwrap_or_default();
        let tolerance = allowance::Tolerance {
            share: tolerance.share,
            requests: tolerance.requests,
            window: tolerance.window.0,
        };
        let expects_others = !settings.seeds.is_empty();
        let ledger = allowance::Ledger::new(now, instance, vm, tolerance, expects_others);
        Self {
            ledger: Mutex::new(ledger),
            wake: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, allowance::Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies the daemons of the entry sets.
    pub fn set_holders(
        &self,
        now: time::Time,
        data_centre: &id::DataCentre,
        members: &[member::Member],
    ) {
        let holder = |member: &member::Member| allowance::Holder {
            daemon: member.instance,
            is_local: member.data_centre == *data_centre,
        };
        let holders: Vec<_> = members.iter().map(holder).collect();
        self.lock().set_holders(now, &holders);
        self.wake.notify_one();
    }

    /// Decides about a request; `is_first` is false for one that was undecided before.
    pub fn admit(
        &self,
        now: time::Time,
        name: &id::Organisation,
        allowed: &access::Allowance,
        is_first: bool,
    ) -> allowance::Decision {
        let limit = allowance::Limit {
            rate: allowed.rate.0,
            burst: allowed.burst,
        };
        let mut ledger = self.lock();
        let was_idle = ledger.is_idle();
        let decision = ledger.decide(now, organisation(name), limit, is_first);
        let is_waiting = decision == allowance::Decision::Undecided;
        drop(ledger);
        if was_idle || is_waiting {
            self.wake.notify_one();
        }
        decision
    }

    /// Gives the token of a request back that has not run.
    pub fn refund(&self, now: time::Time, name: &id::Organisation) {
        self.lock().refund(now, organisation(name));
    }

    /// Applies the report of another daemon.
    pub fn receive(&self, now: time::Time, report: &allowance::report::Report) {
        self.lock().receive(now, report);
        self.wake.notify_one();
    }

    /// Applies a message about a loan.
    pub fn receive_loan(&self, now: time::Time, loan: &allowance::loan::Loan) {
        self.lock().receive_loan(now, loan);
        self.wake.notify_one();
    }

    /// This daemon's share of an organisation's allowance; `None` if it had no request lately.
    #[must_use]
    pub fn part(&self, name: &id::Organisation) -> Option<f64> {
        self.lock().part(organisation(name))
    }
}

/// Exchanges the messages until the task is dropped.
pub async fn exchange(core: Arc<core::Core>) {
    let Some(allowances) = &core.gateway_allowances else {
        return;
    };
    let mut ticked_at = tokio::time::Instant::now();
    loop {
        if allowances.lock().is_idle() {
            allowances.wake.notified().await;
        } else {
            let tick = ticked_at + TICK_INTERVAL;
            let _woken_early = tokio::time::timeout_at(tick, allowances.wake.notified()).await;
        }
        send_loans(&core, allowances);
        if ticked_at.elapsed() >= TICK_INTERVAL {
            ticked_at = tokio::time::Instant::now();
            tick(&core, allowances);
        }
        tokio::time::sleep(LOAN_DELAY).await;
    }
}

fn send_loans(core: &core::Core, allowances: &Allowances) {
    for (to, loan) in allowances.lock().take_loans() {
        send(core, update::Update::AllowanceLoan(loan), &[to]);
    }
}

fn tick(core: &core::Core, allowances: &Allowances) {
    let mut ledger = allowances.lock();
    if let Some(cluster) = core.cluster() {
        for daemon in ledger.receivers() {
            if cluster.is_terminated(daemon) {
                ledger.remove(daemon);
            }
        }
    }
    let due = ledger.tick(core.now());
    drop(ledger);
    for (receiver, report) in due {
        send(core, update::Update::AllowanceReport(report), &[receiver]);
    }
}

fn send(core: &core::Core, update: update::Update, receivers: &[instance::Instance]) {
    let Some(cluster) = core.cluster() else {
        return;
    };
    let members = receivers.iter();
    let members: Vec<_> = members.filter_map(|d| cluster.member(*d)).collect();
    cluster.broadcast(update, &members);
}

/// Tells the other daemons that this one stops and uses no part any more.
pub fn leave(core: &core::Core) {
    if let Some(allowances) = &core.gateway_allowances {
        let ledger = allowances.lock();
        let (report, receivers) = (ledger.last_report(), ledger.receivers());
        drop(ledger);
        send(core, update::Update::AllowanceReport(report), &receivers);
    }
}
