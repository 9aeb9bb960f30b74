//! Members.

use std::net;

use monsooncart_types::{id, instance};

use crate::rank;

/// Where a member stands in its life.
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
    /// It answers.
    Alive,
    /// It missed a probe and has not refuted yet.
    Suspect,
    /// It did not refute in time. It may be running all the same, and can come back.
    Dead,
    /// It said that it ended, or a later run of the same VM took its place; final.
    Left,
    /// The VM list says that its VM is gone; final.
    Gone,
}

impl State {
    /// Whether the member is taken to be running.
    #[must_use]
    pub const fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }

    /// Whether the run of the daemon has ended for certain.
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
    /// Its run.
    pub instance: instance::Instance,
    /// Where it listens for other daemons.
    pub peers: net::SocketAddr,
    /// Where it listens for callers.
    pub callers: net::SocketAddr,
    /// Where it listens for operators.
    pub admin: net::SocketAddr,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// Its region.
    pub region: id::Region,
    /// Where it stands in its life.
    pub state: State,
    /// Whether it is on its way out; sticky for the instance.
    pub leaving: bool,
    /// What it can carry, in thousandths of a core; daemons of one deployment compare.
    pub capacity: u32,
}

impl Member {
    /// Whether it may be given new duties.
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
