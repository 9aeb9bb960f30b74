//! The border of all decisions about one service's requests and servers.

use monsooncart_types::time;

use crate::{action, event, handle};

/// What a policy holds of a server, for operators.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct View {
    /// Stands for the server.
    pub server: handle::Server,
    /// Its state: `active`, `suspect`, `ejected`, `returning` or `leaving`.
    pub state: &'static str,
    /// Attempts of this daemon in flight.
    pub in_flight: u32,
    /// Strength of the suspicion, in thousandths of what an ejection needs.
    pub suspicion: u32,
    /// Median time to the head of an answer, in milliseconds.
    pub median_millis: u32,
    /// The evidence in words.
    pub evidence: String,
}

/// Decides about one service.
///
/// Every request that arrives gets in the end either a `Send` whose attempt is answered, or one
/// `Refuse`. The caller of [`Policy::handle`] reports each `Send` back by one `Finish`.
pub trait Policy: Send {
    /// Takes an event and appends the actions that follow.
    fn handle(&mut self, now: time::Time, event: event::Event, actions: &mut Vec<action::Action>);

    /// Whether nothing waits for time to pass, so that no tick is needed until the next event.
    fn is_idle(&self) -> bool {
        false
    }

    /// This daemon's evidence since it was asked for last, to be told to the daemons that share
    /// the service.
    fn digest(&mut self, now: time::Time) -> Vec<(handle::Server, event::Digest)>;

    /// What is held of each server.
    fn view(&self, now: time::Time) -> Vec<View>;
}
