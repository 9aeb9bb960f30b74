//! Health states of a server.

/// Health state of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum State {
    /// In service.
    #[default]
    Active,
    /// In service with a reduced share of the traffic: its ejection was requested, denied or
    /// contradicted by peers.
    Suspect,
    /// Ejected from service.
    Ejected,
    /// In service again, with a growing share of the traffic.
    Returning,
}
