//! Accounting for one request.
//!
//! An account lives as long as its request: it moves from the request's handler into the body of
//! the response. It is written on drop, so that every request is recorded exactly once, also if
//! its caller disconnects.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use http::HeaderValue;
use monsooncart_policy::{handle, outcome};
use monsooncart_types::id;

use crate::{claim, clock, common, deadline, interface, memory, payload, permit, trace};

pub struct Account {
    common: Arc<common::Common>,
    record: interface::Record,
    attempts: Vec<trace::Attempt>,
    /// Time from the arrival to the first attempt; `None` before it.
    queued_for: Option<Duration>,
    started_at: Instant,
    claim: Option<claim::Claim>,
    permit: Option<permit::Permit>,
    request_body: Option<payload::Source>,
    /// Bytes of bodies that the request holds.
    held: Vec<memory::Reservation>,
    possibly_sent: Arc<AtomicBool>,
    /// Phase of the last exchange that a deadline ended.
    expired: Option<deadline::Phase>,
    /// Request id set by the caller, and version of the routing configuration that was used.
    caller_request_id: Option<(HeaderValue, u64)>,
}

impl Account {
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
            execution: outcome::Execution::NotRun,
            complete: false,
            received_bytes: 0,
            sent_bytes: 0,
            latency: Duration::ZERO,
        };
        Self {
            common,
            record,
            attempts: Vec::new(),
            queued_for: None,
            started_at: Instant::now(),
            claim: None,
            permit: None,
            request_body: None,
            held: Vec::new(),
            possibly_sent: Arc::default(),
            expired: None,
            caller_request_id: None,
        }
    }

    /// Sets the caller's request id and the routing version.
    pub fn set_caller_request_id(&mut self, id: HeaderValue, routing_version: u64) {
        self.caller_request_id = Some((id, routing_version));
    }

    /// Sets the claim, which is settled with the request.
    pub fn set_claim(&mut self, claim: claim::Claim) {
        self.claim = Some(claim);
    }

    /// Sets the permit, which is spent unless the request has not run.
    pub fn set_permit(&mut self, permit: permit::Permit) {
        self.permit = Some(permit);
    }

    /// Holds bytes of a body until the request ends.
    pub fn hold(&mut self, reservation: memory::Reservation) {
        self.held.push(reservation);
    }

    /// Sets the request body, whose received bytes are recorded.
    pub fn set_request_body(&mut self, request_body: payload::Source) {
        self.request_body = Some(request_body);
    }

    pub fn attempt_count(&self) -> u32 {
        self.record.attempts
    }

    pub fn elapsed_millis(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the flag that an attempt sets if its bytes may have reached a server. It is set at
    /// the latest when the attempt is dropped.
    pub fn possibly_sent(&self) -> Arc<AtomicBool> {
        self.possibly_sent.clone()
    }

    /// Records that the request leaves the queue of its service.
    pub fn record_dispatched(&mut self) {
        if self.queued_for.is_none() {
            let queued_for = self.started_at.elapsed();
            let metrics = &self.common.metrics;
            metrics.record_queued(&self.record.service, queued_for.as_secs_f64());
            self.queued_for = Some(queued_for);
        }
    }

    pub fn start_attempt(&mut self, server: &id::Server) {
        self.record.attempts += 1;
        self.record.server = Some(server.clone());
    }

    /// Records a finished attempt.
    pub fn finish_attempt(&mut self, attempt: trace::Attempt) {
        self.attempts.push(attempt);
    }

    /// Whether the request may have run; final once all attempts are dropped.
    pub fn execution(&self) -> outcome::Execution {
        if self.possibly_sent.load(Ordering::Acquire) {
            outcome::Execution::Unknown
        } else {
            outcome::Execution::NotRun
        }
    }

    /// Records that a deadline ended an exchange.
    pub fn record_expiry(&mut self, phase: deadline::Phase) {
        self.expired = Some(phase);
    }

    /// Records a local reply.
    pub fn record_local_reply(&mut self, status: u16, reason: Option<outcome::Reason>) {
        self.record.refusal = reason;
        self.record_head(status);
    }

    /// Records the response of a server; `None` if a relay responded itself.
    pub fn record_response(&mut self, server: Option<id::Server>, status: u16) {
        self.record.server = server;
        self.possibly_sent.store(true, Ordering::Release);
        if let Some(claim) = self.claim.take() {
            claim.settle(outcome::Execution::Unknown, Some(status));
        }
        self.record_head(status);
    }

    fn record_head(&mut self, status: u16) {
        self.record.status = Some(status);
        self.record.latency = self.started_at.elapsed();
        let seconds = self.record.latency.as_secs_f64();
        self.common.metrics.latency.observe(seconds);
    }

    /// Adds bytes of the response body that were sent to the caller.
    pub fn add_sent_bytes(&mut self, bytes: u64) {
        self.record.sent_bytes += bytes;
    }

    /// Records that the whole response was sent to the caller.
    pub fn mark_complete(&mut self) {
        self.record.complete = true;
    }

    /// Writes the log line of the request. Lines of answered requests are rate-limited and all
    /// others are always written; the queue of the logger bounds both.
    fn write_log(&self) {
        let outcome = self.outcome_label();
        let answered = outcome == "answered";
        if answered && !self.common.log_limiter.admits(self.started_at) {
            return;
        }
        let record = &self.record;
        let (caller_request_id, routing) = match &self.caller_request_id {
            Some((id, routing)) => (id.to_str().unwrap_or("unreadable"), *routing),
            None => ("", 0),
        };
        let attempts: Vec<_> = self.attempts.iter().map(ToString::to_string).collect();
        let refusal = record.refusal.map(|r| r.to_string()).unwrap_or_default();
        log::info!(
            request = caller_request_id,
            number = record.request.0,
            service:% = record.service,
            organisation:% = record.organisation,
            routing,
            outcome,
            refusal,
            status = record.status.unwrap_or_default(),
            run:% = record.execution,
            expired = self.expired.map_or("", Into::into),
            queued_ms = self.queued_for.unwrap_or_default().as_millis(),
            head_ms = record.latency.as_millis(),
            millis = self.elapsed_millis(),
            sent = record.sent_bytes,
            attempts = attempts.join(";");
            "proxy: request ended"
        );
    }

    /// Returns the outcome as it is labelled in metrics and logs.
    fn outcome_label(&self) -> &'static str {
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
        if let Some(request_body) = &self.request_body {
            self.record.received_bytes = request_body.received_bytes();
        }
        self.record.execution = self.execution();
        if let Some(claim) = self.claim.take() {
            claim.settle(self.record.execution, None);
        }
        if let Some(permit) = self.permit.take()
            && self.record.execution == outcome::Execution::Unknown
        {
            permit.spend();
        }
        self.write_log();
        let record = &self.record;
        let seconds = self.started_at.elapsed().as_secs_f64();
        self.common
            .metrics
            .record_request(&record.service, self.outcome_label(), seconds);
        self.common.meter.record(record);
        self.common.traces.push(trace::Trace {
            request: record.request.0,
            ended_at_millis: clock::wall_millis(),
            service: record.service.clone(),
            organisation: record.organisation.clone(),
            attempts: std::mem::take(&mut self.attempts),
            status: record.status,
            refusal: record.refusal,
            run: record.execution,
            whole: record.complete,
        });
    }
}
