//! Authenticates a request by the key of its caller.
//!
//! The key stays in this daemon: servers, and daemons that relay a request, receive the name of the
//! organisation instead. A relayed request has no key, and the name that another daemon set is
//! trusted. Daemons of earlier releases forward the key; then the key counts, as they also forward
//! any name that a caller sent.

use http::{HeaderMap, HeaderValue, StatusCode};
use monsooncart_config::routing::{self, access, digest};
use monsooncart_config::snapshot;
use monsooncart_types::id;

use crate::{host_routing, problem, request};

/// Whose request it is, and what becomes of the headers that say so.
#[derive(Clone, Debug, PartialEq)]
pub enum Grant {
    /// Callers have no keys; the headers are forwarded as they are.
    Open,
    /// The route needs no key; the headers are removed.
    Exempt,
    /// The headers are replaced by the name of this organisation.
    Organisation(access::Organisation),
}

impl Grant {
    /// The organisation, if the request has one.
    pub fn organisation(&self) -> Option<&access::Organisation> {
        match self {
            Self::Organisation(organisation) => Some(organisation),
            Self::Open | Self::Exempt => None,
        }
    }

    /// Sets the headers of a request to a server.
    pub fn rewrite(&self, names: &host_routing::HeaderNames, headers: &mut HeaderMap) {
        if *self == Self::Open {
            return;
        }
        headers.remove(&names.key);
        headers.remove(&names.organisation);
        if let Some(organisation) = self.organisation()
            && let Ok(name) = HeaderValue::from_str(organisation.name.as_str())
        {
            headers.insert(&names.organisation, name);
        }
    }
}

/// Authenticates a request of `route`.
///
/// # Errors
///
/// The response to a request without a valid key, or while it is not known whether one is needed.
pub fn authenticate(
    snapshot: &snapshot::Snapshot,
    route: &routing::Route,
    names: &host_routing::HeaderNames,
    headers: &HeaderMap,
    origin: request::Origin,
) -> Result<Grant, problem::Problem> {
    let access = snapshot.routing().map(|routing| &routing.access);
    match access {
        None => return Err(problem::Problem::unconfigured()),
        Some(access::Access::Open) => return Ok(Grant::Open),
        Some(access::Access::Unknown) if headers.contains_key(&names.key) => {
            return Err(problem::Problem::unconfigured());
        }
        Some(access::Access::Unknown) => return Ok(Grant::Open),
        Some(access::Access::Keys(_)) if route.open => return Ok(Grant::Exempt),
        Some(access::Access::Keys(_)) => {}
    }
    let mut keys = headers.get_all(&names.key).iter();
    let organisation = match keys.next() {
        Some(key) if keys.any(|other| other != key) => {
            return Err(unauthorised("the request has two different keys"));
        }
        Some(key) => snapshot.routing_organisation(&digest::Digest::of(key.as_bytes())),
        None if origin == request::Origin::Relay => {
            let name = headers.get(&names.organisation);
            let name = name.and_then(|name| name.to_str().ok()?.parse::<id::Organisation>().ok());
            name.and_then(|name| snapshot.routing_organisation_by_name(&name))
        }
        None => return Err(unauthorised("the request has no key")),
    };
    let organisation = organisation.cloned();
    let organisation = organisation.map(Grant::Organisation);
    organisation.ok_or_else(|| unauthorised("the key belongs to no organisation"))
}

fn unauthorised(detail: &'static str) -> problem::Problem {
    problem::Problem::not_run(StatusCode::UNAUTHORIZED, "unknown-key", detail)
}
