//! Metrics of the usage accounts.

use prometheus::{IntCounter, IntGauge, Registry};

/// Metrics of the usage accounts.
pub struct Metrics {
    /// Pages not confirmed by the platform.
    pub unconfirmed_pages: IntGauge,
    /// Stored copies of other instances' pages.
    pub stored_copies: IntGauge,
    /// Writes confirmed by the platform.
    pub writes: IntCounter,
    /// Failed calls to the platform.
    pub call_failures: IntCounter,
    /// Copies that could not be sent to a peer.
    pub copy_failures: IntCounter,
}

impl Metrics {
    /// Creates the metrics and registers them.
    ///
    /// # Errors
    ///
    /// Returns an error if metrics of these names are already registered.
    pub fn new(registry: &Registry) -> prometheus::Result<Self> {
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        Ok(Self {
            unconfirmed_pages: gauge(
                "monsooncart_usage_unconfirmed_pages",
                "Usage pages that the platform has not confirmed.",
            )?,
            stored_copies: gauge(
                "monsooncart_usage_copies",
                "Usage pages of other daemons that are kept here.",
            )?,
            writes: counter(
                "monsooncart_usage_writes_total",
                "Writes of usage and burn that the platform confirmed.",
            )?,
            call_failures: counter(
                "monsooncart_usage_failures_total",
                "Calls of the platform for usage and burn that failed.",
            )?,
            copy_failures: counter(
                "monsooncart_usage_copy_failures_total",
                "Copies of usage and burn that a peer did not take.",
            )?,
        })
    }
}
