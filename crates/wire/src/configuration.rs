//! Calls for the anti-entropy reconciliation of configuration objects.

use std::net::SocketAddr;

use bytes::Bytes;
use monsooncart_config::object;
use monsooncart_config::routing::part;

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

/// Requests parts of a version of the routing.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct PartsRequest {
    /// Version of the object that the caller transfers.
    pub version: u64,
    /// Peer listener of a daemon that stores this version.
    pub holder: SocketAddr,
    /// The requested parts; `None` if the caller does not have the manifest.
    pub parts: Option<Vec<part::Digest>>,
}

/// The manifest of a version of the routing.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Manifest {
    /// Version of the object.
    pub version: u64,
    /// List of the parts.
    pub manifest: part::Manifest,
}

/// What the callee has of the requested version; empty if it has nothing that the caller lacks, or
/// no bandwidth to send it.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct PartsReply {
    /// The manifest, if the caller does not have it or the callee has one of a newer version.
    pub manifest: Option<Manifest>,
    /// Contents of requested parts, limited in size.
    pub contents: Vec<Bytes>,
}
