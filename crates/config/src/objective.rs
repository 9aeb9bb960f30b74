//! Service-level objectives.

use monsooncart_types::{share, span};

/// Service-level objective of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// Share of requests that get a complete response which is not an error.
    pub availability: share::Share,
    /// Share of requests whose response head arrives within `latency`.
    pub fast: share::Share,
    /// Maximum time to the response head of a fast request.
    pub latency: span::Span,
}
