//! The object API as a trait.

use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;

use crate::{error, object};

/// A call's result, in time.
pub type Call<'a, T> = BoxFuture<'a, Result<T, error::Error>>;

/// The platform's object API.
pub trait Store: Send + Sync {
    /// Reads an object; `None` where it is absent.
    fn get<'a>(&'a self, key: &'a str) -> Call<'a, Option<object::Object>>;

    /// Writes an object where `condition` holds, and gives its new version.
    fn put<'a>(
        &'a self,
        key: &'a str,
        value: Bytes,
        condition: object::Condition,
    ) -> Call<'a, object::Version>;

    /// Removes an object where `condition` holds.
    fn delete<'a>(&'a self, key: &'a str, condition: object::Condition) -> Call<'a, ()>;

    /// Lists the objects under `prefix` whose keys come after `after`, a page at a time.
    fn list<'a>(&'a self, prefix: &'a str, after: &'a str) -> Call<'a, object::Page>;

    /// Gives the changes under `prefix` since `since`, waiting up to `wait` for the first.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        since: object::Version,
        wait: Duration,
    ) -> Call<'a, object::Page>;
}
