//! Responses of the daemons' explain paths.

use std::collections::BTreeMap;

use monsooncart_policy::floor::record;
use monsooncart_policy::service;
use monsooncart_types::id;

use crate::output;

/// A daemon's view of a server.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct View {
    /// Health state of the server.
    pub state: String,
    /// The daemon's attempts in flight to the server.
    pub in_flight: u32,
    /// Strength of the suspicion, in thousandths of the ejection threshold.
    pub suspicion: u32,
    /// Median time to the response head, in milliseconds.
    pub median_millis: u32,
    /// The evidence in words.
    pub evidence: String,
}

/// A daemon's copy of a service's ejection ledger.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Ledger {
    /// Version of the newest record.
    pub version: Option<u64>,
    /// The newest record.
    pub record: Option<record::Record>,
    /// Servers that are ejected in the daemon's view.
    pub ejected: Vec<id::Server>,
    /// Tokens that the daemon can spend.
    pub free: u64,
}

/// A decision of a daemon.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Decision {
    /// Time in milliseconds since the Unix epoch, by the daemon's wall clock.
    pub at_millis: u64,
    /// Kind of the decision.
    pub kind: String,
    /// Service that the decision concerns.
    pub service: id::Service,
    /// Server that the decision concerns, if any.
    pub server: Option<id::Server>,
    /// Number of the request that the decision concerns, if any.
    pub request: Option<u64>,
    /// The evidence in words.
    pub evidence: String,
}

impl Decision {
    /// Whether the decision concerns ejecting a server or restoring it to service.
    pub fn concerns_availability(&self) -> bool {
        let kinds = [
            "eject", "restore", "granted", "denied", "restored", "leaving",
        ];
        kinds.contains(&self.kind.as_str())
    }
}

/// A daemon's state of one server.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Server {
    /// The daemon's view; `None` if it does not know the server.
    pub view: Option<View>,
    /// Ledger of the server's service.
    pub ledger: Option<Ledger>,
    /// Recent decisions about the server.
    pub decisions: Vec<Decision>,
}

/// Where a request would go at a daemon.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Route {
    /// Version of the routing configuration.
    pub routing: u64,
    /// Name of the route.
    pub name: String,
    /// Path prefix of the route.
    pub prefix: String,
    /// Whether its requests may run more than once.
    pub repeatable: bool,
    /// Priority under overload.
    pub priority: u32,
    /// Organisation of the request.
    pub organisation: Option<RouteOrganisation>,
    /// Each service that receives requests of the route.
    pub services: Vec<RouteService>,
}

/// Organisation of a request.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct RouteOrganisation {
    /// Its name.
    pub name: id::Organisation,
    /// The daemon's share of its allowance.
    pub share: Option<f64>,
}

/// A service of a route.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct RouteService {
    /// Its name.
    pub service: id::Service,
    /// Its weight among the services of the route.
    pub weight: f64,
    /// What would become of the request.
    pub explanation: Option<Explanation>,
    /// Names of the candidates, in their order.
    pub servers: Vec<Option<id::Server>>,
}

/// What would become of a request.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Explanation {
    /// What would become of it.
    pub verdict: service::Verdict,
    /// The reason.
    pub reason: String,
    /// Number of requests that wait for room.
    pub waiting: usize,
    /// Expected time until those have left the queue, in milliseconds.
    pub wait_millis: u64,
    /// The servers, the one with the lowest cost first.
    pub candidates: Vec<Candidate>,
}

/// How a server is weighed for a request.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Candidate {
    /// Cost of an attempt.
    pub cost: Option<f64>,
    /// Probability that an attempt fails, in thousandths.
    pub risk: u32,
    /// Known attempts in flight at the server.
    pub load: u32,
    /// Number of requests that the server processes concurrently.
    pub slots: u32,
    /// Age of the last evidence, in milliseconds.
    pub evidence_age_millis: u64,
    /// Why no attempt may be sent.
    pub excluded: Option<String>,
}

/// Values of daemons, by VM.
pub type ByVm<T> = BTreeMap<String, T>;

/// Prints decisions, oldest first.
pub fn print_decisions(decisions: &[Decision]) {
    for decision in decisions {
        let server = decision.server.as_ref().map_or("-", id::Server::as_str);
        output::line(format_args!(
            "    {} {} {server}: {}",
            decision.at_millis, decision.kind, decision.evidence
        ));
    }
}
