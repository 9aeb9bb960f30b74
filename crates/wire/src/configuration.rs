//! Calls for the anti-entropy reconciliation of configuration objects.

use monsooncart_config::object;

/// A configuration object and the version stored by a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct ObjectVersion {
    /// Key of the object.
    pub key: object::Key,
    /// Stored version; 0 if the object is not stored.
    pub version: u64,
}

/// Digest of the caller's configuration, by hash buckets.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Digest {
    /// Hash of the keys and versions in each bucket.
    pub buckets: Vec<u64>,
    /// Time since a watcher last received an answer from the platform, as known to the caller, in
    /// milliseconds; `None` if the caller knows of no answer.
    pub age_millis: Option<u32>,
}

/// The callee's objects in the buckets that differ.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Difference {
    /// Keys and versions of the stored objects.
    pub versions: Vec<ObjectVersion>,
    /// Like [`Digest::age_millis`], as known to the callee.
    pub age_millis: Option<u32>,
}

/// Requests the objects of which the callee stores a newer version.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Pull {
    /// Requested objects, with the versions that the caller stores.
    pub versions: Vec<ObjectVersion>,
}

/// A configuration object with its value.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Object {
    /// Key of the object.
    pub key: object::Key,
    /// Version of the value.
    pub version: u64,
    /// Value at this version.
    pub value: object::Value,
}

/// Newer objects, limited to the size of a frame.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Objects {
    /// Objects in the order of the request.
    pub objects: Vec<Object>,
    /// Whether further requested objects are newer.
    pub more: bool,
}
