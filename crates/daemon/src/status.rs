//! Response body of `/v1/status`.

use std::collections::BTreeMap;
use std::net;

use monsooncart_policy::membership::member;
use monsooncart_types::{id, instance};

/// Lifecycle phase of a daemon.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize, strum::Display,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Phase {
    /// Waiting for a first configuration.
    Starting,
    /// Serving callers.
    Serving,
    /// Stopping as planned: removed from the entry responses, still serving.
    Draining,
}

/// One daemon's view of a server.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Server {
    /// Name of the server.
    pub name: id::Server,
    /// Health state of the server.
    pub state: String,
    /// This daemon's attempts in flight to the server.
    pub in_flight: u32,
    /// Strength of the suspicion, in thousandths of the ejection threshold.
    pub suspicion: u32,
    /// Median time to the response head, in milliseconds.
    pub median_millis: u32,
}

/// One daemon's view of a member of the fleet.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Member {
    /// VM of the daemon.
    pub vm: id::Vm,
    /// Instance id of the daemon.
    pub instance: instance::Instance,
    /// Address of its admin listener.
    pub admin: net::SocketAddr,
    /// Data centre of the daemon.
    pub data_centre: id::DataCentre,
    /// Membership state, or `leaving`.
    pub state: String,
}

impl From<&member::Member> for Member {
    fn from(member: &member::Member) -> Self {
        let state = match member.leaving {
            true => "leaving".to_owned(),
            false => member.state.to_string(),
        };
        Self {
            vm: member.vm.clone(),
            instance: member.instance,
            admin: member.admin,
            data_centre: member.data_centre.clone(),
            state,
        }
    }
}

/// Status of a daemon.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Status {
    /// VM of the daemon.
    pub vm: id::Vm,
    /// Instance id of the daemon.
    pub instance: instance::Instance,
    /// Lifecycle phase.
    pub phase: Phase,
    /// Number of requests in flight.
    pub in_flight: usize,
    /// Version in force of each configuration object.
    pub configuration: BTreeMap<String, u64>,
    /// Members known to the daemon.
    pub members: Vec<Member>,
    /// Servers of each service.
    pub services: BTreeMap<id::Service, Vec<Server>>,
}
