//! Selection and decoding of the store's configuration objects.

use monsooncart_config::object as config;
use monsooncart_store::object;

use super::held;

/// Selects the store's objects that make up the configuration, and decodes them.
pub trait Source: Send + Sync {
    /// Prefixes of their keys; each is listed and watched separately.
    fn prefixes(&self) -> &[&'static str];

    /// Decodes and validates an object; `None` if this release does not know its key.
    ///
    /// For a known object that cannot be decoded, implementations log an error and return either
    /// `None`, which keeps the stored version, or an empty value.
    fn decode(&self, object: &object::Object) -> Option<held::Object>;

    /// Key in the store of a configuration object; `None` if it is not under `prefix`.
    fn key(&self, prefix: &str, key: &config::Key) -> Option<String>;
}

/// The objects in the format of `monsooncart-config`.
#[derive(Clone, Copy, Debug, Default)]
pub struct Native;

impl Source for Native {
    fn prefixes(&self) -> &[&'static str] {
        &[config::PREFIX]
    }

    fn decode(&self, object: &object::Object) -> Option<held::Object> {
        let key: config::Key = object.key.parse().ok()?;
        let value = match &object.value {
            None => key.empty_value(),
            Some(value) => match config::Value::decode(value) {
                Ok(value) => value,
                Err(error) => {
                    log::error!(object:% = object.key, version:% = object.version, error:%; "config: object cannot be decoded; keeping the stored version");
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
