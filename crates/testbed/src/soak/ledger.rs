//! Record of a soak test, and the check of its guarantees.

use std::collections::BTreeMap;
use std::fmt;
use std::net;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use super::stops;
use super::{fleet, operator, plan};

/// Time after the last fault before time limits apply again, as the users define it.
pub const STABILITY_TIME: Duration = Duration::from_secs(3);

/// Maximum number of violations recorded with details; later ones are only counted.
const MAX_RECORDED_VIOLATIONS: usize = 50;

/// A guarantee of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Guarantee {
    /// An unrepeatable request is executed at most once.
    Once,
    /// A request reported as not run was not executed.
    NotRun,
    /// A successful response belongs to its request and is complete.
    Whole,
    /// A planned stop aborts no request that a server is executing.
    Graceful,
    /// A leaving server receives no new work soon after it starts draining.
    Leaving,
    /// A configuration change is in force within its time limit.
    InForce,
    /// A configuration never reverts to an older version.
    Forward,
    /// No process exits unexpectedly.
    Runs,
    /// Requests are served again after the last fault.
    Recovers,
    /// A request without the key of an organisation is not executed, and no server receives a key.
    Keys,
    /// All daemons together keep to the allowance of an organisation.
    Allowance,
}

/// A violated guarantee.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The guarantee.
    pub guarantee: Guarantee,
    /// Time since the start of the soak test.
    pub at: Duration,
    /// Description of the observation.
    pub detail: String,
}

/// Result of a soak test.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Requests sent by callers.
    pub requests: usize,
    /// Requests with a successful response.
    pub answered: usize,
    /// Requests reported as not run.
    pub rejected: usize,
    /// Requests whose connection closed without a complete response.
    pub aborted: usize,
    /// Number of faults and planned operations by kind.
    pub disturbances: BTreeMap<String, u32>,
    /// Total number of violations.
    pub violation_count: u64,
    /// The first violations, with details.
    pub violations: Vec<Violation>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let disturbances = self.disturbances.iter();
        let disturbances: Vec<_> = disturbances
            .map(|(kind, n)| format!("{kind} {n}"))
            .collect();
        writeln!(f, "troubles: {}", disturbances.join(", "))?;
        for violation in &self.violations {
            let at = violation.at.as_secs_f64();
            writeln!(
                f,
                "broken: {} at {at:.2} s: {}",
                violation.guarantee, violation.detail
            )?;
        }
        write!(
            f,
            "requests={} answered={} refused={} cut={} broken={}",
            self.requests, self.answered, self.rejected, self.aborted, self.violation_count
        )
    }
}

/// Outcome of a request for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A response with this status, and whether it is complete and belongs to the request.
    Answered(u16, bool),
    /// The connection closed without a complete response.
    Aborted,
}

/// A completed request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Id in the request header.
    pub id: String,
    /// Whether it may be executed more than once.
    pub repeatable: bool,
    /// Key of the caller.
    pub key: &'static str,
    /// Address and run number of the daemon that it was sent to.
    pub daemon: (net::IpAddr, u32),
    /// When it was sent.
    pub sent_at: Instant,
    /// When the response or the failure was received.
    pub completed_at: Instant,
    /// Outcome for the caller.
    pub outcome: Outcome,
}

/// A planned stop.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    /// Address and run number of the stopped daemon.
    pub daemon: (net::IpAddr, u32),
    /// When the stop was signalled.
    pub started_at: Instant,
    /// When the process had exited.
    pub completed_at: Instant,
    /// Whether no fault was active during the stop or shortly before it.
    pub undisturbed: bool,
}

#[derive(Debug, Default)]
struct Records {
    requests: Vec<Request>,
    stop_requests: Vec<stops::Request>,
    stops: Vec<Stop>,
    disturbances: BTreeMap<String, u32>,
    active_faults: u32,
    last_fault_ended_at: Option<Instant>,
    violations: Vec<Violation>,
    violation_count: u64,
}

/// The record of a soak test, shared by all its tasks.
#[derive(Debug)]
pub struct Ledger {
    started_at: Instant,
    next_request_number: AtomicU64,
    records: Mutex<Records>,
}

impl Default for Ledger {
    fn default() -> Self {
        Self {
            started_at: Instant::now(),
            next_request_number: AtomicU64::new(0),
            records: Mutex::default(),
        }
    }
}

impl Ledger {
    fn records(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a new unique request id.
    pub fn next_id(&self) -> String {
        let number = self.next_request_number.fetch_add(1, Ordering::SeqCst);
        format!("{number:016x}")
    }

    /// Records a completed request.
    pub fn record_request(&self, request: Request) {
        self.records().requests.push(request);
    }

    /// Records a completed request of the mix around planned stops.
    pub fn record_stop_request(&self, request: stops::Request) {
        self.records().stop_requests.push(request);
    }

    /// The requests of the mix around planned stops, and the stops.
    pub fn stop_records(&self) -> (Vec<stops::Request>, Vec<Stop>) {
        let records = self.records();
        (records.stop_requests.clone(), records.stops.clone())
    }

    /// Records a planned stop.
    pub fn record_stop(&self, stop: Stop) {
        self.records().stops.push(stop);
    }

    /// Records the start of a fault or a planned operation.
    pub fn record_disturbance_start(&self, kind: plan::Kind) {
        let at = self.started_at.elapsed().as_secs_f64();
        println!("soak: {at:.2} s {kind}");
        let mut records = self.records();
        *records.disturbances.entry(kind.to_string()).or_default() += 1;
        records.active_faults += u32::from(!kind.is_planned());
    }

    /// Records the end of a fault or a planned operation.
    pub fn record_disturbance_end(&self, kind: plan::Kind) {
        if !kind.is_planned() {
            let mut records = self.records();
            records.active_faults -= 1;
            records.last_fault_ended_at = Some(Instant::now());
        }
    }

    /// Whether no fault has been active since [`STABILITY_TIME`] before `moment`.
    pub fn is_undisturbed_since(&self, moment: Instant) -> bool {
        let records = self.records();
        let is_stable = records
            .last_fault_ended_at
            .is_none_or(|ended_at| ended_at + STABILITY_TIME <= moment);
        records.active_faults == 0 && is_stable
    }

    /// Records a violated guarantee.
    pub fn record_violation(&self, guarantee: Guarantee, detail: String) {
        let violation = Violation {
            guarantee,
            at: self.started_at.elapsed(),
            detail,
        };
        println!("soak: broken: {guarantee}: {}", violation.detail);
        let mut records = self.records();
        records.violation_count += 1;
        if records.violations.len() < MAX_RECORDED_VIOLATIONS {
            records.violations.push(violation);
        }
    }
}

/// Statuses with which a daemon reports that the request was not run.
pub const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Checks the recorded outcomes of requests against the executions that servers counted, and
/// returns the report.
pub fn audit(fleet: &fleet::Fleet) -> Report {
    let ledger = &fleet.ledger;
    let mut executions_by_id = BTreeMap::<String, u32>::new();
    for (id, count) in fleet.workers().iter().flat_map(|w| w.executions()) {
        *executions_by_id.entry(id).or_default() += count;
    }
    let (requests, stops) = {
        let records = ledger.records();
        (records.requests.clone(), records.stops.clone())
    };
    let mut report = Report::default();
    for request in &requests {
        let executions = executions_by_id
            .get(&request.id)
            .copied()
            .unwrap_or_default();
        report.requests += 1;
        match request.outcome {
            Outcome::Answered(status, _) if status < 300 => report.answered += 1,
            Outcome::Answered(status, _) => {
                report.rejected += usize::from(NOT_RUN_STATUSES.contains(&status));
            }
            Outcome::Aborted => report.aborted += 1,
        }
        check_request(ledger, request, executions, &stops);
    }
    check_keys(fleet);
    check_allowances(ledger, &requests, &executions_by_id);
    let records = ledger.records();
    report.disturbances.clone_from(&records.disturbances);
    report.violation_count = records.violation_count;
    report.violations.clone_from(&records.violations);
    report
}

/// Checks that no server received a key.
fn check_keys(fleet: &fleet::Fleet) {
    for worker in fleet.workers() {
        let has_key = |head: &String| head.to_ascii_lowercase().contains("x-credential");
        if let Some(head) = worker.heads().iter().find(|head| has_key(head)) {
            let detail = format!("server {} received a key: {head}", worker.id());
            fleet.ledger.record_violation(Guarantee::Keys, detail);
        }
    }
}

/// Length of the windows over which an allowance is counted, as the users define it.
const ALLOWANCE_WINDOW: Duration = Duration::from_secs(5);

/// Checks that no window has more requests that were sent and executed in it, than an organisation's
/// allowance with the users' tolerance permits. A request that completed in a window was executed in
/// it.
fn check_allowances(ledger: &Ledger, requests: &[Request], executions: &BTreeMap<String, u32>) {
    for organisation in operator::ORGANISATIONS {
        let Some(rate) = organisation.rate else {
            continue;
        };
        let within = rate * ALLOWANCE_WINDOW.as_secs_f64() + organisation.burst;
        let allowed = within * 1.1 + 20.0;
        let own = requests.iter().filter(|r| r.key == organisation.key);
        let executed = own.filter(|r| executions.contains_key(&r.id));
        let mut spans: Vec<_> = executed
            .map(|r| (r.sent_at, r.completed_at, r.daemon))
            .collect();
        spans.sort_unstable();
        let in_window = |start: Instant| {
            let end = start + ALLOWANCE_WINDOW;
            let first = spans.partition_point(|(sent_at, ..)| *sent_at < start);
            let sent = spans[first..].iter().take_while(|(at, ..)| *at <= end);
            let executed = sent.filter(|(_, completed_at, _)| *completed_at <= end);
            let mut by_daemon = BTreeMap::<_, usize>::new();
            for (.., daemon) in executed {
                *by_daemon.entry(*daemon).or_default() += 1;
            }
            by_daemon
        };
        let windows = spans.iter().map(|(at, ..)| (*at, in_window(*at)));
        let largest = windows.max_by_key(|(_, by_daemon)| by_daemon.values().sum::<usize>());
        let Some((start, by_daemon)) = largest else {
            continue;
        };
        let count: usize = by_daemon.values().sum();
        if count as f64 > allowed {
            let name = organisation.name;
            let start = start.duration_since(ledger.started_at).as_secs_f64();
            let detail = format!(
                "{count} requests of {name} in the window from {start:.2} s, {allowed:.0} are allowed; by daemon and run: {by_daemon:?}"
            );
            ledger.record_violation(Guarantee::Allowance, detail);
        }
    }
}

fn check_request(ledger: &Ledger, request: &Request, executions: u32, stops: &[Stop]) {
    let Request { id, daemon, .. } = request;
    let (ip, run_number) = daemon;
    if request.key == operator::UNKNOWN_KEY && executions > 0 {
        let detail = format!("request {id} to {ip} run {run_number} was executed without a key");
        ledger.record_violation(Guarantee::Keys, detail);
    }
    if !request.repeatable && executions > 1 {
        let detail =
            format!("request {id} to {ip} run {run_number} was executed {executions} times");
        ledger.record_violation(Guarantee::Once, detail);
    }
    match request.outcome {
        Outcome::Answered(status, _)
            if NOT_RUN_STATUSES.contains(&status) && !request.repeatable && executions > 0 =>
        {
            let detail = format!(
                "request {id} was executed {executions} times, but {ip} run {run_number} reported it as not run with status {status}"
            );
            ledger.record_violation(Guarantee::NotRun, detail);
        }
        Outcome::Answered(status, false) if status < 300 => {
            let detail = format!(
                "request {id} received an incomplete response or that to another request from {ip} run {run_number}"
            );
            ledger.record_violation(Guarantee::Whole, detail);
        }
        Outcome::Aborted => {
            let interrupted = |stop: &&Stop| {
                let is_within = stop.started_at <= request.completed_at
                    && request.completed_at <= stop.completed_at;
                stop.undisturbed && stop.daemon == *daemon && is_within
            };
            if executions > 0 && stops.iter().any(|stop| interrupted(&stop)) {
                let detail = format!(
                    "request {id} was aborted during the planned stop of {ip} run {run_number}"
                );
                ledger.record_violation(Guarantee::Graceful, detail);
            }
        }
        Outcome::Answered(..) => {}
    }
}
