//! Traits through which the request path uses the rest of the daemon.

use std::io;
use std::net;
use std::time::Duration;

use futures_util::future::BoxFuture;
use monsooncart_config::routing::access;
use monsooncart_policy::claims::{claim, ticket};
use monsooncart_policy::{allowance, handle, inventory, outcome, service};
use monsooncart_types::{id, instance, rate, run};

use crate::relay;

/// An address at which callers can reach the fleet.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// Address of the daemon's caller listener.
    pub address: net::SocketAddr,
    /// Data centre of the daemon.
    pub data_centre: id::DataCentre,
}

/// Coordination with the rest of the fleet.
pub trait Fleet: Send + Sync {
    /// Requests the ejection of a server; the decision arrives as an event.
    fn eject(&self, service: &id::Service, server: &id::Server, evidence: String);

    /// Requests that an ejected server be restored; the decision arrives as an event.
    fn restore(&self, service: &id::Service, server: &id::Server);

    /// Reports to all daemons that a request crashed a server.
    fn report_crash(&self, service: &id::Service, fingerprint: handle::Fingerprint, run: &run::Run);

    /// Reports to all daemons that a server answered a request which was suspected of crashes.
    fn report_acquittal(&self, service: &id::Service, fingerprint: handle::Fingerprint);

    /// Makes all daemons refuse a request for the given duration.
    fn quarantine(
        &self,
        service: &id::Service,
        fingerprint: handle::Fingerprint,
        duration: Duration,
    );

    /// Reports to all daemons that a run of a server announced that it is leaving.
    fn report_leaving(&self, service: &id::Service, server: &id::Server, started_millis: u64);

    /// Reports to all daemons the rate limit that a server announces, or that it no longer announces
    /// one.
    fn report_rate_limit(
        &self,
        service: &id::Service,
        server: &id::Server,
        started_millis: u64,
        limit: Option<rate::Rate>,
    );

    /// Returns the addresses for callers of a service, nearest first, and how long a caller may
    /// cache them; `None` for an unknown service.
    fn entries(&self, service: &id::Service) -> Option<(Vec<Entry>, Duration)>;

    /// Wakes the gossip sender to publish new evidence and load.
    fn wake_gossip(&self) {}

    /// Returns the daemons that share a service's traffic, in ascending order.
    fn daemons(&self, service: &id::Service) -> Vec<instance::Instance>;

    /// Returns the daemons that can relay requests for a service, sorted by instance.
    fn relays(&self, _service: &id::Service) -> Vec<inventory::Relay> {
        Vec::new()
    }

    /// Returns the name of a daemon's VM; `None` if the daemon is unknown.
    fn vm(&self, _daemon: instance::Instance) -> Option<id::Vm> {
        None
    }

    /// Opens a connection over which another daemon relays requests.
    ///
    /// # Errors
    ///
    /// If the daemon is unknown, cannot be reached or does not relay.
    fn open_relay(
        &self,
        _daemon: instance::Instance,
    ) -> BoxFuture<'_, io::Result<Box<dyn relay::Stream>>> {
        Box::pin(std::future::ready(Err(io::ErrorKind::Unsupported.into())))
    }

    /// Reports to the fleet whether this daemon has lost its path to the servers of a service.
    fn report_path(&self, _service: &id::Service, _lost: bool) {}

    /// Decides whether an organisation's allowance, which all daemons share, admits a request;
    /// `is_first` is false for a request that was undecided before.
    fn admit(
        &self,
        _organisation: &id::Organisation,
        _allowance: &access::Allowance,
        _is_first: bool,
    ) -> allowance::Decision {
        allowance::Decision::Admit {
            after: Duration::ZERO,
        }
    }

    /// This daemon's share of an organisation's allowance; `None` if it is not known.
    fn allowance_share(&self, _organisation: &id::Organisation) -> Option<f64> {
        None
    }

    /// Gives back what a request took of its organisation's allowance, as it has not run.
    fn refund(&self, _organisation: &id::Organisation) {}
}

/// Decides claims on tickets, so that the unrepeatable work of a ticket runs at most once.
pub trait Claims: Send + Sync {
    /// Issues a ticket; `None` while the daemon is stopping.
    fn mint(&self) -> Option<ticket::Ticket>;

    /// Claims a ticket for a received request, which may be sent only after `Ok`.
    fn claim(
        &self,
        ticket: ticket::Ticket,
        request: handle::Request,
    ) -> BoxFuture<'_, Result<(), claim::Refusal>>;

    /// Releases a claimed ticket whose request was not run and never will be.
    fn release(&self, ticket: ticket::Ticket, request: handle::Request) -> BoxFuture<'_, ()>;

    /// Records the outcome of the claimed request: `Answered` or `Unknown`.
    fn settle(
        &self,
        ticket: ticket::Ticket,
        request: handle::Request,
        state: claim::State,
    ) -> BoxFuture<'_, ()>;

    /// Returns the state of a ticket's work.
    fn outcome(
        &self,
        ticket: ticket::Ticket,
    ) -> BoxFuture<'_, Result<claim::State, claim::Refusal>>;
}

/// Usage and outcome of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Number of the request at this daemon.
    pub request: handle::Request,
    /// Organisation that sent the request.
    pub organisation: id::Organisation,
    /// Requested service.
    pub service: id::Service,
    /// Last server that the request was sent to.
    pub server: Option<id::Server>,
    /// Number of attempts made.
    pub attempts: u32,
    /// Status sent to the caller; `None` if the caller disconnected first.
    pub status: Option<u16>,
    /// Reason of a refusal by the fleet.
    pub refusal: Option<outcome::Reason>,
    /// Whether the request may have run.
    pub execution: outcome::Execution,
    /// Whether the whole response was sent to the caller.
    pub complete: bool,
    /// Body bytes received from the caller.
    pub received_bytes: u64,
    /// Body bytes sent to the caller.
    pub sent_bytes: u64,
    /// Time from arrival to the response head.
    pub latency: Duration,
}

/// Accounts for requests.
pub trait Meter: Send + Sync {
    /// Records a finished request.
    fn record(&self, record: &Record);
}

/// Creates the balancing policies of services.
pub trait Policies: Send + Sync {
    /// Creates a policy without servers; an `Inventory` event follows.
    fn create_policy(&self, service: &id::Service) -> Box<dyn service::Policy>;
}
