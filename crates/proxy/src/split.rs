//! Distributes the requests of a route over its services by weight.
//!
//! This is smooth weighted round-robin: each request adds its share to the credit of every
//! service and goes to the service with the most credit, so that in any sequence of requests each
//! service gets its weighted share to within about one request.

use std::sync::Mutex;

use monsooncart_config::routing;
use monsooncart_types::{id, map};

use crate::lock::lock;

/// Maximum number of routes with credits; when it is reached, all credits are reset.
const MAX_ROUTES: usize = 1 << 16;

/// Requests of a service's weighted share that it has not received yet; negative if it is ahead.
#[derive(Clone, Debug)]
struct Credit {
    service: id::Service,
    requests: f64,
}

/// Credits of the services of all weighted routes.
#[derive(Debug, Default)]
pub struct Splitter {
    routes: Mutex<map::Map<String, Vec<Credit>>>,
}

impl Splitter {
    /// Selects the service for the next request of a route; `None` if the route has none.
    pub fn next_service(&self, route: &routing::Route) -> Option<id::Service> {
        if let [only] = route.targets.as_slice() {
            return Some(only.service.clone());
        }
        let total: f64 = route.targets.iter().map(|t| t.weight).sum();
        if total <= 0.0 {
            return route.targets.first().map(|t| t.service.clone());
        }
        let mut routes = lock(&self.routes);
        if routes.len() >= MAX_ROUTES {
            routes.clear();
        }
        let key = format!("{}{}", route.host, route.prefix);
        let credits = routes.entry(key).or_default();
        let unchanged = credits.len() == route.targets.len()
            && credits
                .iter()
                .zip(&route.targets)
                .all(|(c, t)| c.service == t.service);
        if !unchanged {
            let zero_credit = |target: &routing::Target| Credit {
                service: target.service.clone(),
                requests: 0.0,
            };
            *credits = route.targets.iter().map(zero_credit).collect();
        }
        for (credit, target) in credits.iter_mut().zip(&route.targets) {
            credit.requests += target.weight / total;
        }
        let by_credit = |a: &&mut Credit, b: &&mut Credit| a.requests.total_cmp(&b.requests);
        let chosen = credits.iter_mut().max_by(by_credit)?;
        chosen.requests -= 1.0;
        Some(chosen.service.clone())
    }
}
