//! Compact identifiers that are valid for the lifetime of a process.

/// A backend server of one service; the same name always has the same handle.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct Server(pub u32);

/// A run of a server, which a crash ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Run {
    /// The server.
    pub server: Server,
    /// Start of the run, in milliseconds since 1970; 0 if the server doesn't tell its runs apart.
    pub started_millis: u64,
}

/// An organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Organisation(pub u32);

/// A route, whose requests need similar work; the default stands for all that are not told apart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Route(pub u64);

/// A request received from a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, derive_more::Display)]
pub struct Request(pub u64);

/// One attempt to have a backend server execute a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, derive_more::Display)]
pub struct Attempt(pub u64);

/// A hash by which repeats of a request are recognised: of its method, path and body, or of its
/// head alone while its body is unknown.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Set in fingerprints of heads.
    const HEAD_BIT: u64 = 1 << 63;

    /// Fingerprint of a whole request.
    #[must_use]
    pub fn of_request(digest: u64) -> Self {
        Self(digest & !Self::HEAD_BIT)
    }

    /// Fingerprint of a head, which other requests may share.
    #[must_use]
    pub fn of_head(digest: u64) -> Self {
        Self(digest | Self::HEAD_BIT)
    }

    /// Whether other requests may share the fingerprint.
    #[must_use]
    pub fn is_of_head(self) -> bool {
        self.0 & Self::HEAD_BIT != 0
    }
}
