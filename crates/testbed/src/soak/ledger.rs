//! What was seen, and which promises it breaks.

use std::collections::BTreeMap;
use std::fmt;
use std::net;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use super::{fleet, plan};

/// Time without unplanned trouble after which bounds in time hold; the users' time of stability.
pub const STABILITY: Duration = Duration::from_secs(3);

/// Broken promises that are kept; later ones are only counted.
const KEPT: usize = 50;

/// A promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Promise {
    /// Unrepeatable work runs once at most.
    Once,
    /// Work that is said to be not run was not run.
    NotRun,
    /// A good answer is the request's own, and whole.
    Whole,
    /// A planned stop cuts no request that a server works on.
    Graceful,
    /// A server that leaves gets no work after a while.
    Leaving,
    /// A change is in force within its bound.
    InForce,
    /// A configuration never goes back.
    Forward,
    /// No process ends by itself.
    Runs,
    /// Service is back after the last trouble.
    Recovers,
}

/// A broken promise.
#[derive(Clone, Debug)]
pub struct Broken {
    /// Which.
    pub promise: Promise,
    /// When, since the start.
    pub at: Duration,
    /// What was seen.
    pub detail: String,
}

/// What a soak came to.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Requests of callers.
    pub requests: usize,
    /// Those that a server answered well.
    pub answered: usize,
    /// Those that the fleet said were not run.
    pub refused: usize,
    /// Those whose connection ended without an answer.
    pub cut: usize,
    /// Troubles and planned work by kind.
    pub troubles: BTreeMap<String, u32>,
    /// Broken promises in all.
    pub count: u64,
    /// The first of them.
    pub broken: Vec<Broken>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let troubles = self.troubles.iter();
        let troubles: Vec<_> = troubles.map(|(kind, n)| format!("{kind} {n}")).collect();
        writeln!(f, "troubles: {}", troubles.join(", "))?;
        for broken in &self.broken {
            let at = broken.at.as_secs_f64();
            writeln!(
                f,
                "broken: {} at {at:.2} s: {}",
                broken.promise, broken.detail
            )?;
        }
        write!(
            f,
            "requests={} answered={} refused={} cut={} broken={}",
            self.requests, self.answered, self.refused, self.cut, self.count
        )
    }
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// With an answer of this status, which is its own and whole or not.
    Answered(u16, bool),
    /// Its connection ended without a whole answer.
    Cut,
}

/// A request.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Its id.
    pub id: String,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// The daemon, and the run of it, that it was sent to.
    pub daemon: (net::IpAddr, u32),
    /// When it ended.
    pub ended: Instant,
    /// How.
    pub end: End,
}

/// A planned stop.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    /// The daemon, and the run of it that was stopped.
    pub daemon: (net::IpAddr, u32),
    /// When it was told to.
    pub from: Instant,
    /// When it had ended.
    pub to: Instant,
    /// Whether nothing unplanned was about.
    pub calm: bool,
}

#[derive(Debug, Default)]
struct Book {
    entries: Vec<Entry>,
    stops: Vec<Stop>,
    troubles: BTreeMap<String, u32>,
    /// Unplanned troubles that are on.
    active: u32,
    /// When the last one ended.
    ended: Option<Instant>,
    broken: Vec<Broken>,
    count: u64,
}

/// The record of a soak.
#[derive(Debug)]
pub struct Ledger {
    start: Instant,
    numbers: AtomicU64,
    book: Mutex<Book>,
}

impl Default for Ledger {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            numbers: AtomicU64::new(0),
            book: Mutex::default(),
        }
    }
}

impl Ledger {
    fn book(&self) -> MutexGuard<'_, Book> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// An id that no request had.
    pub fn next(&self) -> String {
        let number = self.numbers.fetch_add(1, Ordering::SeqCst);
        format!("{number:016x}")
    }

    /// Records a request's end.
    pub fn ended(&self, entry: Entry) {
        self.book().entries.push(entry);
    }

    /// Records a planned stop.
    pub fn stopped(&self, stop: Stop) {
        self.book().stops.push(stop);
    }

    /// Records that a trouble begins.
    pub fn begins(&self, kind: plan::Kind) {
        let at = self.start.elapsed().as_secs_f64();
        println!("soak: {at:.2} s {kind}");
        let mut book = self.book();
        *book.troubles.entry(kind.to_string()).or_default() += 1;
        book.active += u32::from(!kind.is_planned());
    }

    /// Records that it has ended.
    pub fn ends(&self, kind: plan::Kind) {
        if !kind.is_planned() {
            let mut book = self.book();
            book.active -= 1;
            book.ended = Some(Instant::now());
        }
    }

    /// Whether nothing unplanned has been on since [`STABILITY`] before a moment.
    pub fn is_calm_since(&self, moment: Instant) -> bool {
        let book = self.book();
        let quiet = book.ended.is_none_or(|ended| ended + STABILITY <= moment);
        book.active == 0 && quiet
    }

    /// Records a broken promise.
    pub fn broke(&self, promise: Promise, detail: String) {
        let broken = Broken {
            promise,
            at: self.start.elapsed(),
            detail,
        };
        println!("soak: broken: {promise}: {}", broken.detail);
        let mut book = self.book();
        book.count += 1;
        if book.broken.len() < KEPT {
            book.broken.push(broken);
        }
    }
}

/// Statuses that say that the request was not run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Compares what callers and servers saw.
pub fn audit(fleet: &fleet::Fleet) -> Report {
    let ledger = &fleet.ledger;
    let mut runs = BTreeMap::<String, u32>::new();
    for (id, count) in fleet.workers().iter().flat_map(|w| w.runs()) {
        *runs.entry(id).or_default() += count;
    }
    let (entries, stops) = {
        let book = ledger.book();
        (book.entries.clone(), book.stops.clone())
    };
    let mut report = Report::default();
    for entry in &entries {
        let ran = runs.get(&entry.id).copied().unwrap_or_default();
        report.requests += 1;
        match entry.end {
            End::Answered(status, _) if status < 300 => report.answered += 1,
            End::Answered(status, _) => report.refused += usize::from(NOT_RUN.contains(&status)),
            End::Cut => report.cut += 1,
        }
        judge(ledger, entry, ran, &stops);
    }
    let book = ledger.book();
    report.troubles.clone_from(&book.troubles);
    report.count = book.count;
    report.broken.clone_from(&book.broken);
    report
}

fn judge(ledger: &Ledger, entry: &Entry, ran: u32, stops: &[Stop]) {
    let Entry { id, daemon, .. } = entry;
    let (ip, run) = daemon;
    if !entry.repeatable && ran > 1 {
        let detail = format!("request {id} ran {ran} times, sent to {ip} run {run}");
        ledger.broke(Promise::Once, detail);
    }
    match entry.end {
        End::Answered(status, _) if NOT_RUN.contains(&status) && !entry.repeatable && ran > 0 => {
            let detail = format!("request {id} ran {ran} times, answer {status} of {ip} run {run}");
            ledger.broke(Promise::NotRun, detail);
        }
        End::Answered(status, false) if status < 300 => {
            let detail = format!("request {id} got another answer from {ip} run {run}");
            ledger.broke(Promise::Whole, detail);
        }
        End::Cut => {
            let during = |stop: &&Stop| {
                let within = stop.from <= entry.ended && entry.ended <= stop.to;
                stop.calm && stop.daemon == *daemon && within
            };
            if ran > 0 && stops.iter().any(|stop| during(&stop)) {
                let detail = format!("request {id} was cut as {ip} run {run} stopped");
                ledger.broke(Promise::Graceful, detail);
            }
        }
        End::Answered(..) => {}
    }
}
