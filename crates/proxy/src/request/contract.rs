//! Who sends a request, and under which contract.

use std::sync::Arc;
use std::time::Duration;

use http::{HeaderValue, Method, StatusCode, header as standard};
use hyper::body::Incoming;
use monsooncart_config::{organisation, route};
use monsooncart_policy::claims::ticket;
use monsooncart_types::{id, size};
use tokio::time::Instant;

use crate::{engine, header, host_routing, problem, router, sizes};

/// The contract that a request has.
pub struct Contract {
    /// On whose behalf it comes.
    pub organisation: id::Organisation,
    /// Weight of the organisation's share of a loaded service.
    pub weight: u32,
    /// The service that it goes to.
    pub service: id::Service,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Whether a ticket is wanted.
    pub ticket: route::Ticket,
    /// Largest body; unbounded where absent.
    pub body_limit: Option<size::Size>,
    /// Servers that it may be sent to, at most.
    pub attempts: u32,
    /// Rank under load; 0 is the highest.
    pub priority: u32,
    /// Time within which an answer is worth the most, where the route states it.
    pub objective: Option<Duration>,
    /// Names the route for the sizes of its answers.
    pub sizes: Option<sizes::Key>,
    /// Version of the routing that names the contract; 0 where a key does.
    pub routing: u64,
    /// Name that the caller gave the request.
    pub name: Option<HeaderValue>,
    /// Longest time to the head of its answer.
    pub timeout: Duration,
    /// When that time ends.
    pub until: Instant,
}

/// Servers that one request is sent to, at most, where its route does not say.
const ATTEMPTS: u32 = 4;

/// Time for the final answer to reach a caller before it leaves, where that is not a large part of
/// its deadline.
const ANSWER_TIME: Duration = Duration::from_millis(100);

/// Largest part of a deadline that is left for the answer's way, as a divisor.
const ANSWER_PART: u32 = 10;

/// Longest time that a caller is kept waiting where neither its route nor it says.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Whether a head is one that the request path takes.
///
/// # Errors
///
/// The answer where it is not.
pub fn check_head(
    shared: &engine::Shared,
    request: &http::Request<Incoming>,
) -> Result<(), problem::Problem> {
    let uri = request
        .uri()
        .path_and_query()
        .map_or(0, |p| p.as_str().len());
    let line = |(name, value): (&http::HeaderName, &HeaderValue)| {
        // A colon, a space and the line's end besides.
        name.as_str().len() + value.len() + 4
    };
    let head = uri + request.headers().iter().map(line).sum::<usize>();
    let limit = shared.common.limits().head.0;
    if head as u64 > limit {
        let detail = format!("request head of {head} bytes is larger than {limit}");
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        return Err(problem::Problem::not_run(status, "head-too-large", detail));
    }
    let path = request.uri().path();
    if request.method() == Method::CONNECT || !path.starts_with('/') {
        return Err(problem::Problem::malformed("request target is not a path"));
    }
    // Prefixes are compared byte by byte, as the servers behind them do.
    if shared.common.hosts.is_none() && router::is_ambiguous(path) {
        return Err(problem::Problem::malformed(
            "request path has . or .. segments",
        ));
    }
    Ok(())
}

/// The organisation that a request's key belongs to.
///
/// # Errors
///
/// The answer where it belongs to none.
pub fn organisation(
    shared: &engine::Shared,
    request: &http::Request<Incoming>,
) -> Result<Arc<organisation::Organisation>, problem::Problem> {
    let value = request.headers().get(standard::AUTHORIZATION);
    let key = value.and_then(|value| bearer(value.as_bytes()));
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

/// The contract of a request.
///
/// # Errors
///
/// The answer where it has none.
pub fn find(
    shared: &engine::Shared,
    request: &http::Request<Incoming>,
) -> Result<Contract, problem::Problem> {
    let organisation = organisation(shared, request)?;
    let path = request.uri().path();
    let router = shared.router.load();
    let target = match router.find(request.method().as_str(), path) {
        router::Match::Found(target) => target,
        router::Match::Unknown => return Err(problem::Problem::unknown_path(path)),
        router::Match::Method(methods) => {
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
        let millis = header::number(request.headers(), &header::TIMEOUT);
        let millis = millis.filter(|millis| *millis > 0);
        let millis = millis.ok_or_else(|| {
            problem::Problem::malformed(&format!(
                "timeout {value:?} is not a number of milliseconds"
            ))
        })?;
        timeout = timeout.min(Duration::from_millis(millis));
    }
    let route = target.route();
    Ok(Contract {
        organisation: organisation.name.clone(),
        weight: organisation.weight,
        service: target.service.name.clone(),
        repeatable: route.repeatable,
        ticket: route.ticket,
        body_limit: route.body_limit,
        attempts: ATTEMPTS,
        priority: 0,
        objective: None,
        sizes: None,
        routing: 0,
        name: None,
        timeout,
        until: Instant::now() + timeout,
    })
}

/// The contract of a request that its host and path name.
///
/// # Errors
///
/// The answer where it has none, or where no routing is held yet.
pub fn find_by_host(
    shared: &engine::Shared,
    names: &host_routing::HeaderNames,
    request: &http::Request<Incoming>,
) -> Result<Contract, problem::Problem> {
    let snapshot = shared.snapshot.load();
    let Some(routing) = snapshot.routing() else {
        return Err(problem::Problem::unconfigured());
    };
    let path = request.uri().path();
    let authority = request.uri().authority().map(|a| a.as_str().as_bytes());
    let host = request
        .headers()
        .get(standard::HOST)
        .map(HeaderValue::as_bytes);
    let host = authority.or(host).unwrap_or_default();
    let host = std::str::from_utf8(host).unwrap_or_default();
    let unknown = || problem::Problem::unknown_path(path);
    let route = snapshot.route(host, path).ok_or_else(unknown)?;
    let service = shared.splitter.next(route).ok_or_else(unknown)?;
    let left = header::number(request.headers(), &names.deadline).map(Duration::from_millis);
    let left = left.map(|left| left.saturating_sub(ANSWER_TIME.min(left / ANSWER_PART)));
    let timeout = route.timeout.map(|timeout| timeout.0);
    let timeout = timeout.into_iter().chain(left).min().unwrap_or(TIMEOUT);
    Ok(Contract {
        organisation: shared.common.anyone.clone(),
        weight: 1,
        service,
        repeatable: route.repeatable,
        ticket: route::Ticket::None,
        body_limit: Some(routing.limits.body),
        attempts: route.attempts.max(1),
        priority: route.priority,
        objective: route.objective.map(|objective| objective.0),
        sizes: Some(sizes::Key::new(route)),
        routing: routing.version,
        name: request.headers().get(&names.request).cloned(),
        timeout,
        until: Instant::now() + timeout,
    })
}

/// The ticket of a request, where its route wants one.
///
/// # Errors
///
/// The answer where it is missing or malformed.
pub fn ticket(
    request: &http::Request<Incoming>,
    wanted: route::Ticket,
) -> Result<Option<ticket::Ticket>, problem::Problem> {
    if wanted == route::Ticket::None {
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
        if wanted == route::Ticket::Required {
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

/// The key of a bearer `Authorization`.
fn bearer(value: &[u8]) -> Option<&[u8]> {
    let (scheme, key) = value.split_at_checked(7)?;
    let key = key.trim_ascii();
    (scheme.eq_ignore_ascii_case(b"bearer ") && !key.is_empty()).then_some(key)
}
