//! Converts the proxy's request records to usage samples.
//!
//! A sample has the outcome of the request as its caller saw it, and the cause to report if the
//! request consumes error budget.

use std::sync::Arc;

use monsooncart_policy::outcome;
use monsooncart_proxy::interface;
use monsooncart_usage::sample;

use crate::accounts;

/// Lowest HTTP status of a server error.
const MIN_SERVER_ERROR_STATUS: u16 = 500;

/// Implements the proxy's metering interface.
pub struct Meter {
    /// Usage accounts; `None` in gateway deployments, which do not distinguish organisations.
    pub accounts: Option<Arc<accounts::Accounts>>,
}

impl interface::Meter for Meter {
    fn record(&self, record: &interface::Record) {
        if let Some(accounts) = &self.accounts {
            accounts.record(&sample(record));
        }
    }
}

/// The usage sample of a completed request.
#[must_use]
pub fn sample(record: &interface::Record) -> sample::Sample {
    let outcome = outcome(record);
    sample::Sample {
        organisation: record.organisation.clone(),
        service: record.service.clone(),
        outcome,
        attempts: record.attempts,
        received: record.received_bytes,
        sent: record.sent_bytes,
        latency: record.latency,
        cause: Some(cause(record, outcome)),
    }
}

fn outcome(record: &interface::Record) -> sample::Outcome {
    match (record.status, record.refusal, record.execution) {
        (None, ..) => sample::Outcome::Abandoned,
        (_, Some(_), outcome::Execution::NotRun) => sample::Outcome::Refused,
        (_, Some(_), outcome::Execution::Unknown) => sample::Outcome::Unknown,
        _ if !record.complete => sample::Outcome::Cut,
        (Some(MIN_SERVER_ERROR_STATUS..), ..) => sample::Outcome::Failed,
        _ => sample::Outcome::Answered,
    }
}

/// Why a request failed; for an answered request, the cause to count if the response was slow.
fn cause(record: &interface::Record, outcome: sample::Outcome) -> sample::Cause {
    let (fault, decision) = match (record.refusal, outcome) {
        (Some(reason), _) => refusal_cause(reason, record.attempts),
        (None, sample::Outcome::Failed) => (sample::Fault::Error, sample::Decision::Passed),
        (None, sample::Outcome::Cut) => (sample::Fault::Broken, sample::Decision::Passed),
        (None, _) => (sample::Fault::Slow, sample::Decision::Passed),
    };
    sample::Cause {
        server: record.server.clone(),
        fault,
        decision,
    }
}

fn refusal_cause(reason: outcome::Reason, attempts: u32) -> (sample::Fault, sample::Decision) {
    let decision_by_attempts = match attempts {
        0 => sample::Decision::Shed,
        1 => sample::Decision::NotRepeated,
        _ => sample::Decision::Exhausted,
    };
    match reason {
        outcome::Reason::Overload => (sample::Fault::Overload, sample::Decision::Shed),
        outcome::Reason::NoServer => (sample::Fault::NoServer, sample::Decision::Shed),
        outcome::Reason::Poison => (sample::Fault::Poison, sample::Decision::Quarantined),
        outcome::Reason::Unknown => (sample::Fault::Broken, sample::Decision::NotRepeated),
        outcome::Reason::Exhausted => (sample::Fault::Broken, sample::Decision::Exhausted),
        outcome::Reason::Timeout | outcome::Reason::Stopping => {
            (sample::Fault::Timeout, decision_by_attempts)
        }
    }
}
