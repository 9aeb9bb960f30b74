//! Answers `GET /v1/entries`: the addresses that callers of a service are to use.

use http::{HeaderValue, Method, StatusCode, header as names};
use hyper::body::Incoming;
use monsooncart_types::id;

use crate::request::{Answer, document};
use crate::{engine, interface, problem};

#[derive(serde::Serialize)]
struct Entries {
    service: id::Service,
    entries: Vec<interface::Entry>,
}

/// Tells the addresses.
///
/// # Errors
///
/// The answer to a request that names no service.
pub fn answer(
    shared: &engine::Shared,
    request: &http::Request<Incoming>,
) -> Result<Answer, problem::Problem> {
    if request.method() != Method::GET {
        return Err(problem::Problem::wrong_method("GET"));
    }
    let query = request.uri().query().unwrap_or_default();
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let service = pairs
        .filter(|(key, _)| *key == "service")
        .map(|(_, v)| v)
        .next();
    let service = service.ok_or_else(|| problem::Problem::malformed("query names no service"))?;
    let service: id::Service = service
        .parse()
        .map_err(|error: id::Error| problem::Problem::malformed(&error.to_string()))?;
    let entries = shared.common.fleet.entries(&service);
    let Some((entries, lifetime)) = entries else {
        let detail = format!("service {service} does not exist");
        let status = StatusCode::NOT_FOUND;
        return Err(problem::Problem::not_run(status, "unknown-service", detail));
    };
    let mut response = document(StatusCode::OK, &Entries { service, entries });
    let age = format!("max-age={}", lifetime.as_secs());
    if let Ok(age) = HeaderValue::from_str(&age) {
        response.headers_mut().insert(names::CACHE_CONTROL, age);
    }
    Ok(response)
}
