//! Daemons that exchange reports over a network with delays, losses and partitions.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use monsooncart_policy::allowance::{
    Decision, Holder, Ledger, Limit, Organisation, Tolerance, loan, report,
};
use monsooncart_types::{instance, time};
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};

/// Interval of the ticks of a daemon.
pub const TICK: Duration = Duration::from_millis(150);

/// Step of the simulation.
pub const STEP: Duration = Duration::from_millis(10);

/// Delay of a report.
const DELAY: Duration = Duration::from_millis(20);

/// Length of the windows in which admitted requests are bounded.
const WINDOW: Duration = Duration::from_secs(5);

/// By how much the daemons may exceed an allowance in a window.
const TOLERANCE: Tolerance = Tolerance {
    share: 0.1,
    requests: 20.0,
    window: WINDOW,
};

/// A daemon of a VM.
struct Daemon {
    ledger: Ledger,
    instance: instance::Instance,
    /// Whether it runs.
    is_running: bool,
    /// Reports that arrive while its process is paused.
    is_paused: bool,
}

/// A report on its way.
struct Message {
    due_at: time::Time,
    to: instance::Instance,
    content: Content,
}

/// Content of a message.
#[derive(Clone)]
enum Content {
    Report(report::Report),
    Loan(loan::Loan),
}

/// A request that waits for a decision.
struct Waiting {
    vm: usize,
    organisation: Organisation,
    limit: Limit,
    arrived_at: time::Time,
    next_at: time::Time,
}

/// Time between two decisions about a request, and time after which it is refused.
const RETRY_INTERVAL: Duration = Duration::from_millis(30);
const MAX_UNDECIDED: Duration = Duration::from_millis(300);

/// What became of the requests of an organisation.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub admitted: u32,
    pub refused: u32,
}

/// A fleet of daemons that are all in the entry sets.
pub struct Fleet {
    pub now: time::Time,
    pub rng: SmallRng,
    daemons: Vec<Daemon>,
    messages: VecDeque<Message>,
    waiting: Vec<Waiting>,
    /// Pairs of VMs whose reports are lost, in this direction.
    pub cuts: BTreeSet<(usize, usize)>,
    /// Of a hundred reports, this many are lost.
    pub lost_percent: u32,
    next_instance: u64,
    admissions: BTreeMap<Organisation, Vec<time::Time>>,
    pub counts: BTreeMap<Organisation, Counts>,
    /// Reports sent, and the weights in them.
    pub reports: u64,
    pub claims: u64,
}

impl Fleet {
    pub fn new(daemons: usize, seed: u64) -> Self {
        let mut fleet = Self {
            now: time::Time::from_millis(60_000),
            rng: SmallRng::seed_from_u64(seed),
            daemons: Vec::new(),
            messages: VecDeque::new(),
            waiting: Vec::new(),
            cuts: BTreeSet::new(),
            lost_percent: 0,
            next_instance: 1,
            admissions: BTreeMap::new(),
            counts: BTreeMap::new(),
            reports: 0,
            claims: 0,
        };
        for vm in 0..daemons {
            let daemon = fleet.new_daemon(vm);
            fleet.daemons.push(daemon);
        }
        fleet.announce_holders();
        fleet
    }

    fn new_daemon(&mut self, vm: usize) -> Daemon {
        let instance = instance::Instance(self.next_instance);
        self.next_instance += 1;
        Daemon {
            ledger: Ledger::new(self.now, instance, vm as u64, TOLERANCE, true),
            instance,
            is_running: true,
            is_paused: false,
        }
    }

    pub fn len(&self) -> usize {
        self.daemons.len()
    }

    /// Tells all running daemons which ones are in the entry sets.
    pub fn announce_holders(&mut self) {
        let running = self.daemons.iter().filter(|daemon| daemon.is_running);
        let holder = |daemon: &Daemon| Holder {
            daemon: daemon.instance,
            is_local: false,
        };
        let holders: Vec<_> = running.map(holder).collect();
        for daemon in self.daemons.iter_mut().filter(|daemon| daemon.is_running) {
            daemon.ledger.set_holders(self.now, &holders);
        }
    }

    /// Tells a daemon alone that the daemons on these VMs are in the entry sets.
    pub fn announce_to(&mut self, vm: usize, holders: &[usize]) {
        let holder = |vm: &usize| Holder {
            daemon: self.daemons[*vm].instance,
            is_local: true,
        };
        let holders: Vec<_> = holders.iter().map(holder).collect();
        self.daemons[vm].ledger.set_holders(self.now, &holders);
    }

    /// Kills the process on a VM.
    pub fn kill(&mut self, vm: usize) {
        self.daemons[vm].is_running = false;
    }

    /// Stops the process on a VM, which says so.
    pub fn stop(&mut self, vm: usize) {
        let report = self.daemons[vm].ledger.last_report();
        let receivers = self.daemons[vm].ledger.receivers();
        for receiver in receivers {
            self.send_report(vm, receiver, report.clone());
        }
        self.daemons[vm].is_running = false;
    }

    /// Starts a process on a VM.
    pub fn start(&mut self, vm: usize) {
        self.daemons[vm] = self.new_daemon(vm);
    }

    /// Stops or resumes the clock and the work of a process.
    pub fn pause(&mut self, vm: usize, is_paused: bool) {
        self.daemons[vm].is_paused = is_paused;
    }

    /// Cuts two groups of VMs off from each other, or joins them.
    pub fn partition(&mut self, group: &[usize], is_cut: bool) {
        for vm in 0..self.len() {
            for member in group.iter().filter(|_| !group.contains(&vm)) {
                for pair in [(vm, *member), (*member, vm)] {
                    if is_cut {
                        self.cuts.insert(pair);
                    } else {
                        self.cuts.remove(&pair);
                    }
                }
            }
        }
    }

    fn send_report(&mut self, from: usize, to: instance::Instance, report: report::Report) {
        self.reports += 1;
        self.claims += report.claims.len() as u64;
        self.send(from, to, Content::Report(report));
    }

    fn send(&mut self, from: usize, to: instance::Instance, content: Content) {
        let vm = self.daemons.iter().position(|d| d.instance == to);
        let is_cut = vm.is_some_and(|vm| self.cuts.contains(&(from, vm)));
        if is_cut || self.rng.random_range(0..100) < self.lost_percent {
            return;
        }
        let jitter = Duration::from_millis(self.rng.random_range(0..30));
        self.messages.push_back(Message {
            due_at: self.now + DELAY + jitter,
            to,
            content,
        });
    }

    fn deliver(&mut self) {
        let now = self.now;
        let mut left = VecDeque::new();
        while let Some(message) = self.messages.pop_front() {
            let daemon = self.daemons.iter_mut();
            let daemon = daemon
                .filter(|d| d.is_running)
                .find(|d| d.instance == message.to);
            match daemon {
                Some(daemon) if message.due_at <= now && !daemon.is_paused => {
                    match &message.content {
                        Content::Report(report) => daemon.ledger.receive(now, report),
                        Content::Loan(loan) => daemon.ledger.receive_loan(now, loan),
                    }
                }
                Some(_) => left.push_back(message),
                None => {}
            }
        }
        self.messages = left;
    }

    /// Advances the time by a step.
    pub fn step(&mut self) {
        self.now = self.now + STEP;
        self.deliver();
        self.decide_waiting();
        self.send_loans();
        let ticks = TICK.as_millis() / STEP.as_millis();
        let number = u128::from(self.now.0) / STEP.as_nanos();
        for vm in 0..self.len() {
            let daemon = &mut self.daemons[vm];
            let is_due = (number + vm as u128).is_multiple_of(ticks);
            if !is_due || !daemon.is_running || daemon.is_paused {
                continue;
            }
            for (to, report) in daemon.ledger.tick(self.now) {
                self.send_report(vm, to, report);
            }
        }
    }

    fn send_loans(&mut self) {
        for vm in 0..self.len() {
            if self.daemons[vm].is_running && !self.daemons[vm].is_paused {
                for (to, loan) in self.daemons[vm].ledger.take_loans() {
                    self.send(vm, to, Content::Loan(loan));
                }
            }
        }
    }

    fn decide_waiting(&mut self) {
        let now = self.now;
        let due = self
            .waiting
            .extract_if(.., |waiting| waiting.next_at <= now);
        for waiting in due.collect::<Vec<_>>() {
            self.decide(waiting, false);
        }
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    /// Sends a request to a VM, or to the next one that runs.
    pub fn request(&mut self, vm: usize, organisation: Organisation, limit: Limit) {
        let vms = (vm..vm + self.len()).map(|vm| vm % self.daemons.len());
        let mut up = vms.filter(|vm| self.daemons[*vm].is_running && !self.daemons[*vm].is_paused);
        let Some(vm) = up.next() else {
            return;
        };
        let waiting = Waiting {
            vm,
            organisation,
            limit,
            arrived_at: self.now,
            next_at: self.now,
        };
        self.decide(waiting, true);
    }

    /// Decides about a request; one that stays undecided for too long is refused.
    fn decide(&mut self, mut waiting: Waiting, is_first: bool) {
        let organisation = waiting.organisation;
        let daemon = &mut self.daemons[waiting.vm];
        let decision = match daemon.is_running {
            true => daemon
                .ledger
                .decide(self.now, organisation, waiting.limit, is_first),
            false => Decision::Undecided,
        };
        match decision {
            Decision::Admit { after } => {
                self.counts.entry(organisation).or_default().admitted += 1;
                let admissions = self.admissions.entry(organisation).or_default();
                admissions.push(self.now + after);
            }
            Decision::Undecided if self.now.since(waiting.arrived_at) < MAX_UNDECIDED => {
                waiting.next_at = self.now + RETRY_INTERVAL;
                self.waiting.push(waiting);
            }
            Decision::Undecided | Decision::Refuse { .. } => {
                self.counts.entry(organisation).or_default().refused += 1;
            }
        }
    }

    /// The most requests that were admitted in a window.
    pub fn largest_window(&mut self, organisation: Organisation) -> usize {
        let Some(admissions) = self.admissions.get_mut(&organisation) else {
            return 0;
        };
        admissions.sort_unstable();
        let mut first = 0;
        let mut largest = 0;
        for (index, at) in admissions.iter().enumerate() {
            while at.since(admissions[first]) > WINDOW {
                first += 1;
            }
            largest = largest.max(index + 1 - first);
        }
        largest
    }

    /// Sum of the parts of the running daemons.
    pub fn total_part(&self, organisation: Organisation) -> f64 {
        let running = self.daemons.iter().filter(|daemon| daemon.is_running);
        running
            .filter_map(|daemon| daemon.ledger.part(organisation))
            .sum()
    }
}

/// Requests that may be admitted in a window.
pub fn allowed(limit: Limit) -> f64 {
    let owed = limit.rate * WINDOW.as_secs_f64() + limit.burst;
    owed * (1.0 + TOLERANCE.share) + TOLERANCE.requests
}
