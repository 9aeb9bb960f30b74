//! Divides the requests of a route over its services by weight.
//!
//! Each request goes to the service that is owed most, so that any run of requests is divided as
//! the weights say, to within about a request a service.

use std::sync::Mutex;

use monsooncart_config::routing;
use monsooncart_types::{id, map};

use crate::lock::lock;

/// Routes held at most; where more are seen, all start anew.
const CAPACITY: usize = 1 << 16;

/// What one service is owed.
#[derive(Clone, Debug)]
struct Claim {
    service: id::Service,
    requests: f64,
}

/// What the services of all divided routes are owed.
#[derive(Debug, Default)]
pub struct Splitter {
    routes: Mutex<map::Map<String, Vec<Claim>>>,
}

impl Splitter {
    /// The service of the next request of a route; `None` where the route names none.
    pub fn next(&self, route: &routing::Route) -> Option<id::Service> {
        if let [only] = route.targets.as_slice() {
            return Some(only.service.clone());
        }
        let total: f64 = route.targets.iter().map(|t| t.weight).sum();
        if total <= 0.0 {
            return route.targets.first().map(|t| t.service.clone());
        }
        let mut routes = lock(&self.routes);
        if routes.len() >= CAPACITY {
            routes.clear();
        }
        let key = format!("{}{}", route.host, route.prefix);
        let claims = routes.entry(key).or_default();
        let same = claims.len() == route.targets.len()
            && claims
                .iter()
                .zip(&route.targets)
                .all(|(c, t)| c.service == t.service);
        if !same {
            let claim = |target: &routing::Target| Claim {
                service: target.service.clone(),
                requests: 0.0,
            };
            *claims = route.targets.iter().map(claim).collect();
        }
        for (claim, target) in claims.iter_mut().zip(&route.targets) {
            claim.requests += target.weight / total;
        }
        let most = |a: &&mut Claim, b: &&mut Claim| a.requests.total_cmp(&b.requests);
        let owed = claims.iter_mut().max_by(most)?;
        owed.requests -= 1.0;
        Some(owed.service.clone())
    }
}
