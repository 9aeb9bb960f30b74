//! What a server announces about itself in the headers of its responses, for deployments with host
//! routing.

use std::time::Instant;

use http::{HeaderName, HeaderValue, StatusCode, response};
use monsooncart_types::rate;

use crate::{attempt, common, header, server};

/// Statuses with which a server turns a request away because of its load.
pub const OVERLOADED_STATUSES: [StatusCode; 2] = [
    StatusCode::SERVICE_UNAVAILABLE,
    StatusCode::TOO_MANY_REQUESTS,
];

/// Reports to the policy what the server announces in a response of its own.
pub fn report(
    common: &common::Common,
    server: &server::Server,
    attempt: &attempt::Attempt,
    head: &response::Parts,
) {
    let Some(host_headers) = &common.host_headers else {
        return;
    };
    let leaving = head.headers.get(&host_headers.leaving);
    if leaving.is_some_and(|value| value == "1") {
        attempt.report_leaving(server);
    }
    report_rate_limit(common, server, attempt, head, &host_headers.rate_limit);
    let is_overloaded = OVERLOADED_STATUSES.contains(&head.status);
    let retry_after = header::parse_retry_after(&head.headers);
    if let Some(retry_after) = retry_after.filter(|_| is_overloaded) {
        attempt.report_retry_after(retry_after);
    }
}

/// Reports the rate limit that the server announces. A malformed one is ignored, so that the limit
/// that is known remains in force.
fn report_rate_limit(
    common: &common::Common,
    server: &server::Server,
    attempt: &attempt::Attempt,
    head: &response::Parts,
    name: &HeaderName,
) {
    let Some(value) = head.headers.get(name) else {
        // A failure or a refusal without a limit may come from a part of the server that does not
        // know it.
        if head.status.is_success() {
            attempt.report_rate_limit(None);
        }
        return;
    };
    match parse_rate(value) {
        Some(limit) => attempt.report_rate_limit(Some(limit)),
        None if common.log_limiter.admits(Instant::now()) => {
            let server = &server.spec.name;
            log::warn!(server:%, header:% = name, value:?; "health: ignoring the rate limit of a server; expected a decimal number of requests per second");
        }
        None => {}
    }
}

/// Parses a decimal number of requests per second.
fn parse_rate(value: &HeaderValue) -> Option<rate::Rate> {
    let requests_per_second: f64 = value.to_str().ok()?.trim().parse().ok()?;
    let is_valid = requests_per_second.is_finite() && requests_per_second >= 0.0;
    is_valid.then_some(rate::Rate(requests_per_second))
}
