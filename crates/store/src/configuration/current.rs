//! The configuration as the platform holds it.

use std::collections::BTreeMap;

use monsooncart_config::{fleet, object as config};

use super::{Failure, HEAD, Head};
use crate::{object, store};

/// An object of the configuration and its version.
#[derive(Clone, Debug, PartialEq)]
pub struct Held {
    /// Its version.
    pub version: object::Version,
    /// Its value.
    pub value: config::Value,
}

/// The configuration as the platform holds it.
///
/// The head is read before the objects. A change that comes in between moves the head, so an
/// update of the head on the version read here proves that the objects are those of this head.
#[derive(Clone, Debug, Default)]
pub struct Current {
    /// Version of the head; `None` before the first change.
    pub version: Option<object::Version>,
    /// The latest change.
    pub head: Option<Head>,
    /// The objects.
    pub objects: BTreeMap<config::Key, Held>,
}

impl Current {
    /// Reads the head and all objects.
    ///
    /// # Errors
    ///
    /// A call of the platform failed, or an object could not be decoded.
    pub async fn read(store: &dyn store::Store) -> Result<Self, Failure> {
        let mut current = Self::read_head(store).await?;
        current.objects = objects(store).await?;
        Ok(current)
    }

    /// Reads the head alone.
    ///
    /// # Errors
    ///
    /// A call of the platform failed, or the head could not be decoded.
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

    /// The fleet that the objects make up.
    #[must_use]
    pub fn fleet(&self) -> fleet::Fleet {
        config::unite(self.objects.values().map(|held| held.value.clone()))
    }
}

async fn objects(store: &dyn store::Store) -> Result<BTreeMap<config::Key, Held>, Failure> {
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
            objects.insert(key, Held { version, value });
        }
        match page.next {
            Some(next) => after = next,
            None => return Ok(objects),
        }
    }
}
