//! Routing by host and path, for deployments whose servers register themselves.
//!
//! A request is matched by its host and the longest prefix of its path. Its route refers to one
//! service, or to several with weights.

pub mod access;
pub mod digest;
pub mod part;

use monsooncart_types::{id, map, size, span};

/// Routes, the services they refer to, and limits of callers' requests.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Routing {
    /// Version shown to operators; increases with every change.
    pub version: u64,
    /// Limits of callers' requests and connections.
    pub limits: Limits,
    /// Routes of all hosts.
    pub routes: Vec<Route>,
    /// Services that the routes refer to.
    pub services: Vec<Service>,
    /// Who may send requests. Not part of the encoding of the first release, see [`part`].
    #[serde(skip, default = "access::Access::unknown")]
    pub access: access::Access,
}

/// Limits of callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Maximum size of a request head.
    pub head: size::Size,
    /// Maximum size of a request body.
    pub body: size::Size,
    /// Maximum time for a caller to send a request head.
    pub head_timeout: span::Span,
    /// Maximum idle time of a connection from a caller.
    pub idle_timeout: span::Span,
}

impl Default for Limits {
    fn default() -> Self {
        let listener_limits = crate::settings::Limits::default();
        Self {
            head: listener_limits.head,
            body: size::Size(u64::MAX),
            head_timeout: listener_limits.head_timeout,
            idle_timeout: listener_limits.idle_timeout,
        }
    }
}

/// Rules for the requests to one host under one path prefix.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name shown to operators.
    pub name: String,
    /// Host, without a port.
    pub host: String,
    /// Path prefix, which starts and ends with a slash.
    pub prefix: String,
    /// Whether a request may be executed more than once.
    pub repeatable: bool,
    /// Maximum time that a caller waits for a response.
    pub timeout: Option<span::Span>,
    /// Latency objective, within which a response has its full value to the caller.
    pub objective: Option<span::Span>,
    /// Maximum number of servers that one request is sent to.
    pub attempts: u32,
    /// Priority under overload; 0 is the highest.
    pub priority: u32,
    /// Services that receive its requests.
    pub targets: Vec<Target>,
    /// Whether callers need no key, although others do. Not part of the encoding of the first
    /// release, see [`part`].
    #[serde(skip)]
    pub open: bool,
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Name of the service.
    pub service: id::Service,
    /// Its share of the requests, relative to the weights of the other targets.
    pub weight: f64,
}

/// A service that routes refer to.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service.
    pub name: id::Service,
    /// Path of the health endpoint of its servers; `None` if they have none.
    pub health_path: Option<String>,
    /// Number of connections that each of its servers accepts.
    pub connections: u32,
}

/// Index of routes by host and path prefix.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Indices into [`Routing::routes`], by host and prefix.
    hosts: map::Map<String, map::Map<String, usize>>,
}

impl Table {
    /// Builds the index of the routes of `routing`.
    #[must_use]
    pub fn new(routing: &Routing) -> Self {
        let mut hosts: map::Map<String, map::Map<String, usize>> = map::Map::default();
        for (index, route) in routing.routes.iter().enumerate() {
            let prefixes = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            prefixes.insert(route.prefix.clone(), index);
        }
        Self { hosts }
    }

    /// Index of the route of `host` with the longest prefix of `path`; `host` may have a port.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<usize> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let prefixes = match self.hosts.get(host) {
            Some(prefixes) => prefixes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        let slashes = path.match_indices('/').rev();
        let mut candidates = slashes.map(|(slash, _)| &path[..=slash]);
        candidates.find_map(|prefix| prefixes.get(prefix).copied())
    }
}
