//! Strategies by which daemons share the slots of servers.

/// How a daemon takes the load of other daemons into account.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    strum::Display,
    strum::EnumIter,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Strategy {
    /// Power of two choices on this daemon's attempts in flight.
    #[default]
    PowerOfTwo,
    /// Power of two choices on the attempts in flight of this daemon and its peers.
    SharedLoad,
    /// The slots are divided between the daemons; slots of other daemons are borrowed while they
    /// appear unused.
    DividedSlots,
}
