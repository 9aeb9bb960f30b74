//! Counts the requests of one daemon towards the objectives.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use monsooncart_config::objective;
use monsooncart_types::instance;

use crate::burn::{bucket, series, snapshot, subject};
use crate::sample;

/// Maximum number of series of organisations and causes; above it the least relevant ones are
/// evicted. A series takes at most 5.5 KB.
pub const MAX_SERIES: usize = 2048;

/// Number of series evicted at a time; evicting many at once keeps the cost of a new series low.
const EVICTION_BATCH: usize = MAX_SERIES / 4;

/// Request counts of one daemon, by service, organisation and cause.
#[derive(Clone, Debug)]
pub struct Tracker {
    instance: instance::Instance,
    sequence: u64,
    services: BTreeMap<subject::Subject, series::Series>,
    /// Series of organisations and causes, at most [`MAX_SERIES`].
    details: BTreeMap<subject::Subject, series::Series>,
}

impl Tracker {
    /// Creates a tracker without counts.
    #[must_use]
    pub fn new(instance: instance::Instance) -> Self {
        Self {
            instance,
            sequence: 0,
            services: BTreeMap::new(),
            details: BTreeMap::new(),
        }
    }

    /// Counts a request that completed at `seconds` since the Unix epoch. A request abandoned by
    /// its caller is not counted.
    pub fn record(
        &mut self,
        seconds: u64,
        objective: &objective::Objective,
        sample: &sample::Sample,
    ) {
        if sample.outcome == sample::Outcome::Abandoned {
            return;
        }
        let is_bad = sample.outcome.is_bad();
        let is_slow = !is_bad && sample.latency > objective.latency.0;
        let bucket = bucket::Bucket {
            total: 1,
            bad: u32::from(is_bad),
            slow: u32::from(is_slow),
        };
        let service = subject::Subject::service(&sample.service);
        self.services
            .entry(service)
            .or_default()
            .add(seconds, bucket);
        let organisation = subject::Subject::organisation(&sample.service, &sample.organisation);
        self.record_detail(organisation, seconds, bucket);
        if is_bad || is_slow {
            let cause = subject::Subject::cause(&sample.service, cause_of(sample, is_slow));
            self.record_detail(cause, seconds, bucket);
        }
    }

    /// Returns a snapshot of all counts, in parts, and increments the sequence.
    pub fn snapshot(&mut self) -> Vec<snapshot::Part> {
        self.sequence += 1;
        let mut parts = BTreeMap::<u32, Vec<snapshot::Line>>::new();
        for (subject, series) in self.services.iter().chain(&self.details) {
            let line = snapshot::Line {
                subject: subject.clone(),
                series: series.clone(),
            };
            parts.entry(part_index(subject)).or_default().push(line);
        }
        let part = |(index, lines)| snapshot::Part {
            name: snapshot::Name {
                instance: self.instance,
                part: index,
            },
            sequence: self.sequence,
            lines,
        };
        parts.into_iter().map(part).collect()
    }

    /// Number of stored series.
    #[must_use]
    pub fn len(&self) -> usize {
        self.services.len() + self.details.len()
    }

    /// Whether nothing was counted.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Evicts the least relevant series: those inactive for longest first and, among equally recent
    /// ones, those with the fewest faults.
    fn evict(&mut self) {
        let rank = |series: &series::Series| (series.newest_hour(), series.faults());
        let mut ranks: Vec<_> = self.details.values().map(rank).collect();
        ranks.sort_unstable();
        let highest_evicted = ranks.get(EVICTION_BATCH).copied().unwrap_or_default();
        let mut remaining = EVICTION_BATCH;
        self.details.retain(|_, series| {
            let should_evict = remaining > 0 && rank(series) <= highest_evicted;
            remaining -= usize::from(should_evict);
            !should_evict
        });
    }

    fn record_detail(&mut self, subject: subject::Subject, seconds: u64, bucket: bucket::Bucket) {
        if !self.details.contains_key(&subject) && self.details.len() >= MAX_SERIES {
            self.evict();
        }
        self.details
            .entry(subject)
            .or_default()
            .add(seconds, bucket);
    }
}

/// Returns the snapshot part of a subject, which is the same in all snapshots of an instance.
fn part_index(subject: &subject::Subject) -> u32 {
    let mut hasher = DefaultHasher::new();
    subject.hash(&mut hasher);
    (hasher.finish() % u64::from(snapshot::PARTS)) as u32
}

/// Returns the cause of a bad or slow request; one without a server if none was recorded.
fn cause_of(sample: &sample::Sample, is_slow: bool) -> sample::Cause {
    let recorded = sample.cause.clone();
    recorded.unwrap_or(sample::Cause {
        server: None,
        fault: if is_slow {
            sample::Fault::Slow
        } else {
            sample::Fault::Error
        },
        decision: sample::Decision::Passed,
    })
}
