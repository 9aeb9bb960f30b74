//! The configuration as stored in the platform.

use std::collections::BTreeMap;

use monsooncart_config::{fleet, object as config};

use super::{Failure, HEAD, Head};
use crate::{object, store};

/// A stored configuration object.
#[derive(Clone, Debug, PartialEq)]
pub struct Object {
    /// Version of the object.
    pub version: object::Version,
    /// Decoded value.
    pub value: config::Value,
}

/// The configuration as stored in the platform.
///
/// The head is read before the objects. A change accepted in between updates the head, so if a write
/// conditional on the head version read here succeeds, the objects belong to this head.
#[derive(Clone, Debug, Default)]
pub struct Current {
    /// Version of the head; `None` before the first change.
    pub version: Option<object::Version>,
    /// The latest change; `None` before the first.
    pub head: Option<Head>,
    /// All configuration objects; empty if only the head was read.
    pub objects: BTreeMap<config::Key, Object>,
}

impl Current {
    /// Reads the head and all objects.
    ///
    /// # Errors
    ///
    /// Fails if a call to the platform fails or an object cannot be decoded.
    pub async fn read(store: &dyn store::Store) -> Result<Self, Failure> {
        let mut current = Self::read_head(store).await?;
        current.objects = read_objects(store).await?;
        Ok(current)
    }

    /// Reads only the head.
    ///
    /// # Errors
    ///
    /// Fails if the call to the platform fails or the head cannot be decoded.
    pub async fn read_head(store: &dyn store::Store) -> Result<Self, Failure> {
        let object = store.get(HEAD).await.map_err(Failure::not_done)?;
        let Some(object) = object else {
            return Ok(Self::default());
        };
        let head = Head::decode(&object.value.unwrap_or_default());
        let head = head.map_err(|error| Failure::Corrupt {
            key: HEAD.to_owned(),
            reason: error.to_string(),
        })?;
        Ok(Self {
            version: Some(object.version),
            head: Some(head),
            objects: BTreeMap::new(),
        })
    }

    /// The fleet assembled from the objects.
    #[must_use]
    pub fn fleet(&self) -> fleet::Fleet {
        config::merge(self.objects.values().map(|stored| stored.value.clone()))
    }
}

async fn read_objects(store: &dyn store::Store) -> Result<BTreeMap<config::Key, Object>, Failure> {
    let mut objects = BTreeMap::new();
    let mut after = String::new();
    loop {
        let page = store.list(config::PREFIX, &after).await;
        let page = page.map_err(Failure::not_done)?;
        for object in page.objects {
            let corrupt = |reason: String| Failure::Corrupt {
                key: object.key.clone(),
                reason,
            };
            let key: config::Key = object
                .key
                .parse()
                .map_err(|error: config::Error| corrupt(error.to_string()))?;
            let value = object.value.unwrap_or_default();
            let value = config::Value::decode(&value).map_err(|e| corrupt(e.to_string()))?;
            let version = object.version;
            objects.insert(key, Object { version, value });
        }
        match page.next {
            Some(next) => after = next,
            None => return Ok(objects),
        }
    }
}
