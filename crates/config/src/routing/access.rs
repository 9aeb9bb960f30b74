//! Who may send requests: organisations and the keys of their callers.
//!
//! Keys are kept as digests, so that no daemon stores, logs or passes on a key.

use monsooncart_types::{id, map, rate};

use super::digest;

/// Who may send requests to the routes that are not open.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Access {
    /// Anyone; callers have no keys.
    #[default]
    Open,
    /// Callers with a key of one of these organisations.
    Keys(Vec<Organisation>),
    /// Not known: the routing came from a daemon whose release knows no organisations.
    Unknown,
}

/// An organisation, on whose behalf callers send requests.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Name that servers receive.
    pub name: id::Organisation,
    /// Digests of its keys.
    pub keys: Vec<digest::Digest>,
    /// Priority of its requests under overload; `None` for that of the route.
    pub priority: Option<u32>,
    /// Allowance across all daemons; `None` for no limit.
    pub allowance: Option<Allowance>,
}

/// Requests that all daemons together may admit for an organisation.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Allowance {
    /// Sustained rate.
    pub rate: rate::Rate,
    /// Requests that may come at once.
    pub burst: f64,
}

impl Access {
    /// Access of a routing in the encoding of the first release.
    pub(super) fn unknown() -> Self {
        Self::Unknown
    }

    /// The organisations, if callers have keys.
    #[must_use]
    pub fn organisations(&self) -> &[Organisation] {
        match self {
            Self::Keys(organisations) => organisations,
            Self::Open | Self::Unknown => &[],
        }
    }
}

/// Index of the organisations by key and by name.
#[derive(Clone, Debug, Default)]
pub struct Index {
    keys: map::Map<digest::Digest, usize>,
    names: map::Map<id::Organisation, usize>,
}

impl Index {
    /// Builds the index of the organisations of `access`.
    #[must_use]
    pub fn new(access: &Access) -> Self {
        let mut index = Self::default();
        for (number, organisation) in access.organisations().iter().enumerate() {
            index.names.insert(organisation.name.clone(), number);
            let keys = organisation.keys.iter().map(|key| (*key, number));
            index.keys.extend(keys);
        }
        index
    }

    /// Number of the organisation with this key.
    #[must_use]
    pub fn find_key(&self, key: &digest::Digest) -> Option<usize> {
        self.keys.get(key).copied()
    }

    /// Number of the organisation with this name.
    #[must_use]
    pub fn find_name(&self, name: &id::Organisation) -> Option<usize> {
        self.names.get(name).copied()
    }
}
