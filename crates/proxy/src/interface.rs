//! What the request path needs of the rest of the daemon.

use std::net;
use std::time::Duration;

use futures_util::future::BoxFuture;
use monsooncart_policy::claims::{claim, ticket};
use monsooncart_policy::{handle, outcome, service};
use monsooncart_types::id;

/// An address that callers may use.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// Where the daemon listens for callers.
    pub address: net::SocketAddr,
    /// Where it stands.
    pub data_centre: id::DataCentre,
}

/// The rest of the fleet.
pub trait Fleet: Send + Sync {
    /// Asks for a server to be taken out of service; the answer comes back as an event.
    fn eject(&self, service: &id::Service, server: &id::Server, evidence: String);

    /// Asks for a server to be put back in service; the answer comes back as an event.
    fn restore(&self, service: &id::Service, server: &id::Server);

    /// Tells all daemons that a request broke a server.
    fn report_crash(
        &self,
        service: &id::Service,
        request: handle::Fingerprint,
        server: &id::Server,
    );

    /// Tells all daemons to refuse a request.
    fn quarantine(&self, service: &id::Service, request: handle::Fingerprint, span: Duration);

    /// Tells all daemons that a server said that it is leaving.
    fn report_leaving(&self, service: &id::Service, server: &id::Server);

    /// The addresses that callers of a service are to use, nearest first, and the answer's
    /// lifetime; `None` for an unknown service.
    fn entries(&self, service: &id::Service) -> Option<(Vec<Entry>, Duration)>;

    /// There is evidence or load that other daemons have not heard of.
    fn wake_gossip(&self) {}

    /// Daemons that share a service's traffic, this one included.
    fn daemon_count(&self, service: &id::Service) -> u32;
}

/// Claims on tickets.
pub trait Claims: Send + Sync {
    /// Mints a ticket; `None` while the daemon is stopping.
    fn mint(&self) -> Option<ticket::Ticket>;

    /// Claims a ticket for a received request. The caller sends only after `Ok`.
    fn claim(
        &self,
        ticket: ticket::Ticket,
        request: handle::Request,
    ) -> BoxFuture<'_, Result<(), claim::Refusal>>;

    /// Opens a claimed ticket again: its request was not run and never will be.
    fn release(&self, ticket: ticket::Ticket, request: handle::Request) -> BoxFuture<'_, ()>;

    /// Records how the claimed request ended: `Answered` or `Unknown`.
    fn settle(
        &self,
        ticket: ticket::Ticket,
        request: handle::Request,
        state: claim::State,
    ) -> BoxFuture<'_, ()>;

    /// Where the work of a ticket stands.
    fn outcome(
        &self,
        ticket: ticket::Ticket,
    ) -> BoxFuture<'_, Result<claim::State, claim::Refusal>>;
}

/// What one request used and how it ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// This daemon's number of the request.
    pub request: handle::Request,
    /// On whose behalf it came.
    pub organisation: id::Organisation,
    /// The service.
    pub service: id::Service,
    /// The last server that it was sent to.
    pub server: Option<id::Server>,
    /// Attempts made.
    pub attempts: u32,
    /// Status that the caller got; `None` where it went away first.
    pub status: Option<u16>,
    /// Why the fleet itself answered, where it did.
    pub refusal: Option<outcome::Reason>,
    /// Whether the work may have run.
    pub run: outcome::Execution,
    /// Whether the answer reached the caller whole.
    pub complete: bool,
    /// Body bytes received from the caller.
    pub received_bytes: u64,
    /// Body bytes sent to the caller.
    pub sent_bytes: u64,
    /// Time to the head of the answer.
    pub latency: Duration,
}

/// Accounts for requests.
pub trait Meter: Send + Sync {
    /// Takes the record of a request that ended.
    fn record(&self, record: &Record);
}

/// Makes the policy of a service.
pub trait Policies: Send + Sync {
    /// A policy without servers; its `Inventory` event follows.
    fn policy(&self, service: &id::Service) -> Box<dyn service::Policy>;
}
