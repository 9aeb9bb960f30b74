//! How large the answers of each route usually are.

use std::sync::Mutex;

use monsooncart_config::routing;
use monsooncart_types::map;

use crate::lock::lock;

/// Routes held at most; where more are seen, all start anew.
const CAPACITY: usize = 1 << 16;

/// Weight of a new size in a running mean.
const WEIGHT: f64 = 0.1;

/// Running means of the sizes of answers, in bytes.
#[derive(Debug, Default)]
pub struct Sizes {
    routes: Mutex<map::Map<String, f64>>,
}

/// Names a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Key(String);

impl Key {
    /// The key of a route.
    pub fn new(route: &routing::Route) -> Self {
        Self(format!("{}{}", route.host, route.prefix))
    }
}

impl Sizes {
    /// The usual size of a route's answers; 0 before one was seen.
    pub fn usual(&self, key: &Key) -> u64 {
        let routes = lock(&self.routes);
        routes.get(&key.0).map_or(0, |mean| *mean as u64)
    }

    /// Takes the size of an answer.
    pub fn take(&self, key: &Key, bytes: u64) {
        let mut routes = lock(&self.routes);
        if routes.len() >= CAPACITY {
            routes.clear();
        }
        let bytes = bytes as f64;
        let mean = routes.entry(key.0.clone()).or_insert(bytes);
        *mean += (bytes - *mean) * WEIGHT;
    }
}
