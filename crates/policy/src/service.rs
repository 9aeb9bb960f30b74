//! Interface for all decisions about one service's requests and servers.

use monsooncart_types::time;

use crate::{action, event, handle};

/// State of a server in a policy, for operators.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct View {
    /// Handle of the server.
    pub server: handle::Server,
    /// One of `active`, `suspect`, `ejected`, `returning`, `closed` and `leaving`.
    pub state: &'static str,
    /// Attempts of this daemon in flight.
    pub in_flight: u32,
    /// Suspicion, in thousandths of the ejection threshold.
    pub suspicion: u32,
    /// Median time to the response head, in milliseconds.
    pub median_millis: u32,
    /// Evidence about the server, as text.
    pub evidence: String,
}

/// What would become of a request.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, strum::Display, serde::Serialize, serde::Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// It would be sent to a server.
    Send,
    /// Another daemon would relay it.
    Relay,
    /// It would wait for room.
    Wait,
    /// It would be refused.
    Refuse,
}

/// How a server is weighed for a request.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Candidate {
    /// Handle of the server.
    pub server: handle::Server,
    /// Cost of an attempt, in units of one failed request; `None` if none may be sent.
    pub cost: Option<f64>,
    /// Probability that an attempt fails, in thousandths.
    pub risk: u32,
    /// Known attempts in flight at the server.
    pub load: u32,
    /// Number of requests that the server processes concurrently.
    pub slots: u32,
    /// Age of the last evidence about the server, in milliseconds.
    pub evidence_age_millis: u64,
    /// Why no attempt may be sent.
    pub excluded: Option<String>,
}

/// Where a request would go now, and why.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Explanation {
    /// What would become of it.
    pub verdict: Verdict,
    /// The reason, for operators.
    pub reason: String,
    /// Number of requests that wait for room.
    pub waiting: usize,
    /// Expected time until those have left the queue, in milliseconds.
    pub wait_millis: u64,
    /// The servers, the one with the lowest cost first.
    pub candidates: Vec<Candidate>,
}

/// Routing and health policy of one service.
///
/// Every request that arrives eventually gets either a [`Send`](action::Action::Send) whose attempt
/// is answered, or exactly one [`Refuse`](action::Action::Refuse), unless its caller disconnects.
/// The caller of [`Policy::handle`] reports the result of each `Send` with one
/// [`Finish`](event::Event::Finish).
pub trait Policy: Send {
    /// Processes an event and appends the resulting actions to `actions`.
    fn handle(&mut self, now: time::Time, event: event::Event, actions: &mut Vec<action::Action>);

    /// Whether no timer is pending, so that no tick is needed until the next event.
    fn is_idle(&self) -> bool {
        false
    }

    /// Returns the evidence to report to the daemons that share the service: one digest for each
    /// server that needs a report.
    fn digest(&mut self, now: time::Time) -> Vec<(handle::Server, event::Digest)>;

    /// Whether a request with this fingerprint may have crashed a server.
    fn is_suspected(&self, _fingerprint: handle::Fingerprint) -> bool {
        false
    }

    /// Whether a request with this fingerprint is refused.
    fn is_quarantined(&self, _now: time::Time, _fingerprint: handle::Fingerprint) -> bool {
        false
    }

    /// Explains where a request would go that arrived now; `None` if the policy explains nothing.
    fn explain(&self, _now: time::Time, _arrival: event::Arrival) -> Option<Explanation> {
        None
    }

    /// Returns the state of each server.
    fn view(&self, now: time::Time) -> Vec<View>;
}
