//! Compact identifiers that are valid for the lifetime of a process.

/// A backend server of one service; the same name always has the same handle.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct Server(pub u32);

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

/// A hash of a request's method, path and body that identifies repeats of the request.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct Fingerprint(pub u64);
