//! Tells crashes of servers from answers that are lost.
//!
//! A crash breaks the connections of all attempts at its server, and the server responds on no further ones. A
//! lost answer breaks one connection; the server goes on responding on others. So a server is probed after
//! an attempt broke its connection, and is taken for crashed only if it does not respond, and if the path
//! to other servers is there.
//!
//! A crash ends a run of its server, and the next run may respond within moments. So a later run shows that
//! the one before it has ended, whatever probes have shown, and so does the removal of a silent server.

use std::time::Duration;

use monsooncart_types::{map, time};

use super::{Selector, in_flight};
use crate::{action, handle, inventory, path, poison};

/// Time after which a broken connection that could not be attributed is forgotten.
const RETENTION: Duration = Duration::from_secs(10);

/// Time until a daemon knows that a server which keeps its name runs again.
const NOTICE_TIME: Duration = Duration::from_secs(2);

/// Time for which a request whose connection broke is a suspect before the cause is known.
const DOUBT_TIME: Duration = Duration::from_secs(5);

/// Time after a crash within which an attempt may find a connection that was opened before.
const CLOSING_TIME: Duration = Duration::from_millis(50);

/// Minimum interval between probes of one server.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of requests that are held of one server.
const MAX_REQUESTS: usize = 256;

/// A request whose connection to a server broke.
#[derive(Clone, Copy, Debug)]
struct Broken {
    fingerprint: handle::Fingerprint,
    sent_at: time::Time,
    /// When the connection broke.
    at: time::Time,
}

impl Broken {
    /// An attempt that has just ended; `None` if its request has no fingerprint.
    fn new(now: time::Time, in_flight: &in_flight::Attempt) -> Option<Self> {
        Some(Self {
            fingerprint: in_flight.fingerprint?,
            sent_at: in_flight.sent_at,
            at: now,
        })
    }

    /// Time from which a probe decides whether the server crashed: a loss of the path may have broken the
    /// connection, and ended the probes of that time.
    fn decided_from(&self, path: &path::Path) -> time::Time {
        path.regained_after(self.sent_at).unwrap_or(self.at)
    }
}

/// A run of a server that may have ended by a crash.
#[derive(Clone, Debug, Default)]
struct Suspicion {
    /// Its broken attempts, the latest one last.
    broken: Vec<Broken>,
    /// Attempts whose end stayed unexplained; the end of the run explains them yet.
    unexplained: Vec<Broken>,
    /// Attempts since whose end the server responded, and when; a run that isn't known yet may have done so.
    responded: Vec<(time::Time, Broken)>,
    probed_at: Option<time::Time>,
    /// Start of the latest probe to which the server did not respond, if it has not done so
    /// since.
    silent_at: Option<time::Time>,
    /// When the server crashed, if it has not responded since.
    crashed_at: Option<time::Time>,
    /// When the run ended by a crash.
    ended_at: Option<time::Time>,
}

impl Suspicion {
    fn expire(&mut self, now: time::Time) {
        let is_old = |b: &mut Broken| now.since(b.at) >= DOUBT_TIME;
        let old: Vec<_> = self.broken.extract_if(.., is_old).collect();
        self.unexplained.extend(old);
        self.unexplained.retain(|b| now.since(b.at) < RETENTION);
        self.responded
            .retain(|(at, _)| now.since(*at) < NOTICE_TIME);
        let is_recent = |at: &time::Time| now.since(*at) < RETENTION;
        self.silent_at = self.silent_at.filter(is_recent);
        self.crashed_at = self.crashed_at.filter(is_recent);
        self.ended_at = self.ended_at.filter(is_recent);
    }

    /// Whether a probe is due: none was sent since a connection broke, or since the path was there again.
    fn needs_probe(&self, now: time::Time, path: &path::Path) -> bool {
        let is_unprobed = |b: &Broken| self.probed_at.is_none_or(|at| at < b.decided_from(path));
        let is_due = |at: time::Time| now.since(at) >= PROBE_INTERVAL;
        self.broken.iter().any(is_unprobed) && self.probed_at.is_none_or(is_due)
    }
}

/// Runs of servers that may have ended by a crash.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspicions(map::Map<handle::Run, Suspicion>);

impl Suspicions {
    /// Whether a request may have crashed a server.
    pub(super) fn contains(&self, fingerprint: handle::Fingerprint) -> bool {
        let mut broken = self.0.values().flat_map(|s| &s.broken);
        broken.any(|b| b.fingerprint == fingerprint)
    }

    /// The run that an attempt was sent to, or a later one that isn't known yet if that had crashed before.
    fn run_of(&self, in_flight: &in_flight::Attempt) -> handle::Run {
        let mut run = in_flight.run();
        let ended_before = |run: &handle::Run| {
            let ended_at = self.0.get(run).and_then(|suspicion| suspicion.ended_at);
            ended_at.is_some_and(|at| in_flight.sent_at > at + CLOSING_TIME)
        };
        while run.started_millis != 0 && ended_before(&run) {
            run.started_millis += 1;
        }
        run
    }

    /// Whether a server did not respond to a probe lately.
    pub(super) fn is_silent(&self, server: handle::Server) -> bool {
        let mut runs = self.0.iter().filter(|(run, _)| run.server == server);
        runs.any(|(_, suspicion)| suspicion.silent_at.is_some())
    }

    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    fn record(&mut self, run: handle::Run, broken: Broken) {
        let suspicion = self.0.entry(run).or_default();
        suspicion.expire(broken.at);
        if suspicion.broken.len() >= MAX_REQUESTS {
            suspicion.broken.remove(0);
        }
        suspicion.broken.push(broken);
    }

    /// Returns the servers to probe now, and starts their next interval.
    fn take_due(&mut self, now: time::Time, path: &path::Path) -> Vec<handle::Server> {
        let due = self.0.iter_mut().filter(|(_, s)| s.needs_probe(now, path));
        let mut servers = Vec::new();
        for (run, suspicion) in due {
            suspicion.probed_at = Some(now);
            servers.push(run.server);
        }
        servers.sort_unstable();
        servers.dedup();
        servers
    }

    /// Records that a server was there at a time, so that it did not crash before.
    fn record_alive(&mut self, server: handle::Server, at: time::Time) {
        let runs = self.0.iter_mut().filter(|(run, _)| run.server == server);
        for (_, suspicion) in runs {
            let earlier = |b: &mut Broken| b.at <= at;
            let broken = suspicion.broken.extract_if(.., earlier);
            let broken = broken.chain(suspicion.unexplained.extract_if(.., earlier));
            suspicion.responded.extend(broken.map(|b| (at, b)));
            suspicion.silent_at = suspicion.silent_at.filter(|silent_at| *silent_at > at);
            suspicion.crashed_at = suspicion.crashed_at.filter(|crashed_at| *crashed_at > at);
        }
    }

    /// Removes and returns the requests at whose failure a server crashed, as far as the path was there
    /// since.
    fn take_crashed(&mut self, path: &path::Path) -> Vec<(handle::Run, Broken)> {
        let mut crashed = Vec::new();
        for (run, suspicion) in &mut self.0 {
            let silent_at = suspicion.silent_at;
            let is_crash = |b: &mut Broken| {
                let is_silent = silent_at.is_some_and(|at| at >= b.decided_from(path));
                is_silent && path.is_proven_since(b.at)
            };
            let broken: Vec<_> = suspicion.broken.extract_if(.., is_crash).collect();
            let Some(first) = broken.iter().map(|b| b.at).min() else {
                continue;
            };
            // What was sent to a server after it had crashed did not crash it.
            let crashed_at = *suspicion.crashed_at.get_or_insert(first);
            suspicion.ended_at.get_or_insert(crashed_at);
            let broken = broken.into_iter().filter(|b| b.sent_at <= crashed_at);
            crashed.extend(broken.map(|b| (*run, b)));
        }
        crashed.sort_unstable_by_key(|(run, b)| (*run, b.at, b.fingerprint));
        crashed
    }

    /// Removes and returns the requests of runs that have ended, as their servers run again or were
    /// removed while they did not respond.
    fn take_ended(&mut self, servers: &[inventory::Server]) -> Vec<(handle::Run, Broken)> {
        let has_ended = |run: &handle::Run, suspicion: &mut Suspicion| {
            let current = servers.iter().find(|s| s.handle == run.server);
            if current.is_none() {
                suspicion.responded.clear();
            }
            current.map_or(suspicion.silent_at.is_some(), |current| {
                current.started_millis > run.started_millis
            })
        };
        let mut ended = Vec::new();
        for (run, suspicion) in self.0.extract_if(has_ended) {
            let broken = suspicion.broken.iter().chain(&suspicion.unexplained);
            let responded = suspicion.responded.iter().map(|(_, broken)| broken);
            let broken = broken.chain(responded);
            let first = broken.clone().map(|b| b.at).min();
            let crashed_at = suspicion.crashed_at.or(first);
            let broken = broken.filter(|b| crashed_at.is_some_and(|at| b.sent_at <= at));
            ended.extend(broken.map(|b| (run, *b)));
        }
        ended.sort_unstable_by_key(|(run, b)| (*run, b.at, b.fingerprint));
        ended
    }
}

impl Selector {
    /// Records an attempt whose connection broke, by which its server may have crashed.
    pub(super) fn suspect_crash(
        &mut self,
        now: time::Time,
        in_flight: &in_flight::Attempt,
        actions: &mut Vec<action::Action>,
    ) {
        if let Some(broken) = Broken::new(now, in_flight) {
            let run = self.crashes.run_of(in_flight);
            self.crashes.record(run, broken);
            self.record_grave_break(in_flight, broken, actions);
            self.probe_crashes(now, actions);
        }
    }

    /// Records an attempt of a grave suspect whose connection broke: whether its server crashed is known too
    /// late to keep the request from the next ones.
    fn record_grave_break(
        &mut self,
        in_flight: &in_flight::Attempt,
        broken: Broken,
        actions: &mut Vec<action::Action>,
    ) {
        if self.poison.is_grave(broken.fingerprint) {
            let run = self.poison.next_run(broken.fingerprint, in_flight.run());
            self.record_crash(run, broken, actions);
        }
    }

    /// Records an attempt whose connection broke as its server was restarted.
    pub(super) fn record_restart(
        &mut self,
        now: time::Time,
        in_flight: &in_flight::Attempt,
        actions: &mut Vec<action::Action>,
    ) {
        if let Some(broken) = Broken::new(now, in_flight) {
            self.record_crash(in_flight.run(), broken, actions);
        }
    }

    /// Attributes crashes to the requests that were in flight at runs of which a new inventory shows that
    /// they have ended.
    pub(super) fn attribute_ended_runs(
        &mut self,
        servers: &[inventory::Server],
        actions: &mut Vec<action::Action>,
    ) {
        if self.crashes.is_empty() {
            return;
        }
        self.poison.set_answer_time(self.typical_latency());
        for (run, broken) in self.crashes.take_ended(servers) {
            self.record_crash(run, broken, actions);
        }
    }

    /// Probes the servers whose attempts broke, as far as that is due.
    pub(super) fn probe_crashes(&mut self, now: time::Time, actions: &mut Vec<action::Action>) {
        let due = self.crashes.take_due(now, &self.path);
        actions.extend(due.into_iter().map(action::Action::ProbeCrash));
    }

    /// Discards what has waited for too long.
    pub(super) fn expire_crashes(&mut self, now: time::Time) {
        self.crashes.0.retain(|_, suspicion| {
            suspicion.expire(now);
            let is_open = !suspicion.broken.is_empty() || !suspicion.unexplained.is_empty();
            let is_silent = suspicion.silent_at.is_some() || suspicion.ended_at.is_some();
            is_open || is_silent || !suspicion.responded.is_empty()
        });
    }

    /// Records an answer to an attempt that was sent at a time, when its server was there.
    pub(super) fn record_alive(&mut self, server: handle::Server, sent_at: time::Time) {
        self.crashes.record_alive(server, sent_at);
    }

    /// Records whether a server responded to a probe.
    pub(super) fn record_crash_probe(
        &mut self,
        now: time::Time,
        server: handle::Server,
        sent_at: time::Time,
        responded: bool,
        actions: &mut Vec<action::Action>,
    ) {
        if responded {
            self.crashes.record_alive(server, sent_at);
            return;
        }
        let runs = &mut self.crashes.0;
        let runs = runs.iter_mut().filter(|(run, _)| run.server == server);
        let mut is_unproven = false;
        for (_, suspicion) in runs {
            suspicion.silent_at = Some(sent_at);
            let mut broken = suspicion.broken.iter();
            is_unproven |= broken.any(|b| !self.path.is_proven_since(b.at));
        }
        if is_unproven && !self.path.is_lost() {
            self.probe_others(server, actions);
        }
        self.attribute_crashes(now, actions);
    }

    /// Attributes crashes to the requests that were in flight, as far as the path is known to have been
    /// there.
    pub(super) fn attribute_crashes(&mut self, now: time::Time, actions: &mut Vec<action::Action>) {
        let crashed = self.crashes.take_crashed(&self.path);
        self.poison.set_answer_time(self.typical_latency());
        for (run, broken) in &crashed {
            self.record_crash(*run, *broken, actions);
        }
        for (_, broken) in crashed {
            if let Some(conviction) = self.poison.convict_at_once(now, broken.fingerprint) {
                Self::quarantine_poison(broken.fingerprint, &conviction, actions);
            }
        }
    }

    /// Records that a crash broke an attempt, and reports it if it counts against its request.
    fn record_crash(
        &mut self,
        run: handle::Run,
        broken: Broken,
        actions: &mut Vec<action::Action>,
    ) {
        let fingerprint = broken.fingerprint;
        let crash = poison::Crash::new(run, broken.at);
        if self.poison.record_crash(fingerprint, crash) {
            actions.push(action::Action::ReportCrash { fingerprint, run });
        }
    }

    /// Records a crash that another daemon reported, which judged that it counts.
    pub(super) fn record_crash_report(
        &mut self,
        now: time::Time,
        fingerprint: handle::Fingerprint,
        run: handle::Run,
    ) {
        let crash = poison::Crash::new(run, now);
        self.poison.record_crash(fingerprint, crash);
    }

    /// Quarantines a request that has arrived if it was a suspect of enough crashes. By then the reports of
    /// other daemons about these are known.
    pub(super) fn judge_suspect(
        &mut self,
        now: time::Time,
        fingerprint: handle::Fingerprint,
        actions: &mut Vec<action::Action>,
    ) {
        if let Some(conviction) = self.poison.convict(now, fingerprint) {
            Self::quarantine_poison(fingerprint, &conviction, actions);
        }
    }

    /// Records an answer to a request, and reports it to the fleet if the request was a suspect.
    pub(super) fn record_poison_answer(
        &mut self,
        now: time::Time,
        fingerprint: handle::Fingerprint,
        sent_at: time::Time,
        status: u16,
        actions: &mut Vec<action::Action>,
    ) {
        // A server that fails may not have begun to run the request.
        if status < super::evidence::MIN_FAILURE_STATUS
            && self.poison.record_answer(now, fingerprint, sent_at)
        {
            actions.push(action::Action::ReportAcquittal(fingerprint));
        }
    }

    fn quarantine_poison(
        fingerprint: handle::Fingerprint,
        conviction: &poison::Conviction,
        actions: &mut Vec<action::Action>,
    ) {
        actions.push(action::Action::Quarantine {
            fingerprint,
            duration: conviction.duration,
        });
    }
}
