//! The object API.

use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;

use crate::{error, object};

/// Future of a call's result.
pub type CallFuture<'a, T> = BoxFuture<'a, Result<T, error::Error>>;

/// The platform's object API.
///
/// A write that fails with [`error::Error::Unknown`] may have taken effect; any other error means
/// that the call had no effect.
pub trait Store: Send + Sync {
    /// Reads an object; `None` if it is absent.
    fn get<'a>(&'a self, key: &'a str) -> CallFuture<'a, Option<object::Object>>;

    /// Writes an object if `condition` holds, and returns its new version.
    fn put<'a>(
        &'a self,
        key: &'a str,
        value: Bytes,
        condition: object::Condition,
    ) -> CallFuture<'a, object::Version>;

    /// Removes an object if `condition` holds.
    fn delete<'a>(&'a self, key: &'a str, condition: object::Condition) -> CallFuture<'a, ()>;

    /// Lists one page of the objects under `prefix` with keys greater than `after`.
    fn list<'a>(&'a self, prefix: &'a str, after: &'a str) -> CallFuture<'a, object::Page>;

    /// Returns the changes under `prefix` after revision `since`, waiting up to `wait` for the first.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        since: object::Version,
        wait: Duration,
    ) -> CallFuture<'a, object::Page>;
}
