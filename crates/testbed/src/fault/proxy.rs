//! The proxy: a set of named links.

use std::collections::BTreeMap;
use std::net;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use super::link;

/// A set of links with one seed.
pub struct Proxy {
    seed: u64,
    links: Mutex<BTreeMap<String, Arc<link::Link>>>,
}

impl Proxy {
    /// Creates a proxy without links, and prints the seed so that the run can be repeated.
    #[must_use]
    pub fn new(seed: u64) -> Arc<Self> {
        println!("fault: seed {seed}");
        Arc::new(Self {
            seed,
            links: Mutex::default(),
        })
    }

    /// Seed of the random choices.
    #[must_use]
    pub const fn seed(&self) -> u64 {
        self.seed
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Arc<link::Link>>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a link, or replaces the one with the same name.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn add(
        &self,
        name: &str,
        listen: net::SocketAddr,
        target: Option<net::SocketAddr>,
    ) -> std::io::Result<Arc<link::Link>> {
        let number = self.lock().len() as u64;
        let seed = self.seed.wrapping_add(number);
        let link = link::Link::start(name, listen, target, seed).await?;
        let replaced = self.lock().insert(name.to_owned(), link.clone());
        if let Some(replaced) = replaced {
            replaced.stop();
        }
        Ok(link)
    }

    /// Returns a link by name.
    #[must_use]
    pub fn link(&self, name: &str) -> Option<Arc<link::Link>> {
        self.lock().get(name).cloned()
    }

    /// Returns all links in the order of their names.
    #[must_use]
    pub fn links(&self) -> Vec<Arc<link::Link>> {
        self.lock().values().cloned().collect()
    }

    /// Removes a link and closes its connections.
    pub fn remove(&self, name: &str) -> Option<Arc<link::Link>> {
        let link = self.lock().remove(name)?;
        link.stop();
        Some(link)
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        for link in self.links() {
            link.stop();
        }
    }
}
