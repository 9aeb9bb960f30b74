//! Watching the store's configuration objects.

use std::sync::Arc;
use std::time::{Duration, Instant};

use monsooncart_policy::membership::member;
use monsooncart_store::{error, object, store};
use monsooncart_types::map;
use monsooncart_wire::{frame, news};
use rand::RngExt;

use super::held;
use crate::shared;

/// Key by which the watchers of a region are ranked.
pub(super) const WATCHERS: &[u8] = b"config";

/// Watchers of a region while no watcher is known to hear from the platform.
pub(super) const COUNT_STALE: usize = 5;

/// Watchers that have lost the platform and are passed over, at most.
const DEAF: usize = 8;

/// Doublings of the wait after failed calls of the platform, at most.
const DOUBLINGS: u32 = 1;

/// Objects of one change that are announced; the rest are found by the comparisons that follow.
const ANNOUNCED: usize = 256;

/// Largest value that is told with its announcement, in bytes; a datagram holds a few.
const TOLD_BYTES: usize = 500;

/// Time between looks at whether this daemon has the duty.
const LOOK: Duration = Duration::from_millis(250);

/// Least time between two attempts to read the platform while a loss of objects is waited out.
const LAPSE_LOOK: Duration = Duration::from_millis(50);

/// Whether this daemon is to watch now. One that has just started and knows no other yet is not:
/// its rank among itself alone says nothing.
fn has_duty(shared: &shared::Shared) -> bool {
    let alone = shared.members.load().len() <= 1;
    if alone && shared.origin.elapsed() < shared.timings.alone {
        return false;
    }
    let limit = shared.timings.stale;
    let fresh = shared.fresh.age().is_some_and(|age| age < limit);
    let watchers = shared.timings.watchers;
    let count = if fresh {
        watchers
    } else {
        COUNT_STALE.max(watchers)
    };
    // Those that have lost the platform go on trying, but others watch in their place; where many
    // have, the platform itself is away, and no more daemons are to ask it.
    let deaf = shared.fresh.deaf();
    let may = |m: &member::Member| {
        let hears = deaf.len() > DEAF || !deaf.contains(&m.instance);
        m.state == member::State::Alive && hears
    };
    shared::lock(&shared.protocol).is_chosen_among(WATCHERS, count, may)
}

/// A removal that takes effect only if the object does not come back.
struct Lapse {
    due: Instant,
    object: held::Object,
}

/// Watches the objects under one prefix whenever this daemon has the duty.
pub(crate) struct Watch {
    shared: Arc<shared::Shared>,
    store: Arc<dyn store::Store>,
    prefix: &'static str,
    /// Calls that failed since the platform answered last.
    failures: u32,
    /// When the platform was heard again after a failure.
    returned: Option<Instant>,
    lapses: Vec<Lapse>,
}

impl Watch {
    pub(crate) fn new(
        shared: Arc<shared::Shared>,
        store: Arc<dyn store::Store>,
        prefix: &'static str,
    ) -> Self {
        Self {
            shared,
            store,
            prefix,
            failures: 0,
            returned: None,
            lapses: Vec::new(),
        }
    }

    /// Watches until the task is dropped.
    pub(crate) async fn run(mut self) {
        let mut first = self.shared.timings.read_first;
        loop {
            if !first && !has_duty(&self.shared) {
                self.lapsed();
                tokio::time::sleep(LOOK).await;
                continue;
            }
            match self.follow().await {
                Ok(()) => first = false,
                Err(error) => {
                    if self.failures == 0 {
                        log::warn!(prefix = self.prefix, error:%; "config: platform lost");
                    }
                    self.lost();
                    self.pause().await;
                }
            }
        }
    }

    async fn pause(&mut self) {
        let jitter = rand::rng().random_range(1.0..2.0);
        let doublings = self.failures.saturating_sub(1).min(DOUBLINGS);
        let backoff = self.shared.timings.backoff * 2u32.pow(doublings);
        tokio::time::sleep(backoff.mul_f64(jitter)).await;
        self.lapsed();
    }

    /// Lists the objects, then takes changes while the duty lasts. A watch that has fallen behind
    /// the platform's history ends, and the next one lists again.
    async fn follow(&mut self) -> Result<(), error::Error> {
        let mut since = self.list().await?;
        log::info!(prefix = self.prefix, since:% = since; "config: listed, watching while chosen");
        while has_duty(&self.shared) {
            shared::count(&self.shared.counters.platform_calls);
            let wait = self.wait();
            let limit = wait + self.shared.timings.answer;
            let page = self.store.watch(self.prefix, since, wait);
            let page = bounded(limit, error::Step::Watch, page).await?;
            self.heard();
            if page.compacted {
                log::info!(prefix = self.prefix, since:% = since; "config: watch fell behind, listing again");
                since = self.list().await?;
                continue;
            }
            self.take(&page.objects);
            self.lapsed();
            since = page.revision.max(since);
        }
        log::info!(prefix = self.prefix, since:% = since; "config: others watch");
        Ok(())
    }

    /// Longest wait of the next watch: no longer than until a removal takes effect.
    fn wait(&self) -> Duration {
        let due = self.lapses.iter().map(|lapse| lapse.due).min();
        let due = due.map(|due| {
            due.saturating_duration_since(Instant::now())
                .max(LAPSE_LOOK)
        });
        due.unwrap_or(Duration::MAX).min(self.shared.timings.watch)
    }

    /// Notes that the platform did not answer; others of the region are to watch. It is told at
    /// each failure, as some may not hear of one.
    fn lost(&mut self) {
        self.failures += 1;
        self.tell(false);
    }

    fn tell(&self, heard: bool) {
        let from = self.shared.local.instance;
        self.shared.cast_near(news::News::Platform { heard, from });
    }

    /// Notes that the platform answered.
    fn heard(&mut self) {
        self.shared.fresh.learn(Some(0));
        self.tell(true);
        if std::mem::take(&mut self.failures) > 0 {
            log::info!(prefix = self.prefix; "config: platform is back");
            self.returned = Some(Instant::now());
        }
    }

    /// Lists all objects; gives the revision from which to watch.
    async fn list(&mut self) -> Result<object::Version, error::Error> {
        let mut after = String::new();
        let mut revision = None;
        let mut objects = Vec::new();
        loop {
            shared::count(&self.shared.counters.platform_calls);
            let page = self.store.list(self.prefix, &after);
            let limit = self.shared.timings.list;
            let page = bounded(limit, error::Step::List, page).await?;
            let first = *revision.get_or_insert(page.revision);
            objects.extend(page.objects);
            match page.next {
                Some(next) => after = next,
                None => {
                    self.heard();
                    objects.extend(self.removed(first, &objects));
                    self.take(&objects);
                    return Ok(first);
                }
            }
        }
    }

    /// Removals of the objects that are held and not listed. An object held at a later version than
    /// the listing's is not one of them.
    fn removed(&self, revision: object::Version, listed: &[object::Object]) -> Vec<object::Object> {
        let listed: map::Set<&str> = listed.iter().map(|o| o.key.as_str()).collect();
        let snapshot = self.shared.held.snapshot();
        let held = snapshot.versions().filter(|(_, v)| *v < revision.0);
        let keys = held.filter_map(|(key, _)| self.shared.source.key(self.prefix, key));
        let gone = keys.filter(|key| !listed.contains(key.as_str()));
        let removal = |key| object::Object {
            key,
            version: revision,
            value: None,
        };
        gone.map(removal).collect()
    }

    /// Takes objects that the platform gave, and announces the newer ones. Removals soon after an
    /// outage wait: what lapsed while the platform was away may come back.
    fn take(&mut self, objects: &[object::Object]) {
        let lapse = self.shared.timings.lapse;
        let until = self.returned.map(|returned| returned + lapse);
        let until = until.filter(|until| *until > Instant::now());
        let mut taken = Vec::new();
        for object in objects {
            let Some(checked) = self.shared.source.decode(object) else {
                continue;
            };
            match until {
                Some(due) if object.value.is_none() => {
                    log::info!(object:% = checked.key, version = checked.version; "config: object is missing after an outage, keeping it for a while");
                    self.lapses.push(Lapse {
                        due,
                        object: checked,
                    });
                }
                _ => taken.push(checked),
            }
        }
        self.announce(taken);
    }

    /// Takes the removals whose objects did not come back.
    fn lapsed(&mut self) {
        let now = Instant::now();
        let due = self.lapses.extract_if(.., |lapse| lapse.due <= now);
        let objects: Vec<_> = due.map(|lapse| lapse.object).collect();
        if !objects.is_empty() {
            self.announce(objects);
        }
    }

    fn announce(&self, objects: Vec<held::Object>) {
        let taken = self.shared.held.take_all(objects);
        let snapshot = self.shared.held.snapshot();
        let mut told = Vec::new();
        for (key, version) in taken.into_iter().take(ANNOUNCED) {
            let value = snapshot.value(&key);
            let small = |v: &monsooncart_config::object::Value| {
                frame::encode(v).is_ok_and(|bytes| bytes.len() <= TOLD_BYTES)
            };
            let value = value.filter(small);
            told.push(news::News::Configuration {
                key,
                version,
                value,
                holder: self.shared.local.peers,
            });
        }
        if !told.is_empty() {
            self.shared.publish_all(told);
        }
    }
}

/// Ends a call of the platform that gives no answer.
async fn bounded<T>(
    limit: Duration,
    step: error::Step,
    call: store::Call<'_, T>,
) -> Result<T, error::Error> {
    let answer = tokio::time::timeout(limit, call).await;
    answer.unwrap_or_else(|_| {
        Err(error::Error::Unknown {
            step,
            peer: "platform".to_owned(),
            reason: format!("no answer within {limit:?}"),
        })
    })
}
