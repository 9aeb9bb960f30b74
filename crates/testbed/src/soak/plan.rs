//! What may go wrong, and in which stages.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom as _;
use rand::{RngExt as _, seq};
use strum::IntoEnumIterator as _;

/// A part of a soak.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Stage {
    /// Anything comes.
    Trouble,
    /// Only planned work comes.
    Planned,
}

/// Stages in turn, without end.
pub fn stages() -> impl Iterator<Item = Stage> {
    [Stage::Planned, Stage::Trouble].into_iter().cycle()
}

/// A kind of trouble or of planned work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    /// A server treats requests in one of its sick modes.
    ServerSick,
    /// A server takes many times as long.
    ServerSlow,
    /// Open connections to a server pass nothing more.
    ServerSilent,
    /// Open connections to a server are reset.
    ServerReset,
    /// One direction to a server is cut.
    ServerCut,
    /// What passes to a server is delayed.
    ServerDelay,
    /// A server ends, and another service gets its address.
    ServerReplaced,
    /// The store refuses all calls.
    StoreBusy,
    /// The store takes calls and never answers.
    StoreSilent,
    /// The store forgets its history.
    StoreForgets,
    /// A daemon's way to the store is cut.
    StoreCut,
    /// A daemon's ways from its peers are cut, in one or both directions.
    PeersCut,
    /// Some datagrams to a daemon are lost.
    PeersLossy,
    /// A daemon stands still.
    Pause,
    /// A daemon is killed and started again.
    Kill,
    /// Half of the daemons are killed at once.
    HerdKill,
    /// A daemon is told to stop, and started again once it has.
    Stop,
    /// A daemon is told that its settings changed.
    Reload,
    /// The configuration changes.
    Change,
    /// A server says that it leaves, serves on for a while and goes; another comes.
    Leave,
}

impl Kind {
    /// Whether it is planned work.
    #[must_use]
    pub fn is_planned(self) -> bool {
        matches!(self, Self::Stop | Self::Reload | Self::Change | Self::Leave)
    }

    /// Draws a kind that may come in a stage.
    pub fn draw(stage: Stage, rng: &mut StdRng) -> Self {
        let may = |kind: &Self| stage == Stage::Trouble || kind.is_planned();
        let kinds: Vec<_> = Self::iter().filter(may).collect();
        kinds.choose(rng).copied().unwrap_or(Self::Change)
    }
}

/// Time between two troubles of a series.
pub fn gap(rng: &mut StdRng) -> Duration {
    Duration::from_millis(rng.random_range(100..1200))
}

/// How long a trouble lasts.
pub fn span(rng: &mut StdRng) -> Duration {
    Duration::from_millis(rng.random_range(300..4000))
}

/// Some of `count` things, at least one.
pub fn some(count: usize, share: f64, rng: &mut StdRng) -> Vec<usize> {
    let amount = ((count as f64 * share) as usize).clamp(1, count.max(1));
    seq::index::sample(rng, count.max(1), amount).into_vec()
}
