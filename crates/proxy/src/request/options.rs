//! Authenticates a request and resolves the options under which it is forwarded.

use std::sync::Arc;
use std::time::Duration;

use http::{HeaderValue, Method, StatusCode, header as names};
use hyper::body::Incoming;
use monsooncart_config::{organisation, route};
use monsooncart_policy::claims::ticket;
use monsooncart_types::{id, size};

use crate::{
    access, deadline, engine, header, host_routing, problem, relay, request, response_sizes, router,
};

/// Options of a request, resolved from its route, its caller and the configuration.
pub struct Options {
    pub organisation: id::Organisation,
    /// Whose request it is, with host routing.
    pub grant: access::Grant,
    /// Fair-share weight of the organisation on a loaded service.
    pub weight: u32,
    pub service: id::Service,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether a ticket is accepted or required.
    pub ticket: route::Ticket,
    /// Maximum body size; unlimited if absent.
    pub body_limit: Option<size::Size>,
    pub max_attempts: u32,
    /// Priority under load; 0 is the highest.
    pub priority: u32,
    /// Latency objective of the route.
    pub objective: Option<Duration>,
    /// Key of the route for response-size statistics.
    pub route_key: Option<response_sizes::Key>,
    /// Version of the routing configuration that was used; 0 for routing by key.
    pub routing_version: u64,
    /// Request id set by the caller.
    pub caller_request_id: Option<HeaderValue>,
    pub deadlines: deadline::Deadlines,
}

/// Takes the number of attempts that the requesting daemon allows from the headers of a relayed
/// request; one if it is missing or malformed.
pub fn take_allowed_attempts(headers: &mut http::HeaderMap) -> u32 {
    let allowed = header::parse_number(headers, &relay::HEADER);
    headers.remove(relay::HEADER);
    let allowed = allowed.and_then(|allowed| u32::try_from(allowed).ok());
    allowed.unwrap_or(1)
}

const DEFAULT_MAX_ATTEMPTS: u32 = 4;

/// Time by which a caller's deadline is shortened, so that the response reaches it in time.
const RESPONSE_MARGIN: Duration = Duration::from_millis(100);

/// The margin is at most the time left until the caller's deadline, divided by this.
const RESPONSE_MARGIN_DIVISOR: u32 = 10;

/// Timeout if neither the route nor the caller sets one.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);

/// Checks the size and target of a request head.
///
/// # Errors
///
/// The response to an oversized or malformed head.
pub fn check_head(
    shared: &engine::Shared,
    request: &http::Request<Incoming>,
) -> Result<(), problem::Problem> {
    let uri_bytes = request
        .uri()
        .path_and_query()
        .map_or(0, |p| p.as_str().len());
    let line_bytes = |(name, value): (&http::HeaderName, &HeaderValue)| {
        // The colon, the space and the line end count too.
        name.as_str().len() + value.len() + 4
    };
    let head_bytes = uri_bytes + request.headers().iter().map(line_bytes).sum::<usize>();
    let limit = shared.common.limits().head.0;
    if head_bytes as u64 > limit {
        let detail = format!("request head of {head_bytes} bytes is larger than {limit}");
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        return Err(problem::Problem::not_run(status, "head-too-large", detail));
    }
    let path = request.uri().path();
    if request.method() == Method::CONNECT || !path.starts_with('/') {
        return Err(problem::Problem::malformed("request target is not a path"));
    }
    // With host routing, the servers compare prefixes byte by byte too, so dot segments are not
    // ambiguous there.
    if shared.common.host_headers.is_none() && router::has_dot_segments(path) {
        return Err(problem::Problem::malformed(
            "request path has . or .. segments",
        ));
    }
    Ok(())
}

/// Returns the organisation that the request's key belongs to.
///
/// # Errors
///
/// The response to a missing or unknown key.
pub fn authenticate(
    shared: &engine::Shared,
    request: &http::Request<Incoming>,
) -> Result<Arc<organisation::Organisation>, problem::Problem> {
    let value = request.headers().get(names::AUTHORIZATION);
    let key = value.and_then(|value| parse_bearer_key(value.as_bytes()));
    let digest = key.map(organisation::Digest::of);
    let snapshot = shared.snapshot.load();
    let organisation = digest.and_then(|digest| snapshot.organisation(&digest));
    organisation.ok_or_else(|| {
        problem::Problem::not_run(
            StatusCode::UNAUTHORIZED,
            "unknown-key",
            "bearer key is missing or belongs to no organisation",
        )
    })
}

/// Resolves the options of a request from its key and path.
///
/// # Errors
///
/// The response if the key, the path or the method does not resolve to a route, the organisation
/// may not use the service, or the caller's timeout is malformed.
pub fn resolve_by_key(
    shared: &engine::Shared,
    request: &http::Request<Incoming>,
) -> Result<Options, problem::Problem> {
    let organisation = authenticate(shared, request)?;
    let path = request.uri().path();
    let router = shared.router.load();
    let target = match router.find(request.method().as_str(), path) {
        router::Match::Found(target) => target,
        router::Match::Unknown => return Err(problem::Problem::unknown_path(path)),
        router::Match::MethodNotAllowed(methods) => {
            return Err(problem::Problem::wrong_method(&methods.join(", ")));
        }
    };
    let service = &target.service.name;
    if !organisation.services.is_empty() && !organisation.services.contains(service) {
        let name = &organisation.name;
        let detail = format!("organisation {name} may not use service {service}");
        let status = StatusCode::FORBIDDEN;
        return Err(problem::Problem::not_run(status, "not-allowed", detail));
    }
    let mut timeout = target.route().timeout.0;
    if let Some(value) = request.headers().get(header::TIMEOUT) {
        let millis = header::parse_number(request.headers(), &header::TIMEOUT);
        let millis = millis.filter(|millis| *millis > 0);
        let millis = millis.ok_or_else(|| {
            problem::Problem::malformed(&format!(
                "timeout {value:?} is not a number of milliseconds"
            ))
        })?;
        timeout = timeout.min(Duration::from_millis(millis));
    }
    let route = target.route();
    Ok(Options {
        organisation: organisation.name.clone(),
        grant: access::Grant::Open,
        weight: organisation.weight,
        service: target.service.name.clone(),
        repeatable: route.repeatable,
        ticket: route.ticket,
        body_limit: route.body_limit,
        max_attempts: DEFAULT_MAX_ATTEMPTS,
        priority: 0,
        objective: None,
        route_key: None,
        routing_version: 0,
        caller_request_id: None,
        deadlines: deadline::Deadlines::new(deadline::Scope::Head, timeout),
    })
}

/// Resolves the options of a request from its host and path.
///
/// # Errors
///
/// The response if no route matches, no routing configuration has been received yet, or the caller
/// has no valid key.
pub fn resolve_by_host(
    shared: &engine::Shared,
    host_headers: &host_routing::HeaderNames,
    request: &http::Request<Incoming>,
    origin: request::Origin,
) -> Result<Options, problem::Problem> {
    let snapshot = shared.snapshot.load();
    let Some(routing) = snapshot.routing() else {
        return Err(problem::Problem::unconfigured());
    };
    let path = request.uri().path();
    let authority = request.uri().authority().map(|a| a.as_str().as_bytes());
    let host = request
        .headers()
        .get(names::HOST)
        .map(HeaderValue::as_bytes);
    let host = authority.or(host).unwrap_or_default();
    let host = std::str::from_utf8(host).unwrap_or_default();
    let unknown = || problem::Problem::unknown_path(path);
    let route = snapshot.route(host, path).ok_or_else(unknown)?;
    let grant = access::authenticate(&snapshot, route, host_headers, request.headers(), origin)?;
    let service = shared.splitter.next_service(route).ok_or_else(unknown)?;
    let remaining =
        header::parse_number(request.headers(), &host_headers.deadline).map(Duration::from_millis);
    let remaining = remaining.map(|remaining| {
        remaining.saturating_sub(RESPONSE_MARGIN.min(remaining / RESPONSE_MARGIN_DIVISOR))
    });
    let timeout = route.timeout.map(|timeout| timeout.0);
    let timeout = timeout
        .into_iter()
        .chain(remaining)
        .min()
        .unwrap_or(DEFAULT_TIMEOUT);
    let organisation = grant.organisation();
    let priority = organisation.and_then(|organisation| organisation.priority);
    let name = organisation.map(|organisation| &organisation.name);
    Ok(Options {
        organisation: name.unwrap_or(&shared.common.default_organisation).clone(),
        weight: 1,
        service,
        repeatable: route.repeatable,
        ticket: route::Ticket::None,
        body_limit: Some(routing.limits.body),
        max_attempts: route.attempts.max(1),
        priority: priority.unwrap_or(route.priority),
        objective: route.objective.map(|objective| objective.0),
        route_key: Some(response_sizes::Key::new(route)),
        routing_version: routing.version,
        caller_request_id: request.headers().get(&host_headers.request).cloned(),
        deadlines: deadline::Deadlines::new(deadline::Scope::Exchange, timeout),
        grant,
    })
}

/// Parses the ticket of a request if its route uses tickets.
///
/// # Errors
///
/// The response if a required ticket is missing or the ticket is malformed.
pub fn parse_ticket(
    request: &http::Request<Incoming>,
    requirement: route::Ticket,
) -> Result<Option<ticket::Ticket>, problem::Problem> {
    if requirement == route::Ticket::None {
        return Ok(None);
    }
    let mut values = request.headers().get_all(header::TICKET).iter();
    let (first, second) = (values.next(), values.next());
    if second.is_some() {
        return Err(problem::Problem::malformed(
            "request has more than one ticket",
        ));
    }
    let Some(value) = first else {
        if requirement == route::Ticket::Required {
            return Err(problem::Problem::not_run(
                StatusCode::PRECONDITION_REQUIRED,
                "ticket-required",
                "the route wants a ticket from POST /v1/tickets in monsooncart-ticket",
            ));
        }
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default();
    let ticket = text
        .parse()
        .map_err(|error: ticket::Error| problem::Problem::malformed(&error.to_string()))?;
    Ok(Some(ticket))
}

/// Extracts the key of a bearer `Authorization` value.
fn parse_bearer_key(value: &[u8]) -> Option<&[u8]> {
    let (scheme, key) = value.split_at_checked(7)?;
    let key = key.trim_ascii();
    (scheme.eq_ignore_ascii_case(b"bearer ") && !key.is_empty()).then_some(key)
}
