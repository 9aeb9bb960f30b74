//! The platform's lagging list of VMs.

use std::net;

use monsooncart_types::id;

use crate::store;

/// What the platform says of a VM.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize, strum::Display,
)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum State {
    /// It runs.
    Live,
    /// It is going to be stopped.
    Leaving,
    /// It is gone for good: nothing that ran on it runs any more.
    Gone,
}

/// An entry VM.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Vm {
    /// Its name.
    pub name: id::Vm,
    /// Where its daemon listens for other daemons.
    pub peers: net::SocketAddr,
    /// Where it stands.
    pub data_centre: id::DataCentre,
    /// Its state.
    pub state: State,
}

/// The VM list.
pub trait List: Send + Sync {
    /// Reads the list.
    fn vms(&self) -> store::Call<'_, Vec<Vm>>;
}
