//! Metrics of the part between daemons and of the logs, read when they are asked for.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Weak};

use prometheus::core::{Collector, Desc};
use prometheus::{IntCounter, proto};

use crate::{core, logging};

/// Reads one counter.
type Read = fn(&core::Core) -> u64;

/// A counter that is kept elsewhere.
struct Counter {
    counter: IntCounter,
    read: Read,
}

/// Counters that are kept elsewhere, as metrics.
pub struct Kept {
    core: Weak<core::Core>,
    counters: Vec<Counter>,
}

fn cluster(
    core: &core::Core,
    read: impl Fn(&monsooncart_cluster::counters::Counters) -> u64,
) -> u64 {
    core.cluster().map_or(0, |cluster| read(cluster.counters()))
}

/// Names, texts and sources.
const KEPT: [(&str, &str, Read); 6] = [
    (
        "monsooncart_store_calls_total",
        "Calls of the platform's store, a waiting watch as one.",
        |core| cluster(core, |c| c.platform_calls.load(Ordering::Relaxed)),
    ),
    (
        "monsooncart_datagrams_sent_total",
        "Datagrams sent to other daemons.",
        |core| cluster(core, |c| c.datagrams_sent.load(Ordering::Relaxed)),
    ),
    (
        "monsooncart_datagram_bytes_sent_total",
        "Bytes of datagrams sent to other daemons.",
        |core| cluster(core, |c| c.bytes_sent.load(Ordering::Relaxed)),
    ),
    (
        "monsooncart_call_bytes_sent_total",
        "Bytes of calls sent to other daemons.",
        |core| cluster(core, |c| c.call_bytes_sent.load(Ordering::Relaxed)),
    ),
    (
        "monsooncart_news_dropped_total",
        "News not told since too many calls were running.",
        |core| cluster(core, |c| c.news_dropped.load(Ordering::Relaxed)),
    ),
    (
        "monsooncart_log_lines_dropped_total",
        "Log lines dropped since standard output did not keep up.",
        |_| logging::dropped(),
    ),
];

impl Kept {
    /// The counters of a daemon.
    ///
    /// # Errors
    ///
    /// Where a name is none that a metric may have.
    pub fn new(core: &Arc<core::Core>) -> prometheus::Result<Self> {
        let counters = KEPT.into_iter().map(|(name, help, read)| {
            let counter = IntCounter::new(name, help)?;
            Ok(Counter { counter, read })
        });
        Ok(Self {
            core: Arc::downgrade(core),
            counters: counters.collect::<prometheus::Result<_>>()?,
        })
    }
}

impl Collector for Kept {
    fn desc(&self) -> Vec<&Desc> {
        self.counters
            .iter()
            .flat_map(|c| c.counter.desc())
            .collect()
    }

    fn collect(&self) -> Vec<proto::MetricFamily> {
        let core = self.core.upgrade();
        let collect = |kept: &Counter| {
            if let Some(core) = &core {
                let value = (kept.read)(core);
                kept.counter
                    .inc_by(value.saturating_sub(kept.counter.get()));
            }
            kept.counter.collect()
        };
        self.counters.iter().flat_map(collect).collect()
    }
}
