//! Which objects of the store a configuration is made of, and how they are read.

use monsooncart_config::object as config;
use monsooncart_store::object;

use super::held;

/// Which objects of the store a configuration is made of.
pub trait Source: Send + Sync {
    /// Beginnings of their keys; each is listed and watched by itself.
    fn prefixes(&self) -> &[&'static str];

    /// An object in its checked form; `None` where it is not one that this release knows.
    ///
    /// An object that is known and cannot be read is logged, and is either `None`, so that the one
    /// held stays, or stands for nothing.
    fn decode(&self, object: &object::Object) -> Option<held::Object>;

    /// Key in the store of an object that is held, where it lies under `prefix`.
    fn key(&self, prefix: &str, key: &config::Key) -> Option<String>;
}

/// The project's own objects.
#[derive(Clone, Copy, Debug, Default)]
pub struct Own;

impl Source for Own {
    fn prefixes(&self) -> &[&'static str] {
        &[config::PREFIX]
    }

    fn decode(&self, object: &object::Object) -> Option<held::Object> {
        let key: config::Key = object.key.parse().ok()?;
        let value = match &object.value {
            None => key.empty(),
            Some(value) => match config::Value::decode(value) {
                Ok(value) => value,
                Err(error) => {
                    log::error!(object:% = object.key, version:% = object.version, error:%; "config: object not readable, keeping the one held");
                    return None;
                }
            },
        };
        Some(held::Object {
            key,
            version: object.version.0,
            value,
        })
    }

    fn key(&self, prefix: &str, key: &config::Key) -> Option<String> {
        let text = key.to_string();
        text.starts_with(prefix).then_some(text)
    }
}
