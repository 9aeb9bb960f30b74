//! How the calls of the object API are written and their answers read.
//!
//! The client in [`crate::client`] holds the connections, the deadlines and what a lost answer
//! means; a dialect holds paths, parameters and bodies.

use std::fmt::Debug;
use std::time::Duration;

use bytes::Bytes;

use crate::{error, object, vms};

/// Characters of an answer that a reason repeats.
const MAX_SHOWN: usize = 200;

/// A request without its host.
pub type Request = http::Request<Bytes>;

/// A whole answer.
pub type Answer = http::Response<Bytes>;

/// A call of the object API.
#[derive(Clone, Debug)]
pub enum Call<'a> {
    /// Reads an object.
    Get {
        /// Its key.
        key: &'a str,
    },
    /// Writes an object.
    Put {
        /// Its key.
        key: &'a str,
        /// Its value.
        value: Bytes,
        /// What must hold.
        condition: object::Condition,
    },
    /// Removes an object.
    Delete {
        /// Its key.
        key: &'a str,
        /// What must hold.
        condition: object::Condition,
    },
    /// Lists objects.
    List {
        /// Beginning of their keys.
        prefix: &'a str,
        /// Key after which the listing goes on.
        after: &'a str,
    },
    /// Waits for changes.
    Watch {
        /// Beginning of the keys.
        prefix: &'a str,
        /// Revision after which changes count.
        since: object::Version,
        /// Longest wait for the first.
        wait: Duration,
    },
    /// Reads the VM list.
    Vms,
}

impl Call<'_> {
    /// The step that errors name.
    #[must_use]
    pub fn step(&self) -> error::Step {
        match self {
            Self::Get { .. } => error::Step::Get,
            Self::Put { .. } => error::Step::Put,
            Self::Delete { .. } => error::Step::Delete,
            Self::List { .. } => error::Step::List,
            Self::Watch { .. } => error::Step::Watch,
            Self::Vms => error::Step::Vms,
        }
    }

    /// The key or prefix that it is about.
    #[must_use]
    pub fn key(&self) -> &str {
        match self {
            Self::Get { key } | Self::Put { key, .. } | Self::Delete { key, .. } => key,
            Self::List { prefix, .. } | Self::Watch { prefix, .. } => prefix,
            Self::Vms => "",
        }
    }

    /// Time that the answerer may wait by agreement.
    #[must_use]
    pub fn wait(&self) -> Duration {
        match self {
            Self::Watch { wait, .. } => *wait,
            _ => Duration::ZERO,
        }
    }
}

/// What an answer that is no success says of its call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The condition did not hold; the object stands at this version, or is absent.
    Conflict(Option<object::Version>),
    /// The call had no effect.
    NotDone(String),
    /// A write may have had its effect.
    Unclear(String),
}

/// Writes calls and reads answers.
pub trait Dialect: Send + Sync + Debug {
    /// The request of a call.
    fn request(&self, call: &Call<'_>) -> Request;

    /// The object that was read; `None` where it is absent.
    ///
    /// # Errors
    ///
    /// Where the answer is no success or cannot be read; the same below.
    fn object(&self, key: &str, answer: Answer) -> Result<Option<object::Object>, Refusal>;

    /// The version that was written.
    ///
    /// # Errors
    ///
    /// See [`Dialect::object`].
    fn written(&self, answer: Answer) -> Result<object::Version, Refusal>;

    /// Whether the object was removed.
    ///
    /// # Errors
    ///
    /// See [`Dialect::object`].
    fn removed(&self, answer: Answer) -> Result<(), Refusal>;

    /// A page of a listing.
    ///
    /// # Errors
    ///
    /// See [`Dialect::object`].
    fn page(&self, prefix: &str, answer: Answer) -> Result<object::Page, Refusal>;

    /// The changes that a watch gave.
    ///
    /// # Errors
    ///
    /// See [`Dialect::object`].
    fn changes(&self, prefix: &str, answer: Answer) -> Result<object::Page, Refusal>;

    /// The VM list.
    ///
    /// # Errors
    ///
    /// See [`Dialect::object`].
    fn vms(&self, answer: Answer) -> Result<Vec<vms::Vm>, Refusal>;
}

/// A request for a target that is a path with parameters, percent-encoded.
#[must_use]
pub fn request(method: http::Method, target: &str, body: Bytes) -> Request {
    let mut request = http::Request::new(body);
    *request.method_mut() = method;
    match target.parse() {
        Ok(uri) => *request.uri_mut() = uri,
        Err(error) => log::error!(target:%, error:%; "store: call has no valid target"),
    }
    request
}

/// An answer in words.
#[must_use]
pub fn reason(answer: &Answer) -> String {
    let text = String::from_utf8_lossy(answer.body());
    let text: String = text.chars().take(MAX_SHOWN).collect();
    format!("status {}: {text}", answer.status())
}
