//! From an observation to the request for an ejection.

use std::time::Duration;

use monsooncart_types::{instance, time};

use crate::balancer::{Balancer, backend, flight};
use crate::health::{baseline, state};
use crate::{action, event, handle};

/// Weight of a refusal as evidence.
const SHED: f64 = 0.4;

/// Part of the threshold that the peers' suspicions can add.
const SUPPORT: f64 = 0.6;

/// Weight of one peer's full suspicion, as a part of the threshold.
const PEER: f64 = 0.4;

/// Age of an attempt below which it is not looked at.
pub(super) const YOUNG: Duration = Duration::from_millis(15);

/// Evidence of the other servers at which the whole service is in trouble.
const UNWELL: f64 = 3.0;

/// Evidence that one other server can give, in equal parts of what is needed: half of them at least
/// must have done well.
const VOICES: f64 = 2.0;

/// Least that one other server can give, about one good observation.
const VOICE_MIN: f64 = 0.65;

/// Other servers from which the worst is left out, since it may be sick by itself.
const OTHERS: usize = 3;

/// Shortest time between comparisons of the servers' latest observations.
const COMPARE: Duration = Duration::from_millis(50);

/// Share of bad observations of the middle server from which the whole service is in trouble, and
/// nothing counts against one server.
const TROUBLE: f64 = 0.25;

/// Time after the first evidence from which a peer's report is newer than it.
const PEER_LAG: Duration = Duration::from_millis(500);

/// What an attempt says of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    /// A good answer in time.
    Good,
    /// An answer much later than the other servers', or none for as long.
    Slow,
    /// An error or a broken connection.
    Error,
    /// A refusal.
    Shed,
}

/// How the other servers of the service did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Service {
    /// Too little is known.
    Unclear,
    /// They did well.
    Well,
    /// They did badly too.
    Unwell,
}

impl Balancer {
    /// Records the time to the head of an answer.
    pub(super) fn time(&mut self, now: time::Time, at: usize, span: Duration, kind: Kind) {
        let backend = &mut self.backends[at];
        backend.monitor.record_latency(span);
        let usual = backend.monitor.state() != state::State::Ejected;
        if usual {
            self.baseline.record(baseline::Sample {
                server: backend.spec.handle,
                at: now,
                seconds: if kind == Kind::Error {
                    f32::INFINITY
                } else {
                    span.as_secs_f32()
                },
            });
        }
    }

    /// Takes an observation of a server and tells how much evidence it gave.
    pub(super) fn observe(
        &mut self,
        now: time::Time,
        at: usize,
        kind: Kind,
        actions: &mut Vec<action::Action>,
    ) -> f64 {
        let share = self.share(at);
        let backend = &mut self.backends[at];
        self.tally.count(kind == Kind::Good);
        if kind == Kind::Good {
            backend.monitor.record_good(share);
            if backend.suspicion > 0.0 {
                self.weigh(now, at);
            }
            return 0.0;
        }
        self.uneasy = true;
        self.compare(now);
        let share = share.max(self.recent_share);
        let backend = &mut self.backends[at];
        let cold = kind == Kind::Slow && backend.cold(now);
        let weight = if kind == Kind::Shed { SHED } else { 1.0 };
        let added = backend
            .monitor
            .record_bad(share, weight, cold, &self.limits);
        self.evaluate(now, at, actions);
        added
    }

    /// Share of bad observations that is usual for a server: that of the others over a while, or
    /// that of the middle server lately where the whole service does worse.
    fn share(&self, at: usize) -> f64 {
        let others = self
            .tally
            .bad_ratio_without(&self.backends[at].monitor.tally);
        others.max(self.recent_share)
    }

    /// Compares the servers, and gives up the evidence against all where most do badly.
    pub(super) fn compare(&mut self, now: time::Time) {
        if now.since(self.compared) < COMPARE {
            return;
        }
        self.compared = now;
        let usable = self.backends.iter();
        let usable = usable.filter(|b| b.standing(&self.limits) > backend::Standing::Out);
        let (mut shares, mut all, mut stuck) = (Vec::new(), 0, 0);
        for backend in usable {
            shares.extend(backend.monitor.recent.bad_ratio());
            all += 1;
            let aged = backend.oldest(now) >= YOUNG;
            stuck += u32::from(aged && backend.stuck(now, self.limit(backend)));
        }
        let middle = shares.len().saturating_sub(1) / 2;
        self.recent_share = if shares.is_empty() {
            0.0
        } else {
            *shares.select_nth_unstable_by(middle, f64::total_cmp).1
        };
        if self.recent_share > TROUBLE || stuck * 2 > all && stuck > 1 {
            let limits = self.limits;
            let backends = self.backends.iter_mut();
            backends.for_each(|b| b.acquit(now, &limits));
        }
    }

    /// The time above which an answer of a server is slow.
    pub(super) fn limit(&self, backend: &backend::Backend) -> Duration {
        self.baseline
            .slow_threshold(backend.spec.handle, self.promise)
    }

    /// Takes the silence of an attempt that ends without a head.
    pub(super) fn silence(
        &mut self,
        now: time::Time,
        attempt: handle::Attempt,
        flight: &flight::Flight,
        actions: &mut Vec<action::Action>,
    ) {
        let Some(at) = self.place(flight.server) else {
            return;
        };
        let limit = self.baseline.slow_threshold(flight.server, self.promise);
        let backend = &mut self.backends[at];
        let listed = backend.headless.iter().find(|h| h.attempt == attempt);
        let excused = listed.is_none_or(|h| h.excused);
        backend.unlist(attempt);
        if excused || flight.trial || now.since(flight.sent) < limit {
            return;
        }
        self.baseline.record(baseline::Sample {
            server: flight.server,
            at: now,
            seconds: now.since(flight.sent).as_secs_f32(),
        });
        let added = self.observe(now, at, Kind::Slow, actions);
        let watch = &mut self.backends[at].watch;
        watch.silent(flight.sent, flight.fresh, added);
        self.judge_connections(now, at, actions);
    }

    /// Closes connections that the evidence condemns, and excuses the server.
    pub(super) fn judge_connections(
        &mut self,
        now: time::Time,
        at: usize,
        actions: &mut Vec<action::Action>,
    ) {
        let backend = &mut self.backends[at];
        if backend.watch.oldest().is_none() && backend.headless.is_empty() {
            return;
        }
        let limit = self
            .baseline
            .slow_threshold(backend.spec.handle, self.promise);
        let (stuck, oldest) = backend.stuck_reused(now, limit);
        let Some(condemned) = backend.watch.judge(stuck, oldest) else {
            return;
        };
        backend.monitor.retract(condemned.weight);
        for headless in &mut backend.headless {
            headless.excused |= !headless.fresh;
        }
        actions.push(action::Action::CloseConnections {
            server: backend.spec.handle,
            opened_before: condemned.opened_before,
        });
        self.weigh(now, at);
    }

    /// Computes the suspicion of a server.
    pub(super) fn weigh(&mut self, now: time::Time, at: usize) {
        let share = self.share(at);
        let backend = &mut self.backends[at];
        let limit = self
            .baseline
            .slow_threshold(backend.spec.handle, self.promise);
        let own = backend.suspect(now, limit, share, &self.limits);
        if backend
            .monitor
            .update_suspicion(now, own >= self.limits.suspect_threshold())
        {
            backend.limit = limit;
            let stuck = backend.headless.front().map(|h| h.sent);
            let stuck = stuck.filter(|sent| now.since(*sent) >= limit);
            backend.since = stuck.unwrap_or(now);
        }
        self.uneasy |= own > 0.0;
        let mut suspicion = own;
        if own >= self.limits.suspect_threshold() && !self.peers.is_empty() {
            let since = backend.monitor.suspected_since(now) + PEER_LAG;
            let support = self.peers.opinion(backend.spec.handle, since).suspicion;
            suspicion += self.limits.threshold * (support * PEER).min(SUPPORT);
        }
        let cold = backend.cold(now) && backend.monitor.score() < self.limits.threshold;
        if cold {
            suspicion = suspicion.min(self.limits.threshold * 0.9);
        }
        backend.suspicion = suspicion;
    }

    /// Weighs a server and asks for its ejection where that is due.
    pub(super) fn evaluate(
        &mut self,
        now: time::Time,
        at: usize,
        actions: &mut Vec<action::Action>,
    ) {
        self.weigh(now, at);
        let limits = self.limits;
        let backend = &self.backends[at];
        let monitor = &backend.monitor;
        if monitor.state() == state::State::Ejected || backend.leaving() {
            return;
        }
        if backend.suspicion < monitor.threshold(&limits) {
            return;
        }
        let rising = monitor.suspected_since(now);
        let dwell = if self.peers.is_empty() {
            limits.dwell
        } else {
            limits.dwell_with_peers
        };
        if now.since(rising) < dwell {
            return;
        }
        match self.service(now, at) {
            Service::Unclear => return,
            Service::Unwell => {
                self.backends[at].acquit(now, &limits);
                return;
            }
            Service::Well => {}
        }
        let server = backend.spec.handle;
        let opinion = self.peers.opinion(server, rising + PEER_LAG);
        let backend = &mut self.backends[at];
        backend.monitor.mark_suspect();
        let contradicted = opinion.healthy > opinion.unhealthy;
        if contradicted || !backend.monitor.try_request_ejection(now) {
            return;
        }
        let evidence = backend.evidence(now);
        actions.push(action::Action::Eject { server, evidence });
    }

    /// How the other servers did since the suspicion of one began, by the limit that held then.
    fn service(&self, now: time::Time, at: usize) -> Service {
        let suspect = &self.backends[at];
        let (limit, since) = (suspect.limit, suspect.since);
        let mut tallies = self
            .baseline
            .tallies_since(suspect.spec.handle, since, limit);
        for (index, other) in self.backends.iter().enumerate() {
            if index == at || other.oldest(now) <= limit {
                continue;
            }
            let stuck = other.headless.iter();
            let stuck = stuck.filter(|h| now.since(h.sent) > limit).count();
            let tally = tallies.entry(other.spec.handle).or_default();
            (0..stuck).for_each(|_| tally.count(false));
        }
        let others = self.backends.len().saturating_sub(1).max(1);
        let most = (self.limits.health_evidence * VOICES / others as f64).max(VOICE_MIN);
        let weights = tallies.values().map(|t| t.health_evidence().min(most));
        let mut weights: Vec<f64> = weights.collect();
        weights.sort_unstable_by(f64::total_cmp);
        // Fewer than half of the servers may be sick by themselves and say nothing of the others:
        // the worst ones are left out, with this suspect counted among them.
        let minority = weights.len() / 2;
        let worst = minority
            .saturating_sub(1)
            .max(usize::from(weights.len() >= OTHERS));
        let wellness: f64 = weights[worst..].iter().sum();
        if wellness >= self.limits.health_evidence {
            Service::Well
        } else if wellness <= -UNWELL {
            Service::Unwell
        } else {
            Service::Unclear
        }
    }

    /// Takes a peer's evidence.
    pub(super) fn hear(
        &mut self,
        now: time::Time,
        from: instance::Instance,
        digests: Vec<(handle::Server, event::Digest)>,
    ) {
        if from == self.config.instance {
            return;
        }
        let added: Vec<_> = digests.iter().map(|(s, d)| (*s, d.in_flight)).collect();
        let before = self.peers.instances().len();
        let Some(old) = self.peers.record_report(now, from, digests) else {
            return;
        };
        self.forget_load(&old);
        for (server, in_flight) in added {
            if let Some(at) = self.place(server) {
                self.backends[at].load.peers += in_flight;
            }
        }
        if self.peers.instances().len() != before {
            self.divide();
        }
    }

    /// Takes back the load that an old report told.
    pub(super) fn forget_load(&mut self, digests: &[(handle::Server, event::Digest)]) {
        for (server, digest) in digests {
            if let Some(at) = self.place(*server) {
                let peers = &mut self.backends[at].load.peers;
                *peers = peers.saturating_sub(digest.in_flight);
            }
        }
    }

    /// Takes the end of a probe.
    pub(super) fn probed(
        &mut self,
        now: time::Time,
        server: handle::Server,
        well: bool,
        actions: &mut Vec<action::Action>,
    ) {
        /// Probes in a row that bring back a server when no real work can try it.
        const PROBES: u32 = 15;
        let Some(at) = self.place(server) else {
            return;
        };
        let share = self.share(at);
        let backend = &mut self.backends[at];
        backend.monitor.record_probe(well, share, &self.limits);
        if backend.monitor.state() != state::State::Ejected {
            self.weigh(now, at);
            return;
        }
        backend.probes = if well { backend.probes + 1 } else { 0 };
        if backend.probes >= PROBES && backend.monitor.trial_due(now) {
            backend.probes = 0;
            actions.push(action::Action::Restore(server));
        }
    }
}
