//! Simulated outages of the platform.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use monsooncart_store::{error, memory, object, store, vms};
use tokio::sync::watch;

/// Name of the platform in error messages.
const PEER: &str = "memory";

/// Forwards calls to the platform, and fails them during a simulated outage.
#[derive(Debug)]
pub struct Outage {
    memory: Arc<memory::Memory>,
    unavailable: watch::Sender<bool>,
    /// Number of times that pending watches were cut off.
    cuts: watch::Sender<u64>,
    /// Delay of each page of a listing.
    page_delay: watch::Sender<Duration>,
}

impl Outage {
    /// Wraps a platform that is available.
    #[must_use]
    pub fn new(memory: Arc<memory::Memory>) -> Self {
        Self {
            memory,
            unavailable: watch::Sender::new(false),
            cuts: watch::Sender::new(0),
            page_delay: watch::Sender::new(Duration::ZERO),
        }
    }

    /// Starts an outage (`true`) or ends it (`false`).
    pub fn set_unavailable(&self, unavailable: bool) {
        self.unavailable.send_replace(unavailable);
    }

    /// Ends all pending watches without an answer; later calls are answered.
    pub fn cut_off_watches(&self) {
        self.cuts.send_modify(|cuts| *cuts += 1);
    }

    /// Delays each page of later listings.
    pub fn set_page_delay(&self, delay: Duration) {
        self.page_delay.send_replace(delay);
    }

    /// The underlying store, which stays available during an outage.
    #[must_use]
    pub fn memory(&self) -> &Arc<memory::Memory> {
        &self.memory
    }

    fn ensure_available(&self, operation: error::Operation) -> Result<(), error::Error> {
        match *self.unavailable.borrow() {
            false => Ok(()),
            true => Err(error::Error::NotDone {
                operation,
                peer: PEER.to_owned(),
                reason: "simulated outage of the platform".to_owned(),
            }),
        }
    }
}

impl store::Store for Outage {
    fn get<'a>(&'a self, key: &'a str) -> store::CallFuture<'a, Option<object::Object>> {
        Box::pin(async move {
            self.ensure_available(error::Operation::Get)?;
            self.memory.get(key).await
        })
    }

    fn put<'a>(
        &'a self,
        key: &'a str,
        value: Bytes,
        condition: object::Condition,
    ) -> store::CallFuture<'a, object::Version> {
        Box::pin(async move {
            self.ensure_available(error::Operation::Put)?;
            self.memory.put(key, value, condition).await
        })
    }

    fn delete<'a>(
        &'a self,
        key: &'a str,
        condition: object::Condition,
    ) -> store::CallFuture<'a, ()> {
        Box::pin(async move {
            self.ensure_available(error::Operation::Delete)?;
            self.memory.delete(key, condition).await
        })
    }

    fn list<'a>(&'a self, prefix: &'a str, after: &'a str) -> store::CallFuture<'a, object::Page> {
        Box::pin(async move {
            self.ensure_available(error::Operation::List)?;
            let page_delay = *self.page_delay.borrow();
            tokio::time::sleep(page_delay).await;
            self.memory.list(prefix, after).await
        })
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        since: object::Version,
        wait: Duration,
    ) -> store::CallFuture<'a, object::Page> {
        Box::pin(async move {
            self.ensure_available(error::Operation::Watch)?;
            let mut unavailable = self.unavailable.subscribe();
            let mut cuts = self.cuts.subscribe();
            // A pending watch ends when an outage starts.
            let outage = async {
                let _started = unavailable
                    .wait_for(|unavailable| *unavailable)
                    .await
                    .map(drop);
            };
            let page = tokio::select! {
                page = self.memory.watch(prefix, since, wait) => page,
                () = outage => self.memory.watch(prefix, since, Duration::ZERO).await,
                Ok(()) = cuts.changed() => Err(error::Error::Unknown {
                    operation: error::Operation::Watch,
                    peer: PEER.to_owned(),
                    reason: "simulated end of the connection".to_owned(),
                }),
            };
            self.ensure_available(error::Operation::Watch)?;
            page
        })
    }
}

impl vms::List for Outage {
    fn vms(&self) -> store::CallFuture<'_, Vec<vms::Vm>> {
        Box::pin(async move {
            self.ensure_available(error::Operation::Vms)?;
            self.memory.vms().await
        })
    }
}
