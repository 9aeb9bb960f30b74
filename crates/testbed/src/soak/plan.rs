//! Kinds of disturbances (faults and planned operations), and the stages in which they occur.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom as _;
use rand::{RngExt as _, seq};
use strum::IntoEnumIterator as _;

/// A stage of a soak test.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Stage {
    /// Faults and planned operations.
    Trouble,
    /// Planned operations only.
    Planned,
}

/// Returns the alternating stages, without end.
pub fn stages() -> impl Iterator<Item = Stage> {
    [Stage::Planned, Stage::Trouble].into_iter().cycle()
}

/// A kind of disturbance: a fault or a planned operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    /// A server handles requests in one of its fault modes.
    ServerSick,
    /// A server is slow.
    ServerSlow,
    /// Open connections to a server stay open but transfer nothing more.
    ServerSilent,
    /// Open connections to a server are reset.
    ServerReset,
    /// One direction of the link to a server is partitioned.
    ServerCut,
    /// Traffic to and from a server is delayed.
    ServerDelay,
    /// A server is removed, and another service reuses its address.
    ServerReplaced,
    /// The store rejects all calls.
    StoreBusy,
    /// The store accepts calls and never responds.
    StoreSilent,
    /// The store compacts its history.
    StoreForgets,
    /// The store is restored from a backup, and its writers write again.
    StoreRestored,
    /// A daemon is partitioned from the store.
    StoreCut,
    /// Connections between some daemons and all servers hang.
    PathsCut,
    /// Connections that some daemons open to servers are reset.
    PathsReset,
    /// One direction between a daemon and its peers is partitioned.
    PeersCut,
    /// Some datagrams to a daemon are lost.
    PeersLossy,
    /// A daemon process is suspended.
    Pause,
    /// A daemon is killed and restarted.
    Kill,
    /// Half of the daemons are killed at the same time.
    HerdKill,
    /// A daemon is stopped as planned, and restarted after it has exited.
    Stop,
    /// A daemon reloads its settings.
    Reload,
    /// The configuration changes.
    Change,
    /// A server starts draining and is removed some time later; another is added.
    Leave,
}

impl Kind {
    /// Whether it is a planned operation, not a fault.
    #[must_use]
    pub fn is_planned(self) -> bool {
        matches!(self, Self::Stop | Self::Reload | Self::Change | Self::Leave)
    }

    /// Draws a kind that may occur in a stage.
    pub fn draw(stage: Stage, rng: &mut StdRng) -> Self {
        let is_allowed = |kind: &Self| stage == Stage::Trouble || kind.is_planned();
        let kinds: Vec<_> = Self::iter().filter(is_allowed).collect();
        kinds.choose(rng).copied().unwrap_or(Self::Change)
    }
}

/// Draws the time until the next disturbance of a stage.
pub fn draw_interval(rng: &mut StdRng) -> Duration {
    Duration::from_millis(rng.random_range(100..1200))
}

/// Draws the duration of a disturbance.
pub fn draw_duration(rng: &mut StdRng) -> Duration {
    Duration::from_millis(rng.random_range(300..4000))
}

/// Draws distinct indices below `count`: `share` of them, and at least one.
pub fn sample_indices(count: usize, share: f64, rng: &mut StdRng) -> Vec<usize> {
    let amount = ((count as f64 * share) as usize).clamp(1, count.max(1));
    seq::index::sample(rng, count.max(1), amount).into_vec()
}
