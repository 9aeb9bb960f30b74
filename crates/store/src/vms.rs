//! The platform's list of VMs, which may be outdated.

use std::net;

use monsooncart_types::id;

use crate::store;

/// State of a VM according to the platform.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize, strum::Display,
)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum State {
    /// Running.
    Live,
    /// Draining: about to be stopped.
    Leaving,
    /// Terminated permanently: none of its processes is running.
    Gone,
}

/// An entry VM.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Vm {
    /// Name, unique within the fleet.
    pub name: id::Vm,
    /// Address at which its daemon listens for other daemons.
    pub peers: net::SocketAddr,
    /// Data centre that it is in.
    pub data_centre: id::DataCentre,
    /// State according to the platform.
    pub state: State,
}

/// Source of the VM list.
pub trait List: Send + Sync {
    /// Reads the list.
    fn vms(&self) -> store::CallFuture<'_, Vec<Vm>>;
}
