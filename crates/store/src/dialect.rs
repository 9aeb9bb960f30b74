//! Encoding of object API calls as HTTP requests, and decoding of the responses.
//!
//! The client in [`crate::client`] handles connections, deadlines and lost responses; a dialect
//! defines paths, parameters and bodies.

use std::fmt::Debug;
use std::time::Duration;

use bytes::Bytes;

use crate::{error, object, vms};

/// Maximum number of characters of a response body quoted in an error.
const MAX_REASON_CHARS: usize = 200;

/// A request without its `host` header, which the client adds.
pub type Request = http::Request<Bytes>;

/// A complete response.
pub type Response = http::Response<Bytes>;

/// A call of the object API.
#[derive(Clone, Debug)]
pub enum Call<'a> {
    /// Reads an object.
    Get {
        /// Key of the object.
        key: &'a str,
    },
    /// Writes an object.
    Put {
        /// Key of the object.
        key: &'a str,
        /// New value.
        value: Bytes,
        /// Condition of the write.
        condition: object::Condition,
    },
    /// Removes an object.
    Delete {
        /// Key of the object.
        key: &'a str,
        /// Condition of the removal.
        condition: object::Condition,
    },
    /// Lists objects.
    List {
        /// Key prefix of the objects.
        prefix: &'a str,
        /// Key after which the page starts; empty for the first page.
        after: &'a str,
    },
    /// Waits for changes.
    Watch {
        /// Key prefix of the objects.
        prefix: &'a str,
        /// Revision after which changes are returned.
        since: object::Version,
        /// Maximum wait for the first change.
        wait: Duration,
    },
    /// Reads the VM list.
    Vms,
}

impl Call<'_> {
    /// The operation, for errors and counters.
    #[must_use]
    pub fn operation(&self) -> error::Operation {
        match self {
            Self::Get { .. } => error::Operation::Get,
            Self::Put { .. } => error::Operation::Put,
            Self::Delete { .. } => error::Operation::Delete,
            Self::List { .. } => error::Operation::List,
            Self::Watch { .. } => error::Operation::Watch,
            Self::Vms => error::Operation::Vms,
        }
    }

    /// Key or key prefix of the call; empty for the VM list.
    #[must_use]
    pub fn key(&self) -> &str {
        match self {
            Self::Get { key } | Self::Put { key, .. } | Self::Delete { key, .. } => key,
            Self::List { prefix, .. } | Self::Watch { prefix, .. } => prefix,
            Self::Vms => "",
        }
    }

    /// Maximum time for which the platform may wait before it responds.
    #[must_use]
    pub fn wait(&self) -> Duration {
        match self {
            Self::Watch { wait, .. } => *wait,
            _ => Duration::ZERO,
        }
    }
}

/// What an unsuccessful response says about its call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The condition did not hold; the object is at this version, or absent.
    Conflict(Option<object::Version>),
    /// The call had no effect.
    NotDone(String),
    /// A write may have taken effect.
    Unknown(String),
}

/// Encodes calls and decodes responses.
pub trait Dialect: Send + Sync + Debug {
    /// Encodes a call as a request.
    fn encode(&self, call: &Call<'_>) -> Request;

    /// Decodes the response to a read; `None` if the object is absent.
    ///
    /// # Errors
    ///
    /// Fails if the response is not successful or cannot be decoded.
    fn decode_get(&self, key: &str, response: Response) -> Result<Option<object::Object>, Failure>;

    /// Decodes the response to a write; returns the new version.
    ///
    /// # Errors
    ///
    /// Fails if the response is not successful or cannot be decoded.
    fn decode_put(&self, response: Response) -> Result<object::Version, Failure>;

    /// Decodes the response to a removal.
    ///
    /// # Errors
    ///
    /// Fails if the response is not successful or cannot be decoded.
    fn decode_delete(&self, response: Response) -> Result<(), Failure>;

    /// Decodes a page of a listing.
    ///
    /// # Errors
    ///
    /// Fails if the response is not successful or cannot be decoded.
    fn decode_list(&self, prefix: &str, response: Response) -> Result<object::Page, Failure>;

    /// Decodes the changes returned by a watch.
    ///
    /// # Errors
    ///
    /// Fails if the response is not successful or cannot be decoded.
    fn decode_watch(&self, prefix: &str, response: Response) -> Result<object::Page, Failure>;

    /// Decodes the VM list.
    ///
    /// # Errors
    ///
    /// Fails if the response is not successful or cannot be decoded.
    fn decode_vms(&self, response: Response) -> Result<Vec<vms::Vm>, Failure>;
}

/// Creates a request; `target` is a path with query parameters, percent-encoded.
#[must_use]
pub fn request(method: http::Method, target: &str, body: Bytes) -> Request {
    let mut request = http::Request::new(body);
    *request.method_mut() = method;
    match target.parse() {
        Ok(uri) => *request.uri_mut() = uri,
        Err(error) => log::error!(target:%, error:%; "store: request target is not a valid URI"),
    }
    request
}

/// Describes a response by its status and the beginning of its body.
#[must_use]
pub fn describe_response(response: &Response) -> String {
    let text = String::from_utf8_lossy(response.body());
    let text: String = text.chars().take(MAX_REASON_CHARS).collect();
    format!("status {}: {text}", response.status())
}
