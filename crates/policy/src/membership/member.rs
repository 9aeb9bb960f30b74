//! Members of the fleet and their states.

use std::net;

use monsooncart_types::{id, instance};

use crate::rank;
use crate::rollout::tree;

/// State of a member.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
    strum::Display,
    strum::EnumIter,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum State {
    /// It answers probes.
    Alive,
    /// It missed a probe and has not refuted the suspicion yet.
    Suspect,
    /// It did not refute the suspicion in time. It may still be running and can become alive again.
    Dead,
    /// It announced its exit; final.
    Left,
    /// Its VM no longer exists according to the VM list; final.
    Gone,
}

impl State {
    /// Whether the member is considered to be running.
    #[must_use]
    pub const fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }

    /// Whether the daemon instance has certainly terminated.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Left | Self::Gone)
    }
}

/// A daemon of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Member {
    /// Name of its VM.
    pub vm: id::Vm,
    /// Instance of the daemon process.
    pub instance: instance::Instance,
    /// Address at which it listens for other daemons.
    pub peers: net::SocketAddr,
    /// Address at which it listens for callers.
    pub callers: net::SocketAddr,
    /// Address at which it listens for operators.
    pub admin: net::SocketAddr,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// Its region.
    pub region: id::Region,
    /// Its state.
    pub state: State,
    /// Whether it is draining before its exit; never reset for an instance.
    pub leaving: bool,
    /// Processing capacity in thousandths of a core, comparable within one deployment.
    pub capacity: u32,
}

impl Member {
    /// Whether it may be assigned new responsibilities.
    #[must_use]
    pub const fn is_eligible(&self) -> bool {
        self.state.is_live() && !self.leaving
    }
}

impl rank::Ranked for Member {
    fn name(&self) -> &id::Vm {
        &self.vm
    }
}

impl tree::Node for Member {
    fn capacity(&self) -> u32 {
        self.capacity
    }
}
