//! Accounting for requests.
//!
//! A record of the request path becomes a sample: how the request ended for its caller and, where
//! it spent some of the error budget, on what.

use std::sync::Arc;

use monsooncart_policy::outcome;
use monsooncart_proxy::interface;
use monsooncart_usage::sample;

use crate::accounts;

/// Lowest status of a server error.
const SERVER_ERROR: u16 = 500;

/// Counts what organisations use.
pub struct Meter {
    /// Where it is counted, where organisations are told apart.
    pub accounts: Option<Arc<accounts::Accounts>>,
}

impl interface::Meter for Meter {
    fn record(&self, record: &interface::Record) {
        if let Some(accounts) = &self.accounts {
            accounts.record(&sample(record));
        }
    }
}

/// The sample of a request that ended.
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
    match (record.status, record.refusal, record.run) {
        (None, ..) => sample::Outcome::Abandoned,
        (_, Some(_), outcome::Execution::NotRun) => sample::Outcome::Refused,
        (_, Some(_), outcome::Execution::Unknown) => sample::Outcome::Unknown,
        _ if !record.complete => sample::Outcome::Cut,
        (Some(SERVER_ERROR..), ..) => sample::Outcome::Failed,
        _ => sample::Outcome::Answered,
    }
}

/// Where a request went wrong; for an answered one, where it did so if the answer was late.
fn cause(record: &interface::Record, outcome: sample::Outcome) -> sample::Cause {
    let (fault, decision) = match (record.refusal, outcome) {
        (Some(reason), _) => refused(reason, record.attempts),
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

fn refused(reason: outcome::Reason, attempts: u32) -> (sample::Fault, sample::Decision) {
    let repeated = match attempts {
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
        outcome::Reason::Timeout => (sample::Fault::Timeout, repeated),
    }
}
