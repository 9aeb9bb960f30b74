//! Handles calls and updates from other daemons.

use std::sync::Arc;

use futures_util::FutureExt as _;
use futures_util::future::BoxFuture;
use monsooncart_cluster::{handler, relay};
use monsooncart_policy::claims::{claim, handover as claims_handover, table};
use monsooncart_policy::floor::{event, storage};
use monsooncart_policy::poison;
use monsooncart_proxy::report;
use monsooncart_types::id;
use monsooncart_wire::{claims as wire, floor, update, usage};

use crate::{accounts, claims, core, floors, handover};

/// Server side of the calls between daemons.
pub struct Handler {
    /// State shared by the components.
    pub core: Arc<core::Core>,
    /// Claim table.
    pub claims: Arc<claims::Claims>,
    /// Ejection ledgers; `None` in gateway deployments.
    pub floors: Option<floors::Handle>,
    /// Usage accounts; `None` in gateway deployments.
    pub accounts: Option<Arc<accounts::Accounts>>,
    /// Claim tables being received from daemons that are stopping.
    pub handover_parts: handover::Reassembly,
}

impl Handler {
    fn send_to_floors(&self, input: floors::Input) {
        if let Some(floors) = &self.floors {
            floors.send(input);
        }
    }

    fn report(&self, service: &id::Service, report: report::Report) {
        if let Some(proxy) = self.core.proxy() {
            proxy.report(service, report);
        }
    }

    fn record_leaving(&self, service: id::Service, server: id::Server, started_millis: u64) {
        let leaving = report::Report::Leaving {
            server: server.clone(),
            started_millis,
        };
        self.report(&service, leaving);
        self.send_to_floors(floors::Input::ServerLeaving(service, server));
    }
}

impl handler::Handler for Handler {
    fn claim(
        &self,
        _peer: handler::Peer,
        request: wire::Claim,
    ) -> BoxFuture<'_, Result<(), claim::Refusal>> {
        async move {
            let decide = |t: &mut table::Table| t.claim(&request.ticket, request.claimant);
            self.claims.with_table(decide)
        }
        .boxed()
    }

    fn release(
        &self,
        _peer: handler::Peer,
        request: wire::Release,
    ) -> BoxFuture<'_, Result<(), claim::Refusal>> {
        async move {
            let release = |t: &mut table::Table| t.release(&request.ticket, request.claimant);
            self.claims.with_table(release)
        }
        .boxed()
    }

    fn settle(
        &self,
        _peer: handler::Peer,
        request: wire::Settle,
    ) -> BoxFuture<'_, Result<(), claim::Refusal>> {
        async move {
            let settle =
                |t: &mut table::Table| t.settle(&request.ticket, request.claimant, request.state);
            self.claims.with_table(settle)
        }
        .boxed()
    }

    fn outcome(
        &self,
        _peer: handler::Peer,
        request: wire::Outcome,
    ) -> BoxFuture<'_, Result<claim::State, claim::Refusal>> {
        async move { self.claims.with_table(|t| t.outcome(&request.ticket)) }.boxed()
    }

    fn hand_over(
        &self,
        _peer: handler::Peer,
        request: wire::HandOver,
    ) -> BoxFuture<'_, claims_handover::Reply> {
        async move {
            let Some(table) = self.handover_parts.insert(request) else {
                return claims_handover::Reply::Taken;
            };
            let now = self.core.now();
            handover::import_table(&self.claims, now, &table)
        }
        .boxed()
    }

    fn keep_usage(&self, _peer: handler::Peer, copy: usage::Copy) -> BoxFuture<'_, ()> {
        async move {
            if let Some(accounts) = &self.accounts {
                accounts.store_copy(&copy);
            }
        }
        .boxed()
    }

    fn fetch_usage(
        &self,
        _peer: handler::Peer,
        request: usage::Fetch,
    ) -> BoxFuture<'_, usage::Copies> {
        async move {
            let accounts = self.accounts.as_ref();
            let copies = accounts
                .map(|a| a.stored_copies(&request))
                .unwrap_or_default();
            usage::Copies { copies }
        }
        .boxed()
    }

    fn floor(&self, peer: handler::Peer, request: floor::Request) -> BoxFuture<'_, floor::Reply> {
        async move {
            let request = floors::PeerRequest::decode(&request.payload);
            let response = match (&self.floors, request) {
                (Some(floors), Some(request)) => floors.handle_request(peer, request).await,
                _ => floors::PeerResponse::Unknown,
            };
            let payload = response.encode();
            floor::Reply { payload }
        }
        .boxed()
    }

    fn serve_relay(
        &self,
        _peer: handler::Peer,
        stream: Box<dyn relay::Stream>,
    ) -> BoxFuture<'_, ()> {
        async move {
            // Only host routing has requests relayed.
            let proxy = self
                .core
                .proxy()
                .filter(|_| self.core.gateway_paths.is_some());
            if let Some(proxy) = proxy {
                proxy.serve_relay(stream).await;
            }
        }
        .boxed()
    }

    fn receive_update(&self, update: update::Update) {
        match update {
            update::Update::Evidence {
                service,
                from,
                digests,
            } => {
                let pairs = digests.into_iter().map(|e| (e.server, e.digest));
                let digests = pairs.collect();
                self.report(&service, report::Report::Evidence { from, digests });
            }
            update::Update::Leaving { service, server } => self.record_leaving(service, server, 0),
            update::Update::RunLeaving {
                service,
                server,
                started_millis,
            } => self.record_leaving(service, server, started_millis),
            update::Update::Blame {
                service,
                fingerprint,
                run,
            } => {
                let crash = report::Report::Crash { fingerprint, run };
                self.report(&service, crash);
            }
            update::Update::Quarantine {
                service,
                fingerprint,
                span,
            } => {
                let quarantine = report::Report::Quarantine {
                    fingerprint,
                    duration: span.min(poison::MAX_QUARANTINE),
                };
                self.report(&service, quarantine);
            }
            update::Update::Acquittal {
                service,
                fingerprint,
            } => self.report(&service, report::Report::Acquittal { fingerprint }),
            update::Update::RateLimit {
                service,
                server,
                started_millis,
                limit,
            } => {
                let rate_limit = report::Report::RateLimit {
                    server,
                    started_millis,
                    limit,
                };
                self.report(&service, rate_limit);
            }
            update::Update::Mark { service, mark } => {
                let event = event::Event::Mark(mark);
                self.send_to_floors(floors::Input::Event(service, event));
            }
            update::Update::Ledger { service, version } => {
                let version = storage::Version(version);
                self.send_to_floors(floors::Input::RecordAnnounced(service, version));
            }
            update::Update::Succession(succession) => {
                let _is_new = self.claims.record_succession(succession);
            }
            update::Update::Path {
                service,
                from,
                number,
                lost,
            } => {
                if let Some(paths) = &self.core.gateway_paths {
                    paths.record(from, service.clone(), number, lost);
                }
                if lost {
                    self.report(&service, report::Report::PathLost);
                }
            }
            update::Update::AllowanceReport(report) => {
                if let Some(allowances) = &self.core.gateway_allowances {
                    allowances.receive(self.core.now(), &report);
                }
            }
            update::Update::AllowanceLoan(loan) => {
                if let Some(allowances) = &self.core.gateway_allowances {
                    allowances.receive_loan(self.core.now(), &loan);
                }
            }
            update::Update::Configuration { .. } | update::Update::Platform { .. } => {}
        }
    }
}
