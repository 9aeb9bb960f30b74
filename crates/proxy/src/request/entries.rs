//! Handles `GET /v1/entries`, which lists the addresses for callers of a service.

use http::{HeaderValue, Method, StatusCode, header as names};
use hyper::body::Incoming;
use monsooncart_types::id;

use crate::request::{Response, json_response};
use crate::{engine, interface, problem};

#[derive(serde::Serialize)]
struct Document {
    service: id::Service,
    entries: Vec<interface::Entry>,
}

/// Returns the addresses.
///
/// # Errors
///
/// The response if the method is wrong or the query names no known service.
pub fn respond(
    shared: &engine::Shared,
    request: &http::Request<Incoming>,
) -> Result<Response, problem::Problem> {
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
    let mut response = json_response(StatusCode::OK, &Document { service, entries });
    let max_age = format!("max-age={}", lifetime.as_secs());
    if let Ok(max_age) = HeaderValue::from_str(&max_age) {
        response.headers_mut().insert(names::CACHE_CONTROL, max_age);
    }
    Ok(response)
}
