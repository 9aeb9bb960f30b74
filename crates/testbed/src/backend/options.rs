//! Options of a backend server.

use std::time::Duration;

/// Options of a backend server without faults.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Name of the server, which its responses contain.
    pub name: String,
    /// Service of the server.
    pub service: String,
    /// Maximum number of concurrent requests.
    pub slots: usize,
    /// Maximum number of requests waiting for a slot; more are shed.
    pub queue: usize,
    /// Mean service time.
    pub service_time: Duration,
    /// Maximum deviation from the mean, as a fraction from 0 to 1.
    pub noise: f64,
    /// Duration of the cold start, during which requests take longer.
    pub cold_start: Duration,
    /// Seed of the noise.
    pub seed: u64,
    /// Whether a poison request exits the process instead of breaking all connections.
    pub crash_exits: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            name: "backend".to_owned(),
            service: "service".to_owned(),
            slots: 2,
            queue: 4,
            service_time: Duration::ZERO,
            noise: 0.0,
            cold_start: Duration::ZERO,
            seed: 1,
            crash_exits: false,
        }
    }
}
