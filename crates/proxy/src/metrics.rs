//! Metrics of the request path.
//!
//! Label values are configured services and enum names, never text from callers, so that their
//! number is bounded.

use monsooncart_policy::{allowance, outcome};
use monsooncart_types::id;
use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    core::Collector,
};

const LATENCY_BUCKETS_SECONDS: [f64; 14] = [
    0.001, 0.002, 0.004, 0.008, 0.016, 0.032, 0.064, 0.128, 0.256, 0.512, 1.0, 2.0, 4.0, 8.0,
];

#[derive(Debug)]
pub struct Metrics {
    requests: IntCounterVec,
    durations: HistogramVec,
    queued_durations: HistogramVec,
    attempts: IntCounterVec,
    paths_lost: IntCounterVec,
    relayed: IntCounterVec,
    /// Requests that were received from other daemons to be relayed.
    pub received_for_relay: IntCounter,
    /// Requests rejected before their service was resolved, by status.
    pub rejections: IntCounterVec,
    /// Requests of organisations with an allowance, by decision.
    allowance_decisions: IntCounterVec,
    /// Bytes of bodies that are held for callers and servers.
    pub held_body_bytes: IntGauge,
    pub in_flight: IntGauge,
    /// Requests waiting for a server.
    pub queued: IntGauge,
    /// Time to the response head.
    pub latency: Histogram,
    /// Open connections from callers.
    pub connections: IntGauge,
    /// Connections from callers refused because too many were open.
    pub connections_refused: IntCounter,
    pub server_connections_opened: IntCounter,
    /// Connections to servers that could not be opened, by cause.
    pub server_connections_failed: IntCounterVec,
}

fn register<C: Collector + Clone + 'static>(
    registry: &Registry,
    collector: prometheus::Result<C>,
) -> prometheus::Result<C> {
    let collector = collector?;
    registry.register(Box::new(collector.clone()))?;
    Ok(collector)
}

impl Metrics {
    /// Creates the metrics and registers them.
    ///
    /// # Errors
    ///
    /// If metrics of these names are already registered.
    pub fn new(registry: &Registry) -> prometheus::Result<Self> {
        let gauge =
            |name: &str, help: &str| register(registry, IntGauge::with_opts(Opts::new(name, help)));
        let counter = |name: &str, help: &str| {
            register(registry, IntCounter::with_opts(Opts::new(name, help)))
        };
        let counters = |name: &str, help: &str, labels: &[&str]| {
            register(registry, IntCounterVec::new(Opts::new(name, help), labels))
        };
        let latency = HistogramOpts::new(
            "monsooncart_latency_seconds",
            "Time from a request's arrival to the head of its answer.",
        );
        Ok(Self {
            requests: counters(
                "monsooncart_requests_total",
                "Requests that ended, by service and outcome.",
                &["service", "outcome"],
            )?,
            durations: register(
                registry,
                HistogramVec::new(
                    HistogramOpts::new(
                        "monsooncart_request_seconds",
                        "Time from a request's arrival to its end, by service and outcome.",
                    )
                    .buckets(LATENCY_BUCKETS_SECONDS.to_vec()),
                    &["service", "outcome"],
                ),
            )?,
            queued_durations: register(
                registry,
                HistogramVec::new(
                    HistogramOpts::new(
                        "monsooncart_queued_seconds",
                        "Time from a request's arrival to its first attempt, by service.",
                    )
                    .buckets(LATENCY_BUCKETS_SECONDS.to_vec()),
                    &["service"],
                ),
            )?,
            attempts: counters(
                "monsooncart_attempts_total",
                "Attempts that ended, by service and end.",
                &["service", "end"],
            )?,
            paths_lost: counters(
                "monsooncart_paths_lost_total",
                "Times that the path to the servers of a service was lost.",
                &["service"],
            )?,
            relayed: counters(
                "monsooncart_relayed_attempts_total",
                "Attempts at having another daemon relay a request, by service and end.",
                &["service", "end"],
            )?,
            received_for_relay: counter(
                "monsooncart_requests_received_for_relay_total",
                "Requests that were received from other daemons to be relayed.",
            )?,
            rejections: counters(
                "monsooncart_rejections_total",
                "Requests refused before a server was sought, by status.",
                &["status"],
            )?,
            allowance_decisions: counters(
                "monsooncart_allowance_decisions_total",
                "Requests of organisations with an allowance, by decision.",
                &["decision"],
            )?,
            held_body_bytes: gauge(
                "monsooncart_held_body_bytes",
                "Bytes of bodies that are held for callers and servers.",
            )?,
            in_flight: gauge(
                "monsooncart_requests_in_flight",
                "Requests that did not end yet.",
            )?,
            queued: gauge(
                "monsooncart_requests_queued",
                "Requests that wait for a server.",
            )?,
            latency: register(
                registry,
                Histogram::with_opts(latency.buckets(LATENCY_BUCKETS_SECONDS.to_vec())),
            )?,
            connections: gauge(
                "monsooncart_caller_connections",
                "Connections from callers.",
            )?,
            connections_refused: counter(
                "monsooncart_caller_connections_refused_total",
                "Connections from callers that were refused since too many were open.",
            )?,
            server_connections_opened: counter(
                "monsooncart_server_connections_opened_total",
                "Connections that were opened to servers.",
            )?,
            server_connections_failed: counters(
                "monsooncart_server_connections_failed_total",
                "Connections to servers that could not be opened, by cause.",
                &["cause"],
            )?,
        })
    }

    /// Records the time that a request waited for its first attempt.
    pub fn record_queued(&self, service: &id::Service, seconds: f64) {
        self.queued_durations
            .with_label_values(&[service.as_str()])
            .observe(seconds);
    }

    /// Counts the final decision about a request of an organisation with an allowance.
    pub fn count_allowance_decision(&self, decision: allowance::Decision) {
        let label = match decision {
            allowance::Decision::Admit { after } if after.is_zero() => "admitted",
            allowance::Decision::Admit { .. } => "delayed",
            allowance::Decision::Undecided => "undecided",
            allowance::Decision::Refuse { .. } => "refused",
        };
        self.allowance_decisions.with_label_values(&[label]).inc();
    }

    /// Counts a lost path to the servers of a service.
    pub fn count_lost_path(&self, service: &id::Service) {
        self.paths_lost.with_label_values(&[service.as_str()]).inc();
    }

    /// Counts a finished attempt at having another daemon relay a request.
    pub fn record_relayed_attempt(&self, service: &id::Service, outcome: outcome::Outcome) {
        self.relayed
            .with_label_values(&[service.as_str(), outcome_label(outcome)])
            .inc();
    }

    pub fn record_attempt(&self, service: &id::Service, outcome: outcome::Outcome) {
        self.attempts
            .with_label_values(&[service.as_str(), outcome_label(outcome)])
            .inc();
    }

    pub fn record_request(&self, service: &id::Service, outcome: &str, seconds: f64) {
        self.durations
            .with_label_values(&[service.as_str(), outcome])
            .observe(seconds);
        self.requests
            .with_label_values(&[service.as_str(), outcome])
            .inc();
    }
}

/// Label of the outcome of an attempt.
fn outcome_label(outcome: outcome::Outcome) -> &'static str {
    match outcome {
        outcome::Outcome::Answered(status) if status < 500 => "answered",
        outcome::Outcome::Answered(_) | outcome::Outcome::Failed(_) => "error",
        outcome::Outcome::Shed { .. } => "shed",
        outcome::Outcome::Misdirected => "misdirected",
        outcome::Outcome::Unsent => "unsent",
        outcome::Outcome::Removed => "removed",
        outcome::Outcome::BodyTaken => "body-taken",
        outcome::Outcome::Broken => "broken",
        outcome::Outcome::Timeout => "timeout",
        outcome::Outcome::Garbled => "garbled",
        outcome::Outcome::Cancelled => "cancelled",
    }
}
