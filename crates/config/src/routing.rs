//! Routing by host and path, for deployments whose servers register themselves.
//!
//! A route is found by the request's host and the longest prefix of its path. It names one
//! service, or several with weights.

use monsooncart_types::{id, map, size, span};

/// Which requests go where, and what callers may send.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Routing {
    /// The version that operators know it by; later ones are greater.
    pub version: u64,
    /// Limits of what callers may send.
    pub limits: Limits,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services that routes name.
    pub services: Vec<Service>,
}

/// Limits of what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Largest request head.
    pub head: size::Size,
    /// Largest request body.
    pub body: size::Size,
    /// Longest time to send a request head.
    pub head_timeout: span::Span,
    /// Longest time that a connection may be idle.
    pub idle_timeout: span::Span,
}

impl Default for Limits {
    fn default() -> Self {
        let listener = crate::settings::Limits::default();
        Self {
            head: listener.head,
            body: size::Size(u64::MAX),
            head_timeout: listener.head_timeout,
            idle_timeout: listener.idle_timeout,
        }
    }
}

/// Requests of one host under one path prefix.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name that operators know it by.
    pub name: String,
    /// Host, without a port.
    pub host: String,
    /// Beginning of the path, from a slash to a slash.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Longest time that a caller is kept waiting.
    pub timeout: Option<span::Span>,
    /// Time within which an answer is worth the most.
    pub objective: Option<span::Span>,
    /// Servers that one request may be sent to, at most.
    pub attempts: u32,
    /// Rank under load; 0 is the highest.
    pub priority: u32,
    /// Where its requests go.
    pub targets: Vec<Target>,
}

/// A service with its share of a route's requests.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// The service.
    pub service: id::Service,
    /// Its share, relative to the other targets' weights.
    pub weight: f64,
}

/// A service that routes name.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its name.
    pub name: id::Service,
    /// Path of its servers' health endpoint.
    pub health_path: Option<String>,
    /// Connections that each of its servers accepts from all callers together.
    pub connections: u32,
}

/// Finds the route of a request.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Routes by host and prefix, as places in the routing's list.
    hosts: map::Map<String, map::Map<String, usize>>,
}

impl Table {
    /// The table of a routing.
    #[must_use]
    pub fn new(routing: &Routing) -> Self {
        let mut hosts: map::Map<String, map::Map<String, usize>> = map::Map::default();
        for (place, route) in routing.routes.iter().enumerate() {
            let prefixes = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            prefixes.insert(route.prefix.clone(), place);
        }
        Self { hosts }
    }

    /// Place of the route of `host` with the longest prefix of `path`.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<usize> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let prefixes = match self.hosts.get(host) {
            Some(prefixes) => prefixes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        let slashes = path.match_indices('/').rev();
        let mut found = slashes.map(|(at, _)| &path[..=at]);
        found.find_map(|prefix| prefixes.get(prefix).copied())
    }
}
