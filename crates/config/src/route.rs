//! Routes: which requests a service accepts, and their retry and ticket rules.

use bytes::Bytes;
use monsooncart_types::{size, span};

/// Whether requests carry a ticket, which makes them execute at most once.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    serde::Serialize,
    serde::Deserialize,
    strum::Display,
    strum::EnumString,
    strum::VariantNames,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Ticket {
    /// Tickets are ignored: each received request is executed.
    #[default]
    None,
    /// A ticket is honoured if the caller sends one.
    Accepted,
    /// A request without a ticket is rejected with status 428.
    Required,
}

/// A set of requests with the same rules.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Methods, in upper case; empty for all methods.
    #[serde(default)]
    pub methods: Vec<String>,
    /// Path pattern: literal segments, `*` for one segment, a final `**` for any suffix.
    #[serde(with = "pattern")]
    pub path: Bytes,
    /// Whether a request may be sent to a backend server more than once.
    pub repeatable: bool,
    /// Whether requests carry a ticket.
    #[serde(default)]
    pub ticket: Ticket,
    /// Maximum time from the arrival of a request to the head of its response.
    pub timeout: span::Span,
    /// Maximum size of a request body; unlimited if absent.
    #[serde(default)]
    pub body_limit: Option<size::Size>,
}

/// Serialises a path pattern as a string.
mod pattern {
    use bytes::Bytes;
    use serde::{Deserialize as _, Deserializer, Serializer};

    pub(super) fn serialize<S: Serializer>(path: &Bytes, s: S) -> Result<S::Ok, S::Error> {
        let text = std::str::from_utf8(path).map_err(serde::ser::Error::custom)?;
        s.serialize_str(text)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<Bytes, D::Error> {
        String::deserialize(d).map(Bytes::from)
    }
}
