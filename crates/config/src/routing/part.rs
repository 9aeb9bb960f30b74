//! Parts of a routing, in which it is transferred between daemons.
//!
//! Routes, services and organisations are hashed into parts by their names. A part is identified by
//! the digest of its content, so a daemon reuses the parts that two versions have in common, and
//! accepts a part from any peer. A [`Manifest`] lists the parts of one version.
//!
//! A part begins with its routes and services, which is all that the first release encoded and all
//! that it reads. What later releases added is encoded behind them.

use bytes::Bytes;
use monsooncart_types::map;
use sha2::Digest as _;

use crate::routing::{self, access};

pub use crate::routing::digest::Digest;

/// Mean number of routes, services and organisations of a part.
const ITEMS_PER_PART: usize = 64;

/// Maximum number of parts of a routing.
pub const MAX_PARTS: usize = 4096;

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

/// What the second release added to a part that is being encoded.
#[derive(Default, serde::Serialize)]
struct BorrowedExtension<'a> {
    /// Indices of the part's routes whose requests need no key.
    open_routes: Vec<usize>,
    /// Organisations; `None` if callers have no keys.
    organisations: Option<Vec<&'a access::Organisation>>,
}

/// What the second release added to a decoded part.
#[derive(serde::Deserialize)]
struct Extension {
    open_routes: Vec<usize>,
    organisations: Option<Vec<access::Organisation>>,
}

/// Content of a part that is being encoded.
#[derive(Default)]
struct Draft<'a> {
    base: Borrowed<'a>,
    extension: BorrowedExtension<'a>,
}

impl Draft<'_> {
    /// Encodes the part as the first release did.
    fn encode_base(&self) -> Bytes {
        let content = postcard::to_stdvec(&self.base);
        Bytes::from(content.expect("routes and services are serializable"))
    }

    fn encode(&self) -> Bytes {
        let content = postcard::to_stdvec(&(&self.base, &self.extension));
        Bytes::from(content.expect("routes, services and organisations are serializable"))
    }
}

/// Decodes a part. One that was encoded by the first release has no extension.
fn decode(content: &[u8]) -> Result<(Owned, Option<Extension>), postcard::Error> {
    let (mut base, rest): (Owned, _) = postcard::take_from_bytes(content)?;
    if rest.is_empty() {
        return Ok((base, None));
    }
    let extension: Extension = postcard::from_bytes(rest)?;
    for &index in &extension.open_routes {
        if let Some(route) = base.routes.get_mut(index) {
            route.open = true;
        }
    }
    Ok((base, Some(extension)))
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
        let organisations = routing.access.organisations().len();
        let items = routing.routes.len() + routing.services.len() + organisations;
        // A power of two, so that the number changes seldom as the routing grows.
        let count = items.div_ceil(ITEMS_PER_PART).next_power_of_two();
        Self::split_into(routing, count)
    }

    /// Splits a routing into `count` parts, at least 1 and at most [`MAX_PARTS`].
    #[must_use]
    pub fn split_into(routing: &routing::Routing, count: usize) -> Self {
        let count = count.clamp(1, MAX_PARTS);
        let mut parts: Vec<Draft<'_>> = (0..count).map(|_| Draft::default()).collect();
        for route in &routing.routes {
            let part = &mut parts[index([route.host.as_str(), route.prefix.as_str()], count)];
            if route.open {
                part.extension.open_routes.push(part.base.routes.len());
            }
            part.base.routes.push(route);
        }
        for service in &routing.services {
            let part = &mut parts[index([service.name.as_str()], count)];
            part.base.services.push(service);
        }
        if let access::Access::Keys(organisations) = &routing.access {
            for part in &mut parts {
                part.extension.organisations = Some(Vec::new());
            }
            for organisation in organisations {
                let part = &mut parts[index([organisation.name.as_str()], count)];
                let of_part = part.extension.organisations.get_or_insert_default();
                of_part.push(organisation);
            }
        }
        let mut digests = Vec::with_capacity(count);
        let mut contents = map::Map::default();
        for part in &parts {
            let content = match routing.access {
                // Passed on as it was received, so that no daemon takes it for one without keys.
                access::Access::Unknown => part.encode_base(),
                access::Access::Open | access::Access::Keys(_) => part.encode(),
            };
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
            ..routing::Routing::default()
        };
        let mut organisations = Some(Vec::new());
        let mut is_known = true;
        for &digest in &self.manifest.parts {
            let content = self.contents.get(&digest);
            let content = content.ok_or(Error::Missing { digest })?;
            let (base, extension) =
                decode(content).map_err(|source| Error::Decode { digest, source })?;
            routing.routes.extend(base.routes);
            routing.services.extend(base.services);
            match extension.map(|extension| extension.organisations) {
                Some(Some(of_part)) => organisations.get_or_insert_default().extend(of_part),
                Some(None) => organisations = None,
                None => is_known = false,
            }
        }
        routing.access = match organisations {
            _ if !is_known => access::Access::Unknown,
            Some(organisations) => access::Access::Keys(organisations),
            None => access::Access::Open,
        };
        Ok(routing)
    }
}
