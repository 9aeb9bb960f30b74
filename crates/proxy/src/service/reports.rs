//! Reports of the rest of the fleet.

use std::sync::Arc;

use monsooncart_policy::{event, handle};
use monsooncart_types::id;

use super::Service;
use crate::{decision, report};

impl Service {
    /// Passes a report to the policy; returns it if it is about a server that is not configured.
    pub fn apply_report(self: &Arc<Self>, report: report::Report) -> Option<report::Report> {
        match report {
            report::Report::Quarantine {
                fingerprint,
                duration,
            } => {
                let expires_at = self.common.clock.now() + duration;
                self.handle_event(event::Event::Quarantine {
                    fingerprint,
                    expires_at,
                });
            }
            report::Report::Crash { fingerprint, run } => {
                let server = self.get_or_create_handle(&run.server);
                // Daemons of earlier builds don't name the run.
                let started_millis = match run.started_millis {
                    0 => self.started_millis(server).unwrap_or_default(),
                    started_millis => started_millis,
                };
                let run = handle::Run {
                    server,
                    started_millis,
                };
                self.handle_event(event::Event::CrashReport { fingerprint, run });
            }
            report::Report::Acquittal { fingerprint } => {
                // Without local traffic there is no record to clear.
                if self.is_active() {
                    self.handle_event(event::Event::Acquittal(fingerprint));
                }
            }
            report::Report::Leaving {
                ref server,
                started_millis,
            } => {
                let Some(handle) = self.server_handle(server) else {
                    return Some(report);
                };
                let is_current = self.started_millis(handle).is_some_and(|current| {
                    started_millis == 0 || self.common.is_leaving(server, current)
                });
                if is_current {
                    self.handle_event(event::Event::Leaving(handle));
                }
            }
            report::Report::Ejection {
                ref server,
                ejection,
            } => {
                let Some(handle) = self.server_handle(server) else {
                    return Some(report);
                };
                self.apply_ejection(server, handle, ejection);
            }
            report::Report::RateLimit {
                ref server,
                started_millis,
                limit,
            } => {
                // Without local traffic there is no request that the limit could affect.
                if let Some(server) = self.server_handle(server).filter(|_| self.is_active()) {
                    self.handle_event(event::Event::PeerRateLimit {
                        server,
                        started_millis,
                        limit,
                    });
                }
            }
            report::Report::Evidence { from, digests } => {
                // Without local traffic there is no decision that the evidence could influence.
                if self.is_active() {
                    let by_handle = |(name, digest)| Some((self.server_handle(&name)?, digest));
                    let digests = digests.into_iter().filter_map(by_handle).collect();
                    self.handle_event(event::Event::Evidence { from, digests });
                }
            }
            report::Report::PathLost => {
                // Without local traffic there is no decision that the path could influence.
                if self.is_active() {
                    self.handle_event(event::Event::PeerPathLost);
                }
            }
        }
        None
    }

    fn apply_ejection(
        self: &Arc<Self>,
        server: &id::Server,
        handle: handle::Server,
        ejection: event::Ejection,
    ) {
        let kind = match ejection {
            event::Ejection::Granted => decision::Kind::Granted,
            event::Ejection::Denied => decision::Kind::Denied,
            event::Ejection::Restored => decision::Kind::Restored,
        };
        log::info!(service:% = self.name, server:%, ejection:%; "health: received decision on ejection");
        let decisions = &self.common.decisions;
        decisions.push(kind, &self.name, Some(server.clone()), None, String::new());
        self.handle_event(event::Event::Ejection {
            server: handle,
            ejection,
        });
    }
}
