//! Names of the fleet's headers, and removal of hop-by-hop headers.

use std::time::Duration;

use http::header::{self, HeaderMap, HeaderName};

use crate::exchange;

/// Request number, on every response.
pub const REQUEST: HeaderName = HeaderName::from_static("monsooncart-request");

/// Name of the responding server, on forwarded responses.
pub const SERVER: HeaderName = HeaderName::from_static("monsooncart-server");

/// Whether the request may have run, on local replies and refusals of servers.
pub const OUTCOME: HeaderName = HeaderName::from_static("monsooncart-outcome");

/// Attempt id, sent to the server, which may echo it.
pub const ATTEMPT: HeaderName = HeaderName::from_static("monsooncart-attempt");

/// Milliseconds left for the response head, sent to the server.
pub const DEADLINE: HeaderName = HeaderName::from_static("monsooncart-deadline-ms");

/// Organisation that sent the request, sent to the server.
pub const ORGANISATION: HeaderName = HeaderName::from_static("monsooncart-organisation");

/// Timeout in milliseconds, set by the caller.
pub const TIMEOUT: HeaderName = HeaderName::from_static("monsooncart-timeout-ms");

/// Ticket of unrepeatable work, set by the caller and sent to the server.
pub const TICKET: HeaderName = HeaderName::from_static("monsooncart-ticket");

/// On a response, whether its server is leaving.
pub const LEAVING: HeaderName = HeaderName::from_static("monsooncart-leaving");

/// Hop-by-hop headers, besides those listed in `Connection`.
const HOP_BY_HOP: [HeaderName; 10] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];

/// Removes hop-by-hop headers.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| *name != header::CONTENT_LENGTH && *name != header::HOST)
        .collect();
    for name in listed.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// Removes the headers that are reserved for the fleet.
pub fn strip_fleet_headers(headers: &mut HeaderMap) {
    for name in [
        REQUEST,
        SERVER,
        OUTCOME,
        ATTEMPT,
        DEADLINE,
        ORGANISATION,
        TIMEOUT,
        TICKET,
        LEAVING,
    ] {
        headers.remove(name);
    }
}

/// Whether the fleet's outcome header says that the request was not run.
pub fn is_not_run(headers: &HeaderMap) -> bool {
    let not_run = <&'static str>::from(exchange::OutcomeHeader::NotRun);
    headers.get(OUTCOME).is_some_and(|value| value == not_run)
}

/// Whether a header has the value `true`.
pub fn is_true(headers: &HeaderMap, name: &HeaderName) -> bool {
    headers.get(name).is_some_and(|value| value == "true")
}

/// Longest retry delay that is taken from a response; a server is not waited for any longer.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3600);

/// Parses a retry delay in seconds, with or without a fraction.
///
/// `None` if it is absent, negative or no number; a date, which HTTP allows, counts as no number. A
/// longer delay than [`MAX_RETRY_AFTER`] counts as that.
pub fn parse_retry_after(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(header::RETRY_AFTER)?;
    let seconds: f64 = value.to_str().ok()?.trim().parse().ok()?;
    if seconds.is_nan() || seconds.is_sign_negative() {
        return None;
    }
    Some(Duration::from_secs_f64(
        seconds.min(MAX_RETRY_AFTER.as_secs_f64()),
    ))
}

/// Parses a non-negative integer header.
pub fn parse_number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}
