//! The objects that store a configuration in the platform.
//!
//! A fleet is split into one object for the zones, one per service and a fixed number of blocks of
//! organisations, so that only the objects affected by a change are written and disseminated.

use std::fmt;
use std::str;

use bytes::Bytes;
use monsooncart_types::id;

use crate::{fleet, organisation, registration, routing, service, zone};

/// Number of blocks that organisations are hashed into.
pub const BLOCKS: u32 = 256;

/// Prefix of the keys of all configuration objects.
pub const PREFIX: &str = "config/";

/// Maximum size of an encoded value, in bytes: the platform's limit of 1 MiB, less 4 KiB for the key
/// and version that a change stores with a value.
pub const MAX_OBJECT_BYTES: usize = (1 << 20) - (4 << 10);

/// Key of a configuration object.
#[derive(
    Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub enum Key {
    /// The zones.
    Zones,
    /// A service.
    Service(id::Service),
    /// A block of organisations, by its index.
    Organisations(u32),
    /// The routing of a deployment whose servers register themselves.
    Routing,
    /// A server that registers itself.
    Registration(id::Server),
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Zones => write!(f, "{PREFIX}zones"),
            Self::Service(name) => write!(f, "{PREFIX}service/{name}"),
            Self::Organisations(block) => write!(f, "{PREFIX}organisations/{block:03}"),
            Self::Routing => write!(f, "{PREFIX}routing"),
            Self::Registration(server) => write!(f, "{PREFIX}registration/{server}"),
        }
    }
}

impl Key {
    /// The empty value for this key, which represents a removed object.
    #[must_use]
    pub fn empty_value(&self) -> Value {
        match self {
            Self::Zones => Value::Zones(Vec::new()),
            Self::Service(_) => Value::Service(None),
            Self::Organisations(_) => Value::Organisations(Vec::new()),
            Self::Routing => Value::Routing(Box::default()),
            Self::Registration(_) => Value::Registration(None),
        }
    }
}

/// Error of parsing a key.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{text:?} is not the key of a configuration object")]
pub struct Error {
    /// The rejected text.
    pub text: String,
}

impl str::FromStr for Key {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let parse = |rest: &str| {
            if let Some(name) = rest.strip_prefix("service/") {
                return name.parse().ok().map(Self::Service);
            }
            if let Some(block) = rest.strip_prefix("organisations/") {
                let block = block.parse().ok().filter(|block| *block < BLOCKS);
                return block.map(Self::Organisations);
            }
            if let Some(server) = rest.strip_prefix("registration/") {
                return server.parse().ok().map(Self::Registration);
            }
            match rest {
                "zones" => Some(Self::Zones),
                "routing" => Some(Self::Routing),
                _ => None,
            }
        };
        let key = text.strip_prefix(PREFIX).and_then(parse);
        // Only the canonical form is accepted, so that no object has two keys.
        let key = key.filter(|key| key.to_string() == text);
        key.ok_or_else(|| Error {
            text: text.to_owned(),
        })
    }
}

/// The value of a configuration object.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Value {
    /// The zones.
    Zones(Vec<zone::Zone>),
    /// A service; `None` if it was removed.
    Service(Option<Box<service::Service>>),
    /// A block of organisations.
    Organisations(Vec<organisation::Organisation>),
    /// The routing of a deployment whose servers register themselves.
    Routing(Box<routing::Routing>),
    /// A server that registers itself; `None` if it is gone or its entry is unusable.
    Registration(Option<Box<registration::Registration>>),
}

impl Value {
    /// Whether the value is empty and represents a removed object.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        match self {
            Self::Zones(zones) => zones.is_empty(),
            Self::Service(service) => service.is_none(),
            Self::Organisations(organisations) => organisations.is_empty(),
            Self::Routing(routing) => routing.routes.is_empty(),
            Self::Registration(registration) => registration.is_none(),
        }
    }

    /// Encodes the value as JSON, the form stored in the platform.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        let json = serde_json::to_vec(self);
        Bytes::from(json.expect("every value is serializable, and its maps have string keys"))
    }

    /// Decodes the result of [`Value::encode`].
    ///
    /// # Errors
    ///
    /// Fails if the text is not the JSON of a value.
    pub fn decode(text: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(text)
    }
}

/// Index of the block that contains an organisation, determined by the hash of its name.
#[must_use]
pub fn block(organisation: &id::Organisation) -> u32 {
    use sha2::Digest as _;
    let digest = sha2::Sha256::digest(organisation.as_bytes());
    u32::from_be_bytes([digest[0], digest[1], digest[2], digest[3]]) % BLOCKS
}

/// Splits a fleet into its objects, in key order; empty blocks are omitted.
#[must_use]
pub fn split(fleet: &fleet::Fleet) -> Vec<(Key, Value)> {
    let mut objects = vec![(Key::Zones, Value::Zones(fleet.zones.clone()))];
    let mut services: Vec<_> = fleet.services.iter().collect();
    services.sort_by(|a, b| a.name.cmp(&b.name));
    for service in services {
        let key = Key::Service(service.name.clone());
        objects.push((key, Value::Service(Some(Box::new(service.clone())))));
    }
    let mut blocks = std::collections::BTreeMap::<u32, Vec<_>>::new();
    for organisation in &fleet.organisations {
        let block = blocks.entry(block(&organisation.name)).or_default();
        block.push(organisation.clone());
    }
    for (block, mut organisations) in blocks {
        organisations.sort_by(|a, b| a.name.cmp(&b.name));
        let value = Value::Organisations(organisations);
        objects.push((Key::Organisations(block), value));
    }
    objects
}

/// Assembles a fleet from its objects, sorted by name: the inverse of [`split`].
#[must_use]
pub fn merge(objects: impl IntoIterator<Item = Value>) -> fleet::Fleet {
    let mut fleet = fleet::Fleet::default();
    for value in objects {
        match value {
            Value::Zones(zones) => fleet.zones = zones,
            Value::Service(service) => fleet.services.extend(service.map(|s| *s)),
            Value::Organisations(organisations) => fleet.organisations.extend(organisations),
            Value::Routing(_) | Value::Registration(_) => {}
        }
    }
    fleet.services.sort_by(|a, b| a.name.cmp(&b.name));
    fleet.organisations.sort_by(|a, b| a.name.cmp(&b.name));
    fleet
}
