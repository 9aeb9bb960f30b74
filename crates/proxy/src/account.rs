//! The account of one request, closed at its real end.
//!
//! An account lives as long as its request: it moves from the request's handling into the body of
//! its answer. Dropping it closes it, so that a request whose caller went away is accounted for
//! too, and none twice.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

use http::HeaderValue;
use monsooncart_policy::{handle, outcome};
use monsooncart_types::id;

use crate::{claim, clock, common, interface, payload, trace};

/// The account of one request.
pub struct Account {
    common: Arc<common::Common>,
    record: interface::Record,
    attempts: Vec<trace::Attempt>,
    started: Instant,
    claim: Option<claim::Claim>,
    source: Option<payload::Source>,
    exposed: Arc<AtomicBool>,
    /// Name that the caller gave the request, and the version of the routing that it went by.
    named: Option<(HeaderValue, u64)>,
}

impl Account {
    /// Opens the account of a request.
    pub fn new(
        common: Arc<common::Common>,
        request: handle::Request,
        organisation: id::Organisation,
        service: id::Service,
    ) -> Self {
        let record = interface::Record {
            request,
            organisation,
            service,
            server: None,
            attempts: 0,
            status: None,
            refusal: None,
            run: outcome::Execution::NotRun,
            complete: false,
            received_bytes: 0,
            sent_bytes: 0,
            latency: std::time::Duration::ZERO,
        };
        Self {
            common,
            record,
            attempts: Vec::new(),
            started: Instant::now(),
            claim: None,
            source: None,
            exposed: Arc::default(),
            named: None,
        }
    }

    /// The caller named the request, and a version of the routing decided where it goes.
    pub fn named(&mut self, name: HeaderValue, routing: u64) {
        self.named = Some((name, routing));
    }

    /// The request holds a claim.
    pub fn claimed(&mut self, claim: claim::Claim) {
        self.claim = Some(claim);
    }

    /// The request body comes from here.
    pub fn source(&mut self, source: payload::Source) {
        self.source = Some(source);
    }

    /// Attempts made.
    pub fn attempts(&self) -> u32 {
        self.record.attempts
    }

    /// Milliseconds since the request's arrival.
    pub fn millis(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Set by each attempt whose bytes may have reached a server, at the latest when it is dropped.
    pub fn exposed(&self) -> Arc<AtomicBool> {
        self.exposed.clone()
    }

    /// An attempt began.
    pub fn began(&mut self, server: &id::Server) {
        self.record.attempts += 1;
        self.record.server = Some(server.clone());
    }

    /// An attempt ended before an answer was passed on.
    pub fn ended(&mut self, attempt: trace::Attempt) {
        self.attempts.push(attempt);
    }

    /// Whether the work may have run; holds once no attempt is alive.
    pub fn run(&self) -> outcome::Execution {
        if self.exposed.load(Ordering::Acquire) {
            outcome::Execution::Unknown
        } else {
            outcome::Execution::NotRun
        }
    }

    /// The fleet's own answer goes to the caller.
    pub fn refused(&mut self, status: u16, reason: Option<outcome::Reason>) {
        self.record.refusal = reason;
        self.head(status);
    }

    /// A server's answer goes to the caller.
    pub fn answered(&mut self, server: &id::Server, status: u16) {
        self.record.server = Some(server.clone());
        self.exposed.store(true, Ordering::Release);
        if let Some(claim) = self.claim.take() {
            claim.settle(outcome::Execution::Unknown, Some(status));
        }
        self.head(status);
    }

    fn head(&mut self, status: u16) {
        self.record.status = Some(status);
        self.record.latency = self.started.elapsed();
        let seconds = self.record.latency.as_secs_f64();
        self.common.metrics.latency.observe(seconds);
    }

    /// Bytes of the answer's body went to the caller.
    pub fn sent(&mut self, bytes: u64) {
        self.record.sent_bytes += bytes;
    }

    /// The answer went to the caller whole.
    pub fn whole(&mut self) {
        self.record.complete = true;
    }

    /// Writes the request's line. Those that were answered are told up to a rate, all others
    /// always; the queue of the logs bounds both.
    fn log(&self) {
        let outcome = self.outcome();
        let answered = outcome == "answered";
        if answered && !self.common.samples.admits(self.started) {
            return;
        }
        let record = &self.record;
        let (name, routing) = match &self.named {
            Some((name, routing)) => (name.to_str().unwrap_or("unreadable"), *routing),
            None => ("", 0),
        };
        let attempts: Vec<_> = self.attempts.iter().map(ToString::to_string).collect();
        let refusal = record.refusal.map(|r| r.to_string()).unwrap_or_default();
        log::info!(
            request = name,
            number = record.request.0,
            service:% = record.service,
            routing,
            outcome,
            refusal,
            status = record.status.unwrap_or_default(),
            run:% = record.run,
            head_ms = record.latency.as_millis(),
            millis = self.millis(),
            sent = record.sent_bytes,
            attempts = attempts.join(";");
            "proxy: request ended"
        );
    }

    fn outcome(&self) -> &'static str {
        match (&self.record.status, self.record.refusal) {
            (None, _) => "cancelled",
            (_, Some(reason)) => reason.into(),
            (_, None) if !self.record.complete => "cut",
            (Some(500..), None) => "error",
            (Some(_), None) => "answered",
        }
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        if let Some(source) = &self.source {
            self.record.received_bytes = source.received();
        }
        self.record.run = self.run();
        if let Some(claim) = self.claim.take() {
            claim.settle(self.record.run, None);
        }
        self.log();
        let record = &self.record;
        let seconds = self.started.elapsed().as_secs_f64();
        self.common
            .metrics
            .request(&record.service, self.outcome(), seconds);
        self.common.meter.record(record);
        self.common.traces.push(trace::Trace {
            request: record.request.0,
            ended_at_millis: clock::wall_millis(),
            service: record.service.clone(),
            organisation: record.organisation.clone(),
            attempts: std::mem::take(&mut self.attempts),
            status: record.status,
            refusal: record.refusal,
            run: record.run,
            whole: record.complete,
        });
    }
}
