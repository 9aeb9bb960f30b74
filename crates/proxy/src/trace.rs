//! What became of recent requests, for operators.

use std::collections::VecDeque;
use std::sync::Mutex;

use monsooncart_policy::{handle, outcome};
use monsooncart_types::{id, map};

use crate::lock::lock;

/// Requests kept.
const KEPT: usize = 8192;

/// One attempt of a request.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Attempt {
    /// The server.
    pub server: id::Server,
    /// Milliseconds from the request's arrival to the attempt's start.
    pub started_millis: u64,
    /// Milliseconds from the request's arrival to the attempt's end.
    pub ended_millis: u64,
    /// How it ended.
    pub end: String,
    /// What was known of the server when it was chosen.
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

/// What became of a request.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Trace {
    /// The request's number.
    pub request: u64,
    /// When it ended, in milliseconds since 1970 by the daemon's wall clock.
    pub ended_at_millis: u64,
    /// The service.
    pub service: id::Service,
    /// On whose behalf it came.
    pub organisation: id::Organisation,
    /// Its attempts, in the order of their ends.
    pub attempts: Vec<Attempt>,
    /// Status that the caller got; absent where it went away first.
    pub status: Option<u16>,
    /// Why the fleet itself answered, where it did.
    pub refusal: Option<outcome::Reason>,
    /// Whether the work may have run.
    pub run: outcome::Execution,
    /// Whether the answer reached the caller whole.
    pub whole: bool,
}

#[derive(Debug, Default)]
struct State {
    traces: map::Map<handle::Request, Trace>,
    order: VecDeque<handle::Request>,
}

/// Traces of the most recent requests.
#[derive(Debug, Default)]
pub(crate) struct Ring {
    state: Mutex<State>,
}

impl Ring {
    /// Adds a trace and forgets the oldest where too many are kept.
    pub fn push(&self, trace: Trace) {
        let request = handle::Request(trace.request);
        let mut state = lock(&self.state);
        if state.order.len() == KEPT
            && let Some(oldest) = state.order.pop_front()
        {
            state.traces.remove(&oldest);
        }
        state.order.push_back(request);
        state.traces.insert(request, trace);
    }

    /// The trace of a request; `None` where it is not kept.
    pub fn get(&self, request: handle::Request) -> Option<Trace> {
        lock(&self.state).traces.get(&request).cloned()
    }
}
