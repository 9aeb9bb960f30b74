//! A platform that can be away.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use monsooncart_store::{error, memory, object, store, vms};
use tokio::sync::watch;

/// The name of the platform in errors.
const PEER: &str = "memory";

/// Fails every call while the platform is away, and passes it on otherwise.
#[derive(Debug)]
pub struct Outage {
    memory: Arc<memory::Memory>,
    away: watch::Sender<bool>,
}

impl Outage {
    /// A platform that is there.
    #[must_use]
    pub fn new(memory: Arc<memory::Memory>) -> Self {
        Self {
            memory,
            away: watch::Sender::new(false),
        }
    }

    /// Takes the platform away, or brings it back.
    pub fn set(&self, away: bool) {
        self.away.send_replace(away);
    }

    /// The store behind it, which is always there.
    #[must_use]
    pub fn memory(&self) -> &Arc<memory::Memory> {
        &self.memory
    }

    fn check(&self, step: error::Step) -> Result<(), error::Error> {
        match *self.away.borrow() {
            false => Ok(()),
            true => Err(error::Error::NotDone {
                step,
                peer: PEER.to_owned(),
                reason: "platform is away".to_owned(),
            }),
        }
    }
}

impl store::Store for Outage {
    fn get<'a>(&'a self, key: &'a str) -> store::Call<'a, Option<object::Object>> {
        Box::pin(async move {
            self.check(error::Step::Get)?;
            self.memory.get(key).await
        })
    }

    fn put<'a>(
        &'a self,
        key: &'a str,
        value: Bytes,
        condition: object::Condition,
    ) -> store::Call<'a, object::Version> {
        Box::pin(async move {
            self.check(error::Step::Put)?;
            self.memory.put(key, value, condition).await
        })
    }

    fn delete<'a>(&'a self, key: &'a str, condition: object::Condition) -> store::Call<'a, ()> {
        Box::pin(async move {
            self.check(error::Step::Delete)?;
            self.memory.delete(key, condition).await
        })
    }

    fn list<'a>(&'a self, prefix: &'a str, after: &'a str) -> store::Call<'a, object::Page> {
        Box::pin(async move {
            self.check(error::Step::List)?;
            self.memory.list(prefix, after).await
        })
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        since: object::Version,
        wait: Duration,
    ) -> store::Call<'a, object::Page> {
        Box::pin(async move {
            self.check(error::Step::Watch)?;
            let mut away = self.away.subscribe();
            // A waiting watch is cut when the platform goes away.
            let gone = async {
                let _ended = away.wait_for(|away| *away).await.map(drop);
            };
            let page = tokio::select! {
                page = self.memory.watch(prefix, since, wait) => page,
                () = gone => self.memory.watch(prefix, since, Duration::ZERO).await,
            };
            self.check(error::Step::Watch)?;
            page
        })
    }
}

impl vms::List for Outage {
    fn vms(&self) -> store::Call<'_, Vec<vms::Vm>> {
        Box::pin(async move {
            self.check(error::Step::Vms)?;
            self.memory.vms().await
        })
    }
}
