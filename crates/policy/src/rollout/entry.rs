//! Key and version of an object.

/// Version of an object, assigned by the platform.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
    derive_more::Display,
)]
pub struct Version(pub u64);

/// Key and version of one object.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Entry<K> {
    /// Key of the object.
    pub key: K,
    /// Its version.
    pub version: Version,
}
