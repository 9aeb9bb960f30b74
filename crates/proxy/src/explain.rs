//! Explains where a request would go now, without sending it.

use std::time::Duration;

use monsooncart_config::routing::{self, access};
use monsooncart_policy::service::Explanation;
use monsooncart_policy::{event, handle};
use monsooncart_types::id;

use crate::{engine, response_sizes};

/// Timeout if the route sets none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);

/// What a request would be handled by.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Route {
    /// Version of the routing configuration.
    pub routing: u64,
    /// The route.
    pub name: String,
    /// Its path prefix.
    pub prefix: String,
    /// Whether its requests may run more than once.
    pub repeatable: bool,
    /// Priority under overload; 0 is the highest.
    pub priority: u32,
    /// Maximum time that a caller waits, in milliseconds.
    pub timeout_millis: Option<u64>,
    /// The organisation, if callers have keys.
    pub organisation: Option<Organisation>,
    /// Each service that receives its requests.
    pub services: Vec<Service>,
}

/// The organisation of a request.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Organisation {
    /// Its name.
    pub name: id::Organisation,
    /// Its allowance, if it has one.
    pub allowance: Option<access::Allowance>,
    /// This daemon's share of it; `None` if it had no request here lately.
    pub share: Option<f64>,
}

/// A service of a route.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Service {
    /// Its name.
    pub service: id::Service,
    /// Its weight among the services of the route.
    pub weight: f64,
    /// What would become of the request.
    pub explanation: Option<Explanation>,
    /// Names of the candidates, in their order.
    pub servers: Vec<Option<id::Server>>,
}

impl engine::Engine {
    /// Explains where a request to `host` and `path` would go now; `None` if no route matches.
    #[must_use]
    pub fn explain_route(
        &self,
        host: &str,
        path: &str,
        organisation: Option<&id::Organisation>,
    ) -> Option<Route> {
        let snapshot = self.snapshot();
        let route = snapshot.route(host, path)?;
        let organisation = organisation.and_then(|o| snapshot.routing_organisation_by_name(o));
        let priority = organisation.and_then(|organisation| organisation.priority);
        let priority = priority.unwrap_or(route.priority);
        let services = route.targets.iter().map(|target| {
            let explained = self.explain_service(route, priority, &target.service);
            let (explanation, servers) = explained.unzip();
            Service {
                service: target.service.clone(),
                weight: target.weight,
                explanation,
                servers: servers.unwrap_or_default(),
            }
        });
        let millis = |timeout: Duration| u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX);
        Some(Route {
            routing: snapshot.routing().map_or(0, |routing| routing.version),
            name: route.name.clone(),
            prefix: route.prefix.clone(),
            repeatable: route.repeatable,
            priority,
            timeout_millis: route.timeout.map(|timeout| millis(timeout.0)),
            organisation: organisation.map(|organisation| Organisation {
                name: organisation.name.clone(),
                allowance: organisation.allowance,
                share: self
                    .shared()
                    .common
                    .fleet
                    .allowance_share(&organisation.name),
            }),
            services: services.collect(),
        })
    }

    fn explain_service(
        &self,
        route: &routing::Route,
        priority: u32,
        name: &id::Service,
    ) -> Option<(Explanation, Vec<Option<id::Server>>)> {
        let common = &self.shared().common;
        let key = response_sizes::Key::new(route);
        let timeout = route.timeout.map_or(DEFAULT_TIMEOUT, |timeout| timeout.0);
        let arrival = event::Arrival {
            // No request has this number, and the policy does not keep it.
            request: handle::Request(0),
            organisation: handle::Organisation(0),
            weight: 1,
            repeatable: route.repeatable,
            max_attempts: route.attempts.max(1),
            route: key.handle(),
            priority,
            objective: route.objective.map(|objective| objective.0),
            expected_response_bytes: common.response_sizes.mean(&key),
            deadline: common.clock.now() + timeout,
            fingerprint: None,
            relayed: false,
        };
        let service = self.shared().service(name)?;
        let explanation = service.explain(arrival)?;
        let candidates = explanation.candidates.iter();
        let servers = candidates.map(|c| service.server_name(c.server)).collect();
        Some((explanation, servers))
    }
}
