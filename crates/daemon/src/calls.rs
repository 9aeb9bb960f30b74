//! Answers to the calls of other daemons.

use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt as _;
use futures_util::future::BoxFuture;
use monsooncart_cluster::handler;
use monsooncart_policy::claims::{claim, handover as policy, table};
use monsooncart_policy::floor::{event, storage};
use monsooncart_types::id;
use monsooncart_wire::{claims as wire, floor, news, usage};

use crate::{accounts, claims, core, floors, handover};

/// Longest quarantine that is taken from another daemon.
const QUARANTINE_MAX: Duration = Duration::from_secs(3600);

/// The served side of calls.
pub struct Calls {
    /// What the parts share.
    pub core: Arc<core::Core>,
    /// The claims.
    pub claims: Arc<claims::Claims>,
    /// The ledgers, where ejections are kept in some.
    pub floors: Option<floors::Floors>,
    /// The accounts, where organisations are told apart.
    pub accounts: Option<Arc<accounts::Accounts>>,
    /// Parts of tables that are being handed over to here.
    pub inbox: handover::Inbox,
}

impl Calls {
    fn tell_floors(&self, input: floors::Input) {
        if let Some(floors) = &self.floors {
            floors.tell(input);
        }
    }

    fn leaving(&self, service: id::Service, server: id::Server) {
        if let Some(proxy) = self.core.proxy() {
            proxy.record_leaving(&service, &server);
        }
        self.tell_floors(floors::Input::Leaving(service, server));
    }
}

impl handler::Handler for Calls {
    fn claim(
        &self,
        _caller: handler::Caller,
        request: wire::Claim,
    ) -> BoxFuture<'_, Result<(), claim::Refusal>> {
        async move {
            let decide = |t: &mut table::Table| t.claim(&request.ticket, request.claimant);
            self.claims.table(decide)
        }
        .boxed()
    }

    fn release(
        &self,
        _caller: handler::Caller,
        request: wire::Release,
    ) -> BoxFuture<'_, Result<(), claim::Refusal>> {
        async move {
            let release = |t: &mut table::Table| t.release(&request.ticket, request.claimant);
            self.claims.table(release)
        }
        .boxed()
    }

    fn settle(
        &self,
        _caller: handler::Caller,
        request: wire::Settle,
    ) -> BoxFuture<'_, Result<(), claim::Refusal>> {
        async move {
            let settle =
                |t: &mut table::Table| t.settle(&request.ticket, request.claimant, request.state);
            self.claims.table(settle)
        }
        .boxed()
    }

    fn outcome(
        &self,
        _caller: handler::Caller,
        request: wire::Outcome,
    ) -> BoxFuture<'_, Result<claim::State, claim::Refusal>> {
        async move { self.claims.table(|t| t.outcome(&request.ticket)) }.boxed()
    }

    fn hand_over(
        &self,
        _caller: handler::Caller,
        request: wire::HandOver,
    ) -> BoxFuture<'_, policy::Reply> {
        async move {
            let Some(table) = self.inbox.take(request) else {
                return policy::Reply::Taken;
            };
            let now = self.core.now();
            handover::accept(&self.claims, now, &table)
        }
        .boxed()
    }

    fn keep_usage(&self, _caller: handler::Caller, copy: usage::Copy) -> BoxFuture<'_, ()> {
        async move {
            if let Some(accounts) = &self.accounts {
                accounts.keep(&copy);
            }
        }
        .boxed()
    }

    fn fetch_usage(
        &self,
        _caller: handler::Caller,
        request: usage::Fetch,
    ) -> BoxFuture<'_, usage::Copies> {
        async move {
            let accounts = self.accounts.as_ref();
            let copies = accounts.map(|a| a.kept(&request)).unwrap_or_default();
            usage::Copies { copies }
        }
        .boxed()
    }

    fn floor(
        &self,
        caller: handler::Caller,
        request: floor::Request,
    ) -> BoxFuture<'_, floor::Reply> {
        async move {
            let question = floors::Question::decode(&request.payload);
            let answer = match (&self.floors, question) {
                (Some(floors), Some(question)) => floors.question(caller, question).await,
                _ => floors::Answer::Unknown,
            };
            let payload = answer.encode();
            floor::Reply { payload }
        }
        .boxed()
    }

    fn news(&self, news: news::News) {
        match news {
            news::News::Evidence {
                service,
                from,
                digests,
            } => {
                if let Some(proxy) = self.core.proxy() {
                    let pairs = digests.into_iter().map(|e| (e.server, e.digest));
                    proxy.merge_evidence(&service, from, pairs.collect());
                }
            }
            news::News::Leaving { service, server } => self.leaving(service, server),
            news::News::Blame {
                service,
                fingerprint,
                server,
            } => {
                if let Some(proxy) = self.core.proxy() {
                    proxy.record_crash(&service, fingerprint, &server);
                }
            }
            news::News::Quarantine {
                service,
                fingerprint,
                span,
            } => {
                if let Some(proxy) = self.core.proxy() {
                    proxy.quarantine(&service, fingerprint, span.min(QUARANTINE_MAX));
                }
            }
            news::News::Mark { service, mark } => {
                let event = event::Event::Mark(mark);
                self.tell_floors(floors::Input::Event(service, event));
            }
            news::News::Ledger { service, version } => {
                let version = storage::Version(version);
                self.tell_floors(floors::Input::Announced(service, version));
            }
            news::News::Succession(succession) => {
                let _known = self.claims.succeeded(succession);
            }
            news::News::Configuration { .. } | news::News::Platform { .. } => {}
        }
    }
}
