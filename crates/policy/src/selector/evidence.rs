//! What the ends of attempts say of servers and of requests.

use monsooncart_types::{instance, time};

use super::{Report, SLOW, Selector, flight};
use crate::{action, event, handle, outcome, poison};

/// Lowest status of an answer that counts as an error.
const ERROR: u16 = 500;

/// Status of a server that ran out of the time that it was told, which says that it works.
const EXPIRED: u16 = 504;

/// Weight of a new time in a running mean.
const MEAN_WEIGHT: f64 = 0.05;

impl Selector {
    /// Takes what the end of an attempt says of its server and of its request.
    pub(super) fn learn(
        &mut self,
        now: time::Time,
        flight: &flight::Flight,
        report: &Report,
        actions: &mut Vec<action::Action>,
    ) {
        let span = now.since(flight.sent);
        let late = span >= self.usual().mul_f64(SLOW);
        if let outcome::Outcome::Answered(_) = report.end {
            let old = self.usual();
            let mean = old.mul_f64(1.0 - MEAN_WEIGHT) + span.mul_f64(MEAN_WEIGHT);
            self.usual = Some(if self.usual.is_some() { mean } else { span });
            if let Some(fingerprint) = flight.fingerprint {
                self.poison.record_answer(fingerprint);
            }
        }
        let Some(server) = self.server(flight.server) else {
            return;
        };
        server.ended();
        if server.spec.started_millis != flight.started_millis {
            // Another run of the server took its name meanwhile.
            return;
        }
        match report.end {
            outcome::Outcome::Answered(status) if status < ERROR => server.did_well(now),
            outcome::Outcome::Answered(EXPIRED) | outcome::Outcome::Failed(EXPIRED) => {
                if late && !flight.slow {
                    server.slow(now);
                }
            }
            outcome::Outcome::Answered(_)
            | outcome::Outcome::Failed(_)
            | outcome::Outcome::Garbled => {
                server.failed(now);
            }
            outcome::Outcome::Broken => {
                server.failed(now);
                self.broken(now, flight, actions);
            }
            outcome::Outcome::Timeout if late && !flight.slow => server.failed(now),
            outcome::Outcome::Shed { leaving } => {
                server.shed(now, report.retry_after);
                server.left |= leaving;
            }
            outcome::Outcome::Misdirected => server.replaced = true,
            outcome::Outcome::Unsent => server.unreachable(now),
            outcome::Outcome::Timeout | outcome::Outcome::Cancelled => {}
        }
        self.note(now, flight.server, actions);
    }

    /// Tells operators where a server is held for something else than before.
    fn note(&mut self, now: time::Time, server: handle::Server, actions: &mut Vec<action::Action>) {
        let Some(held) = self.server(server) else {
            return;
        };
        if let Some(turn) = held.turn(now) {
            let evidence = held.evidence(now);
            actions.push(action::Action::ReportState {
                server,
                change: turn,
                evidence,
            });
        }
    }

    /// Takes the break of a connection, which may be the request's doing.
    fn broken(
        &mut self,
        now: time::Time,
        flight: &flight::Flight,
        actions: &mut Vec<action::Action>,
    ) {
        let Some(fingerprint) = flight.fingerprint else {
            return;
        };
        let server = flight.server;
        let verdict = self.poison.record_crash(now, fingerprint, server, 0.0);
        if verdict == poison::Verdict::FirstCrash {
            actions.push(action::Action::ReportCrash {
                fingerprint,
                server,
            });
        }
        Self::convict(fingerprint, verdict, actions);
    }

    /// Takes the break of a server that another daemon saw.
    pub(super) fn blame(
        &mut self,
        now: time::Time,
        fingerprint: handle::Fingerprint,
        server: handle::Server,
        actions: &mut Vec<action::Action>,
    ) {
        let verdict = self.poison.record_crash(now, fingerprint, server, 0.0);
        Self::convict(fingerprint, verdict, actions);
    }

    fn convict(
        fingerprint: handle::Fingerprint,
        verdict: poison::Verdict,
        actions: &mut Vec<action::Action>,
    ) {
        if let poison::Verdict::Poison { .. } = verdict {
            actions.push(action::Action::Quarantine {
                fingerprint,
                duration: poison::QUARANTINE_DURATION,
            });
        }
    }

    /// Takes a peer's evidence.
    pub(super) fn hear(
        &mut self,
        now: time::Time,
        from: instance::Instance,
        digests: &[(handle::Server, event::Digest)],
        actions: &mut Vec<action::Action>,
    ) {
        for (server, digest) in digests {
            if let Some(held) = self.server(*server) {
                held.hear(now, from, digest);
                self.note(now, *server, actions);
            }
        }
    }
}
