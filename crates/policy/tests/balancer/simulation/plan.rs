//! Parameters and results of simulated runs.

use std::collections::BTreeMap;
use std::time::Duration;

use monsooncart_policy::{handle, health};
use monsooncart_types::time;

/// Seeds of every scenario; the environment variable `POLICY_SEEDS` sets their number.
pub fn seeds() -> std::ops::Range<u64> {
    let count = std::env::var("POLICY_SEEDS").ok();
    0..count.and_then(|n| n.parse().ok()).unwrap_or(10)
}

/// Behaviour of a simulated server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    Healthy,
    /// Never sends a response head.
    Stall,
    /// Multiplies the response time by this factor.
    Slow(f64),
    /// Answers this fraction of the requests with errors.
    Error(f64),
    /// Alternates between stalled and healthy phases of this length.
    Flap(Duration),
    /// Does not answer on connections opened before the fault.
    StaleConnections,
    /// Multiplies the response time by this factor at first, and warms up over ten seconds.
    ColdStart(f64),
}

/// Parameters of a run.
#[derive(Clone)]
pub struct Plan {
    pub seed: u64,
    pub servers: u32,
    pub slots: u32,
    /// Requests per second, as a function of the seconds since the start.
    pub rate: fn(f64) -> f64,
    /// Median time to the response head.
    pub median: Duration,
    /// Standard deviation of the logarithm of the time to the response head.
    pub sigma: f64,
    pub sensitivity: health::Sensitivity,
    /// Fraction of unrepeatable requests.
    pub unrepeatable_ratio: f64,
    /// Fraction of errors from healthy servers.
    pub error_ratio: f64,
    /// Maximum number of servers ejected at the same time.
    pub max_ejected: usize,
    pub duration: Duration,
    /// Time, servers and new mode of each change of behaviour.
    pub faults: Vec<(Duration, Vec<u32>, Mode)>,
    /// Time and number of each server that joins later.
    pub joins: Vec<(Duration, u32)>,
    pub strict: bool,
}

pub fn plan(seed: u64) -> Plan {
    Plan {
        seed,
        servers: 6,
        slots: 2,
        rate: |_| 20.0,
        median: Duration::from_millis(20),
        sigma: 0.5,
        sensitivity: health::Sensitivity::Fast,
        unrepeatable_ratio: 0.2,
        error_ratio: 0.0,
        max_ejected: 2,
        duration: Duration::from_secs(60),
        faults: Vec::new(),
        joins: Vec::new(),
        strict: true,
    }
}

/// Result of a run.
#[derive(Debug, Default)]
pub struct Outcome {
    pub requests: u32,
    /// Requests that were refused, answered by an error or late.
    pub harmed: u32,
    pub refused: u32,
    pub answered: u32,
    /// Granted ejections.
    pub ejections: Vec<(time::Time, handle::Server)>,
    pub restorations: Vec<(time::Time, handle::Server)>,
    /// Attempts by server and second.
    pub sends: BTreeMap<(u32, u64), u32>,
    pub connection_closures: u32,
    pub attempts: u32,
    pub shed: u32,
}

impl Outcome {
    /// Time from a fault to the ejection of a server.
    pub fn detection_time(&self, server: u32, fault_at: Duration) -> Option<Duration> {
        let fault_at = time::Time::ZERO + fault_at;
        let matches = |(at, s): &&(time::Time, handle::Server)| *at >= fault_at && s.0 == server;
        self.ejections
            .iter()
            .find(matches)
            .map(|(at, _)| at.since(fault_at))
    }
}
