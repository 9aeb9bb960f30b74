//! Traces of recent requests, for operators.

use std::collections::VecDeque;
use std::sync::Mutex;

use monsooncart_policy::{handle, outcome};
use monsooncart_types::{id, map};

use crate::lock::lock;

/// Maximum number of stored traces.
const MAX_TRACES: usize = 8192;

/// One attempt of a request.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Attempt {
    /// Server of the attempt.
    pub server: id::Server,
    /// Milliseconds from the request's arrival to the attempt's start.
    pub started_millis: u64,
    /// Milliseconds from the request's arrival to the attempt's end.
    pub ended_millis: u64,
    /// Result of the attempt.
    pub end: String,
    /// What was known about the server when it was selected.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub grounds: String,
}

impl std::fmt::Display for Attempt {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self {
            server,
            started_millis,
            ended_millis,
            end,
            grounds,
        } = self;
        write!(
            f,
            "{server}@{started_millis}-{ended_millis}ms:{end}({grounds})"
        )
    }
}

/// Attempts and outcome of a request.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Trace {
    /// Number of the request.
    pub request: u64,
    /// Wall-clock time of its completion, in milliseconds since the Unix epoch.
    pub ended_at_millis: u64,
    /// Requested service.
    pub service: id::Service,
    /// Organisation that sent the request.
    pub organisation: id::Organisation,
    /// Attempts in the order in which they finished.
    pub attempts: Vec<Attempt>,
    /// Status sent to the caller; absent if the caller disconnected first.
    pub status: Option<u16>,
    /// Reason of a refusal by the fleet.
    pub refusal: Option<outcome::Reason>,
    /// Whether the request may have run.
    pub run: outcome::Execution,
    /// Whether the whole response was sent to the caller.
    pub whole: bool,
}

#[derive(Debug, Default)]
struct State {
    traces: map::Map<handle::Request, Trace>,
    order: VecDeque<handle::Request>,
}

/// Bounded store of the most recent traces.
#[derive(Debug, Default)]
pub(crate) struct Ring {
    state: Mutex<State>,
}

impl Ring {
    /// Adds a trace and evicts the oldest one when the store is full.
    pub fn push(&self, trace: Trace) {
        let request = handle::Request(trace.request);
        let mut state = lock(&self.state);
        if state.order.len() == MAX_TRACES
            && let Some(oldest) = state.order.pop_front()
        {
            state.traces.remove(&oldest);
        }
        state.order.push_back(request);
        state.traces.insert(request, trace);
    }

    /// Returns the trace of a request; `None` if it is not stored.
    pub fn get(&self, request: handle::Request) -> Option<Trace> {
        lock(&self.state).traces.get(&request).cloned()
    }
}
