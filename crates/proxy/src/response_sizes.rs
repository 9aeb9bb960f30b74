//! Mean response size of each route.

use std::sync::Mutex;

use monsooncart_config::routing;
use monsooncart_policy::{handle, rank};
use monsooncart_types::map;

use crate::lock::lock;

/// Maximum number of routes with statistics; when it is reached, all statistics are reset.
const MAX_ROUTES: usize = 1 << 16;

/// Weight of a new size in the moving average.
const SMOOTHING_FACTOR: f64 = 0.1;

/// Exponential moving averages of response sizes, in bytes.
#[derive(Debug, Default)]
pub struct ResponseSizes {
    routes: Mutex<map::Map<String, f64>>,
}

/// Key of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Key(String);

impl Key {
    pub fn new(route: &routing::Route) -> Self {
        Self(format!("{}{}", route.host, route.prefix))
    }

    /// Handle of the route in policies.
    pub fn handle(&self) -> handle::Route {
        handle::Route(rank::hash(self.0.as_bytes()))
    }
}

impl ResponseSizes {
    /// Returns the mean response size of a route; 0 without any response.
    pub fn mean(&self, key: &Key) -> u64 {
        let routes = lock(&self.routes);
        routes.get(&key.0).map_or(0, |mean| *mean as u64)
    }

    /// Records the size of a response.
    pub fn record(&self, key: &Key, bytes: u64) {
        let mut routes = lock(&self.routes);
        if routes.len() >= MAX_ROUTES {
            routes.clear();
        }
        let bytes = bytes as f64;
        let mean = routes.entry(key.0.clone()).or_insert(bytes);
        *mean += (bytes - *mean) * SMOOTHING_FACTOR;
    }
}
