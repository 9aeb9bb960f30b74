//! Actions of a policy on a server or in the rest of the fleet, and reports to the fleet.

use std::sync::Arc;

use monsooncart_policy::{action, event, handle};
use monsooncart_types::{id, rate, run};

use super::Service;
use crate::{decision, server};

impl Service {
    /// Performs an action on a server or in the rest of the fleet.
    pub(super) fn perform_deferred(self: &Arc<Self>, action: action::Action) {
        let common = &self.common;
        let record = |kind, server, evidence| {
            common
                .decisions
                .push(kind, &self.name, server, None, evidence);
        };
        match action {
            action::Action::Eject { server, evidence } => {
                if let Some(name) = self.server_name(server) {
                    log::info!(service:% = self.name, server:% = name, evidence; "health: requesting ejection of server");
                    record(decision::Kind::Eject, Some(name.clone()), evidence.clone());
                    common.fleet.eject(&self.name, &name, evidence);
                }
            }
            action::Action::Restore(server) => {
                if let Some(name) = self.server_name(server) {
                    log::info!(service:% = self.name, server:% = name; "health: requesting restoration of server");
                    record(decision::Kind::Restore, Some(name.clone()), String::new());
                    common.fleet.restore(&self.name, &name);
                }
            }
            action::Action::ReportCrash { fingerprint, run } => {
                if let Some(server) = self.known_name(run.server) {
                    let started_millis = run.started_millis;
                    let run = run::Run {
                        server,
                        started_millis,
                    };
                    log::info!(service:% = self.name, fingerprint = fingerprint.0, server:% = run.server, started_millis; "poison: server crashed while it ran a request");
                    common.fleet.report_crash(&self.name, fingerprint, &run);
                }
            }
            action::Action::ReportAcquittal(fingerprint) => {
                log::info!(service:% = self.name, fingerprint = fingerprint.0; "poison: suspected request was answered");
                common.fleet.report_acquittal(&self.name, fingerprint);
            }
            action::Action::ReportRateLimit {
                server,
                started_millis,
                limit,
            } => {
                if let Some(name) = self.server_name(server) {
                    self.report_rate_limit(&name, started_millis, limit);
                }
            }
            action::Action::Quarantine {
                fingerprint,
                duration,
            } => {
                log::warn!(service:% = self.name, fingerprint = fingerprint.0; "poison: quarantining request");
                let evidence = format!("request {:016x} for {duration:?}", fingerprint.0);
                record(decision::Kind::Quarantine, None, evidence);
                common.fleet.quarantine(&self.name, fingerprint, duration);
            }
            action::Action::CloseConnections {
                server,
                opened_before,
            } => {
                let active_config = self.active_config.load();
                if let Some(server) = active_config.servers.get(&server) {
                    server.pool.close_opened_before(opened_before);
                    let evidence = format!("opened before {opened_before}");
                    let name = Some(server.spec.name.clone());
                    record(decision::Kind::Condemn, name, evidence);
                }
            }
            action::Action::ReportState {
                server,
                change,
                evidence,
            } => {
                if let Some(name) = self.server_name(server) {
                    log::info!(service:% = self.name, server:% = name, turn:% = change, evidence; "health: reported server state changed");
                }
            }
            action::Action::Probe(server) => self.spawn_probe(server),
            action::Action::ProbePath(server) => self.spawn_path_probe(server),
            action::Action::ProbeCrash(server) => self.spawn_crash_probe(server),
            action::Action::ReportPath { lost, evidence } => self.report_path(lost, evidence),
            _ => {}
        }
    }

    fn spawn_probe(self: &Arc<Self>, handle: handle::Server) {
        let active_config = self.active_config.load_full();
        let Some(server) = active_config.servers.get(&handle).cloned() else {
            return;
        };
        let service = self.clone();
        tokio::spawn(async move {
            let path = active_config.spec.health_path.as_deref();
            let healthy = match path {
                Some(path) => {
                    crate::probe::check_health(&service, &service.common, &server, path).await
                }
                None => crate::probe::check_connect(&service.common, &server).await,
            };
            service.handle_event(event::Event::Probe {
                server: handle,
                healthy,
            });
        });
    }

    fn spawn_path_probe(self: &Arc<Self>, handle: handle::Server) {
        let active_config = self.active_config.load_full();
        let Some(server) = active_config.servers.get(&handle).cloned() else {
            return;
        };
        let service = self.clone();
        tokio::spawn(async move {
            let path = active_config.spec.health_path.as_deref();
            let sent_at = service.common.clock.now();
            let responded = crate::probe::check_path(&service.common, &server, path).await;
            service.handle_event(event::Event::PathProbe {
                server: handle,
                sent_at,
                responded,
            });
        });
    }

    fn spawn_crash_probe(self: &Arc<Self>, handle: handle::Server) {
        let active_config = self.active_config.load_full();
        let Some(server) = active_config.servers.get(&handle).cloned() else {
            return;
        };
        let service = self.clone();
        tokio::spawn(async move {
            let path = active_config.spec.health_path.as_deref();
            let sent_at = service.common.clock.now();
            let responded = crate::probe::check_crash(&service.common, &server, path).await;
            log::info!(service:% = service.name, server:% = server.spec.name, responded; "poison: probed a server after a broken connection");
            service.handle_event(event::Event::CrashProbe {
                server: handle,
                sent_at,
                responded,
            });
        });
    }

    /// Logs and publishes that the path to the servers is lost, or is there again.
    fn report_path(&self, lost: bool, evidence: String) {
        let common = &self.common;
        let kind = match lost {
            true => {
                log::warn!(service:% = self.name, evidence; "path: lost the path to the servers; relaying requests through other daemons");
                common.metrics.count_lost_path(&self.name);
                decision::Kind::PathLost
            }
            false => {
                log::info!(service:% = self.name, evidence; "path: the path to the servers is there again");
                decision::Kind::PathRegained
            }
        };
        common
            .decisions
            .push(kind, &self.name, None, None, evidence);
        common.fleet.report_path(&self.name, lost);
    }

    /// Records that a server announced its leaving in a response that another daemon relayed.
    pub fn report_relayed_leaving(self: &Arc<Self>, name: &id::Server) {
        let active_config = self.active_config.load();
        let handle = active_config.handles.get(name);
        let server = handle.and_then(|handle| active_config.servers.get(handle));
        if let Some(server) = server {
            self.report_leaving(server);
        }
    }

    /// Records and publishes that a server announced that it is leaving.
    pub fn report_leaving(self: &Arc<Self>, server: &server::Server) {
        let (name, started_millis) = (&server.spec.name, server.spec.started_millis);
        if !self.common.record_leaving(name, started_millis) {
            return;
        }
        log::info!(service:% = self.name, server:% = name; "health: server announced that it is leaving");
        self.common.decisions.push(
            decision::Kind::Leaving,
            &self.name,
            Some(name.clone()),
            None,
            "the server said so".to_owned(),
        );
        self.handle_event(event::Event::Leaving(server.handle));
        let fleet = &self.common.fleet;
        fleet.report_leaving(&self.name, name, started_millis);
    }

    /// Logs and publishes the rate limit that a server announces.
    fn report_rate_limit(
        &self,
        server: &id::Server,
        started_millis: u64,
        limit: Option<rate::Rate>,
    ) {
        match limit {
            Some(limit) => {
                log::info!(service:% = self.name, server:%, limit:%; "health: server announces a rate limit");
            }
            None => {
                log::info!(service:% = self.name, server:%; "health: server no longer announces a rate limit");
            }
        }
        let fleet = &self.common.fleet;
        fleet.report_rate_limit(&self.name, server, started_millis, limit);
    }
}
