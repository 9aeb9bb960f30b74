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

    /// Returns the state of each server.
    fn view(&self, now: time::Time) -> Vec<View>;
}
