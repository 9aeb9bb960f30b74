//! Metrics of the cluster engine and of logging, read on each scrape.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Weak};

use prometheus::core::{Collector, Desc};
use prometheus::{IntCounter, proto};

use crate::{core, logging};

/// Reads the current value of a counter.
type Read = fn(&core::Core) -> u64;

/// A metric whose value is maintained elsewhere.
struct Counter {
    counter: IntCounter,
    read: Read,
}

/// Collects counters that are maintained elsewhere.
pub struct CounterCollector {
    core: Weak<core::Core>,
    counters: Vec<Counter>,
}

fn read_cluster(
    core: &core::Core,
    read: impl Fn(&monsooncart_cluster::counters::Counters) -> u64,
) -> u64 {
    core.cluster().map_or(0, |cluster| read(cluster.counters()))
}

/// Name, help text and source of each metric.
const COUNTERS: [(&str, &str, Read); 9] = [
    (
        "monsooncart_store_calls_total",
        "Calls of the platform's store, a waiting watch as one.",
        |core| read_cluster(core, |c| c.platform_calls.load(Ordering::Relaxed)),
    ),
    (
        "monsooncart_store_restores_total",
        "Times that the platform's store was restored from a backup.",
        |core| read_cluster(core, |c| c.store_restores.load(Ordering::Relaxed)),
    ),
    (
        "monsooncart_datagrams_sent_total",
        "Datagrams sent to other daemons.",
        |core| read_cluster(core, |c| c.datagrams_sent.load(Ordering::Relaxed)),
    ),
    (
        "monsooncart_datagram_bytes_sent_total",
        "Bytes of datagrams sent to other daemons.",
        |core| read_cluster(core, |c| c.datagram_bytes_sent.load(Ordering::Relaxed)),
    ),
    (
        "monsooncart_call_bytes_sent_total",
        "Bytes of calls sent to other daemons.",
        |core| read_cluster(core, |c| c.call_bytes_sent.load(Ordering::Relaxed)),
    ),
    (
        "monsooncart_routing_bytes_served_total",
        "Bytes of parts of the routing served to other daemons.",
        |core| read_cluster(core, |c| c.part_bytes_served.load(Ordering::Relaxed)),
    ),
    (
        "monsooncart_routing_bytes_received_total",
        "Bytes of parts of the routing received from other daemons.",
        |core| read_cluster(core, |c| c.part_bytes_received.load(Ordering::Relaxed)),
    ),
    (
        "monsooncart_news_dropped_total",
        "News not told since too many calls were running.",
        |core| read_cluster(core, |c| c.updates_dropped.load(Ordering::Relaxed)),
    ),
    (
        "monsooncart_log_lines_dropped_total",
        "Log lines dropped since standard output did not keep up.",
        |_| logging::dropped_lines(),
    ),
];

impl CounterCollector {
    /// Creates the collector for a daemon.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric name is invalid.
    pub fn new(core: &Arc<core::Core>) -> prometheus::Result<Self> {
        let counters = COUNTERS.into_iter().map(|(name, help, read)| {
            let counter = IntCounter::new(name, help)?;
            Ok(Counter { counter, read })
        });
        Ok(Self {
            core: Arc::downgrade(core),
            counters: counters.collect::<prometheus::Result<_>>()?,
        })
    }
}

impl Collector for CounterCollector {
    fn desc(&self) -> Vec<&Desc> {
        self.counters
            .iter()
            .flat_map(|c| c.counter.desc())
            .collect()
    }

    fn collect(&self) -> Vec<proto::MetricFamily> {
        let core = self.core.upgrade();
        let collect = |metric: &Counter| {
            if let Some(core) = &core {
                let value = (metric.read)(core);
                metric
                    .counter
                    .inc_by(value.saturating_sub(metric.counter.get()));
            }
            metric.counter.collect()
        };
        self.counters.iter().flat_map(collect).collect()
    }
}
