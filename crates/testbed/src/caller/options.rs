//! Options of a caller.

use std::net;
use std::time::Duration;

/// Options of a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Daemons that the entry addresses are fetched from.
    pub daemons: Vec<net::SocketAddr>,
    /// Name of the service; also the host header.
    pub service: String,
    /// Bearer key of the organisation.
    pub key: String,
    /// Path of the repeatable requests; the request's id is appended.
    pub get: String,
    /// Path of the unrepeatable requests; the request's id is appended.
    pub post: String,
    /// Fraction of unrepeatable requests, from 0 to 1.
    pub unrepeatable: f64,
    /// Response size of repeatable requests in bytes; if absent, the response is an echo.
    pub bytes: Option<u64>,
    /// Maximum number of requests in flight.
    pub workers: usize,
    /// Requests per second over all workers; unlimited if absent.
    pub rate: Option<f64>,
    /// Total number of requests; unlimited if absent.
    pub count: Option<u64>,
    /// Time during which requests are sent.
    pub duration: Duration,
    /// Maximum number of retries of each request.
    pub retries: u32,
    /// Timeout of connecting, of the response head and of each part of the body.
    pub timeout: Duration,
    /// Seed of the random choices; also part of every request id.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            daemons: Vec::new(),
            service: "service".to_owned(),
            key: String::new(),
            get: "/".to_owned(),
            post: "/".to_owned(),
            unrepeatable: 0.0,
            bytes: None,
            workers: 1,
            rate: None,
            count: None,
            duration: Duration::from_secs(1),
            retries: 5,
            timeout: Duration::from_secs(30),
            seed: 1,
        }
    }
}
