//! Parts of a routing, in which it is transferred between daemons.
//!
//! Routes and services are hashed into parts by their names. A part is identified by the digest of
//! its content, so a daemon reuses the parts that two versions have in common, and accepts a part
//! from any peer. A [`Manifest`] lists the parts of one version.

use std::fmt;
use std::str;

use bytes::Bytes;
use monsooncart_types::map;
use sha2::Digest as _;

use crate::routing;

/// Mean number of routes and services of a part.
const ITEMS_PER_PART: usize = 64;

/// Maximum number of parts of a routing.
pub const MAX_PARTS: usize = 4096;

/// Number of bytes of a digest.
const DIGEST_BYTES: usize = 16;

/// SHA-256 of a part's content, truncated to 128 bits.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct Digest([u8; DIGEST_BYTES]);

impl Digest {
    /// Digest of `content`.
    #[must_use]
    pub fn of(content: &[u8]) -> Self {
        let hash = sha2::Sha256::digest(content);
        let mut bytes = [0; DIGEST_BYTES];
        bytes.copy_from_slice(&hash[..DIGEST_BYTES]);
        Self(bytes)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl str::FromStr for Digest {
    type Err = hex::FromHexError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut bytes = [0; DIGEST_BYTES];
        hex::decode_to_slice(text, &mut bytes)?;
        Ok(Self(bytes))
    }
}

/// Failure to assemble a routing from its parts.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// A part is missing.
    #[display("part {digest} is missing")]
    Missing {
        /// Digest of the part.
        #[error(not(source))]
        digest: Digest,
    },
    /// The content of a part cannot be decoded.
    #[display("part {digest} cannot be decoded: {source}")]
    Decode {
        /// Digest of the part.
        digest: Digest,
        /// Cause of the failure.
        source: postcard::Error,
    },
}

/// The parts of one version of a routing.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Manifest {
    /// [`routing::Routing::version`].
    pub version: u64,
    /// [`routing::Routing::limits`].
    pub limits: routing::Limits,
    /// Digests of the parts, by index.
    pub parts: Vec<Digest>,
}

/// Routes and services of a part that is being encoded.
#[derive(Default, serde::Serialize)]
struct Borrowed<'a> {
    routes: Vec<&'a routing::Route>,
    services: Vec<&'a routing::Service>,
}

/// Routes and services of a decoded part.
#[derive(serde::Deserialize)]
struct Owned {
    routes: Vec<routing::Route>,
    services: Vec<routing::Service>,
}

/// A manifest with the content of its parts.
#[derive(Clone, Debug)]
pub struct Parts {
    manifest: Manifest,
    contents: map::Map<Digest, Bytes>,
}

/// Index of the part of an item with this name.
fn index<'a>(name: impl IntoIterator<Item = &'a str>, count: usize) -> usize {
    let mut hasher = sha2::Sha256::new();
    for text in name {
        hasher.update(text.as_bytes());
        hasher.update([0]);
    }
    let hash = hasher.finalize();
    let hash = u32::from_be_bytes([hash[0], hash[1], hash[2], hash[3]]);
    hash as usize % count
}

impl Parts {
    /// Splits a routing into a number of parts that follows from its size.
    #[must_use]
    pub fn split(routing: &routing::Routing) -> Self {
        let items = routing.routes.len() + routing.services.len();
        // A power of two, so that the number changes seldom as the routing grows.
        let count = items.div_ceil(ITEMS_PER_PART).next_power_of_two();
        Self::split_into(routing, count)
    }

    /// Splits a routing into `count` parts, at least 1 and at most [`MAX_PARTS`].
    #[must_use]
    pub fn split_into(routing: &routing::Routing, count: usize) -> Self {
        let count = count.clamp(1, MAX_PARTS);
        let mut parts: Vec<Borrowed<'_>> = (0..count).map(|_| Borrowed::default()).collect();
        for route in &routing.routes {
            let index = index([route.host.as_str(), route.prefix.as_str()], count);
            parts[index].routes.push(route);
        }
        for service in &routing.services {
            parts[index([service.name.as_str()], count)]
                .services
                .push(service);
        }
        let mut digests = Vec::with_capacity(count);
        let mut contents = map::Map::default();
        for part in &parts {
            let content = postcard::to_stdvec(part);
            let content = Bytes::from(content.expect("routes and services are serializable"));
            let digest = Digest::of(&content);
            digests.push(digest);
            contents.insert(digest, content);
        }
        Self {
            manifest: Manifest {
                version: routing.version,
                limits: routing.limits,
                parts: digests,
            },
            contents,
        }
    }

    /// Combines a manifest with the contents of its parts; other contents are dropped.
    #[must_use]
    pub fn new(manifest: Manifest, mut contents: map::Map<Digest, Bytes>) -> Self {
        let listed: map::Set<_> = manifest.parts.iter().copied().collect();
        contents.retain(|digest, _| listed.contains(digest));
        Self { manifest, contents }
    }

    /// The manifest.
    #[must_use]
    pub fn manifest(&self) -> &Manifest {
        &self.manifest
    }

    /// Content of a part.
    #[must_use]
    pub fn content(&self, digest: &Digest) -> Option<&Bytes> {
        self.contents.get(digest)
    }

    /// Assembles the routing.
    ///
    /// # Errors
    ///
    /// If a part is missing or cannot be decoded.
    pub fn join(&self) -> Result<routing::Routing, Error> {
        let mut routing = routing::Routing {
            version: self.manifest.version,
            limits: self.manifest.limits,
            routes: Vec::new(),
            services: Vec::new(),
        };
        for &digest in &self.manifest.parts {
            let content = self.contents.get(&digest);
            let content = content.ok_or(Error::Missing { digest })?;
            let part: Owned =
                postcard::from_bytes(content).map_err(|source| Error::Decode { digest, source })?;
            routing.routes.extend(part.routes);
            routing.services.extend(part.services);
        }
        Ok(routing)
    }
}
