//! The fleet's own answers, as `application/problem+json`.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, StatusCode, header as names};
use monsooncart_policy::outcome;

use crate::{body, exchange, header};

/// When to come back to a daemon that holds no configuration yet.
const UNCONFIGURED: Duration = Duration::from_millis(500);

/// An answer that the fleet makes itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Status.
    pub status: StatusCode,
    /// What is wrong, in a word.
    pub title: &'static str,
    /// What is wrong with this request.
    pub detail: String,
    /// Whether the work may have run.
    pub run: outcome::Execution,
    /// When to come back, where that helps.
    pub retry_after: Option<Duration>,
    /// Methods that the route takes, where another came.
    pub allow: Option<String>,
}

#[derive(serde::Serialize)]
struct Document<'a> {
    r#type: &'static str,
    title: &'a str,
    status: u16,
    detail: &'a str,
    outcome: outcome::Execution,
    request: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after: Option<u64>,
}

impl Problem {
    /// An answer to a request that was not run.
    pub fn not_run(status: StatusCode, title: &'static str, detail: impl Into<String>) -> Self {
        Self {
            status,
            title,
            detail: detail.into(),
            run: outcome::Execution::NotRun,
            retry_after: None,
            allow: None,
        }
    }

    /// The answer to a request that is not well formed.
    pub fn malformed(detail: &str) -> Self {
        Self::not_run(StatusCode::BAD_REQUEST, "malformed", detail)
    }

    /// The answer to a path that belongs to no service.
    pub fn unknown_path(path: &str) -> Self {
        let detail = format!("path {path} belongs to no service");
        Self::not_run(StatusCode::NOT_FOUND, "unknown-path", detail)
    }

    /// The answer while no configuration is held that says what to do with a request.
    pub fn unconfigured() -> Self {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        let problem = Self::not_run(status, "unconfigured", "daemon holds no configuration yet");
        problem.retry_after(UNCONFIGURED)
    }

    /// The answer to a method that a path does not take.
    pub fn wrong_method(allow: &str) -> Self {
        let status = StatusCode::METHOD_NOT_ALLOWED;
        let detail = format!("path takes {allow}");
        let mut problem = Self::not_run(status, "unknown-method", detail);
        problem.allow = Some(allow.to_owned());
        problem
    }

    /// The answer to a body that is larger than its route allows.
    pub fn too_large(limit: u64) -> Self {
        let detail = format!("request body is larger than {limit} bytes");
        Self::not_run(StatusCode::PAYLOAD_TOO_LARGE, "body-too-large", detail)
    }

    /// The same, with when to come back.
    #[must_use]
    pub fn retry_after(mut self, span: Duration) -> Self {
        self.retry_after = Some(span);
        self
    }

    /// The answer to a request that the policy refused.
    pub fn refusal(refusal: outcome::Refusal) -> Self {
        let (status, detail) = match refusal.reason {
            outcome::Reason::Overload => (
                StatusCode::SERVICE_UNAVAILABLE,
                "the service has no slot for the request in time",
            ),
            outcome::Reason::NoServer => (
                StatusCode::SERVICE_UNAVAILABLE,
                "no backend server of the service may take work",
            ),
            outcome::Reason::Poison => (
                StatusCode::SERVICE_UNAVAILABLE,
                "the request broke the backend servers that ran it",
            ),
            outcome::Reason::Unknown => (
                StatusCode::BAD_GATEWAY,
                "the attempt ended without an answer and may not be repeated",
            ),
            outcome::Reason::Exhausted => (
                StatusCode::BAD_GATEWAY,
                "attempts ended without an answer and no retry is left",
            ),
            outcome::Reason::Timeout => (
                StatusCode::GATEWAY_TIMEOUT,
                "no answer came within the route's timeout",
            ),
        };
        Self {
            status,
            title: refusal.reason.into(),
            detail: detail.to_owned(),
            run: refusal.execution,
            retry_after: refusal.retry_after,
            allow: None,
        }
    }

    /// The same under a status that says nothing of whether the work was run.
    #[must_use]
    pub fn without_promise(mut self) -> Self {
        let promises = [
            StatusCode::REQUEST_TIMEOUT,
            StatusCode::MISDIRECTED_REQUEST,
            StatusCode::TOO_MANY_REQUESTS,
            StatusCode::SERVICE_UNAVAILABLE,
        ];
        if promises.contains(&self.status) {
            self.status = StatusCode::BAD_GATEWAY;
        }
        self
    }

    /// The answer on the wire.
    pub fn response(&self, request: &str) -> http::Response<body::Body> {
        // Rounded up, so that coming back at the stated time is never too early.
        let retry_after = self
            .retry_after
            .map(|r| r.as_millis().div_ceil(1000).max(1));
        let retry_after = retry_after.map(|r| u64::try_from(r).unwrap_or(u64::MAX));
        let document = Document {
            r#type: "about:blank",
            title: self.title,
            status: self.status.as_u16(),
            detail: &self.detail,
            outcome: self.run,
            request,
            retry_after,
        };
        let bytes = Bytes::from(serde_json::to_vec(&document).unwrap_or_default());
        let mut response = http::Response::new(body::Body::own(bytes));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        let content = HeaderValue::from_static("application/problem+json");
        headers.insert(names::CONTENT_TYPE, content);
        let run: &'static str = exchange::Outcome::from(self.run).into();
        headers.insert(header::OUTCOME, HeaderValue::from_static(run));
        if let Some(retry_after) = retry_after {
            headers.insert(names::RETRY_AFTER, retry_after.into());
        }
        let allow = self.allow.as_deref().map(HeaderValue::from_str);
        if let Some(Ok(allow)) = allow {
            headers.insert(names::ALLOW, allow);
        }
        if self.status == StatusCode::UNAUTHORIZED {
            let scheme = HeaderValue::from_static("Bearer");
            headers.insert(names::WWW_AUTHENTICATE, scheme);
        }
        response
    }
}
