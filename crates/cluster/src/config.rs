//! What an engine needs to start.

use std::net;
use std::sync::Arc;
use std::time::Duration;

use monsooncart_config::settings;
use monsooncart_policy::membership::{member, timings};
use monsooncart_store::{store, vms};
use monsooncart_wire::datagram;

use crate::spread::source;
use crate::{engine, handler};

/// DNS name that the certificate of every daemon carries.
pub const CERTIFICATE_NAME: &str = "daemon.monsooncart";

/// An engine that could not start.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// The listener could not be bound.
    #[display("bind of peer listener {address}: {source}")]
    Bind {
        /// Its address.
        address: net::SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// A certificate or key file is of no use.
    #[display("keys for calls between daemons: file {file}: {reason}")]
    Keys {
        /// The file.
        file: String,
        /// Why.
        reason: String,
    },
}

/// Timings of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timings {
    /// Of the membership protocol.
    pub membership: timings::Timings,
    /// Time between the clock events of the membership protocol.
    pub tick_interval: Duration,
    /// Time to open a connection to a peer.
    pub dial_timeout: Duration,
    /// Time after which an unused connection to a peer is closed.
    pub idle_timeout: Duration,
    /// Time between readings of the VM list by a daemon that has this duty.
    pub vms: Duration,
    /// Time between comparisons of the configuration with a peer.
    pub reconciliation_interval: Duration,
    /// Time for which a daemon that knows no other leaves the platform's objects to those that it
    /// may yet find.
    pub discovery_grace: Duration,
    /// Longest wait of one watch of the platform.
    pub watch: Duration,
    /// Time for an answer of the platform, besides the wait of a watch.
    pub answer: Duration,
    /// Time for a page of a listing of the platform.
    pub list: Duration,
    /// Longest time for one call of a comparison with a peer, or of a pull from one.
    pub exchange: Duration,
    /// Wait after a failed call of the platform.
    pub backoff: Duration,
    /// Age of the newest known answer of the platform after which more daemons watch.
    pub stale: Duration,
    /// Watchers of a region while they hear from the platform.
    pub watchers: usize,
    /// Whether a daemon reads the platform's objects once at its start, without waiting to be
    /// chosen as a watcher.
    pub read_first: bool,
    /// Time for which the objects that are missing after an outage of the platform are kept.
    pub lapse: Duration,
}

impl Default for Timings {
    fn default() -> Self {
        Self {
            membership: timings::Timings::default(),
            tick_interval: Duration::from_millis(100),
            dial_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(60),
            vms: Duration::from_secs(5),
            reconciliation_interval: Duration::from_secs(2),
            discovery_grace: Duration::from_secs(2),
            watch: Duration::from_secs(4),
            answer: Duration::from_secs(5),
            list: Duration::from_secs(5),
            exchange: Duration::from_secs(3),
            backoff: Duration::from_secs(1),
            stale: Duration::from_secs(9),
            watchers: 2,
            read_first: false,
            lapse: Duration::ZERO,
        }
    }
}

/// Settings of an engine; [`Config::start`] makes one.
pub struct Config {
    pub(crate) member: member::Member,
    pub(crate) listen: net::SocketAddr,
    pub(crate) advertise: Option<net::SocketAddr>,
    pub(crate) seeds: Vec<net::SocketAddr>,
    pub(crate) keys: Option<settings::Keys>,
    pub(crate) secret: Option<datagram::Secret>,
    pub(crate) vms: Option<Arc<dyn vms::List>>,
    pub(crate) store: Option<Arc<dyn store::Store>>,
    pub(crate) source: Arc<dyn source::Source>,
    pub(crate) handler: Arc<dyn handler::Handler>,
    pub(crate) admit_any: bool,
    pub(crate) timings: Timings,
}

impl Config {
    /// A daemon `member` that listens for others at `listen`. The member's own `peers` address is
    /// replaced by the bound one.
    #[must_use]
    pub fn new(
        member: member::Member,
        listen: net::SocketAddr,
        handler: Arc<dyn handler::Handler>,
    ) -> Self {
        Self {
            member,
            listen,
            advertise: None,
            seeds: Vec::new(),
            keys: None,
            secret: None,
            vms: None,
            store: None,
            source: Arc::new(source::Native),
            handler,
            admit_any: false,
            timings: Timings::default(),
        }
    }

    /// Peer listeners tried besides the VM list.
    #[must_use]
    pub fn seeds(mut self, seeds: Vec<net::SocketAddr>) -> Self {
        self.seeds = seeds;
        self
    }

    /// Where others reach the peer listener, where that is not the bound address.
    #[must_use]
    pub fn advertise(mut self, address: Option<net::SocketAddr>) -> Self {
        self.advertise = address;
        self
    }

    /// Mutual TLS for calls.
    #[must_use]
    pub fn keys(mut self, keys: Option<settings::Keys>) -> Self {
        self.keys = keys;
        self
    }

    /// The secret that authenticates datagrams.
    #[must_use]
    pub fn secret(mut self, secret: Option<datagram::Secret>) -> Self {
        self.secret = secret;
        self
    }

    /// The platform's VM list.
    #[must_use]
    pub fn vms(mut self, vms: Arc<dyn vms::List>) -> Self {
        self.vms = Some(vms);
        self
    }

    /// The platform's object API, which the configuration is taken from.
    #[must_use]
    pub fn store(mut self, store: Arc<dyn store::Store>) -> Self {
        self.store = Some(store);
        self
    }

    /// Takes daemons from any address, where nothing lists the VMs and the network lets no stranger
    /// in.
    #[must_use]
    pub fn open(mut self) -> Self {
        self.admit_any = true;
        self
    }

    /// Which of the store's objects the configuration is made of.
    #[must_use]
    pub fn source(mut self, source: Arc<dyn source::Source>) -> Self {
        self.source = source;
        self
    }

    /// Timings other than the default ones.
    #[must_use]
    pub fn timings(mut self, timings: Timings) -> Self {
        self.timings = timings;
        self
    }

    /// Binds the listeners and starts to look for the fleet.
    ///
    /// # Errors
    ///
    /// Where the listener cannot be bound or the keys are of no use.
    pub async fn start(self) -> Result<engine::Engine, Error> {
        engine::Engine::start(self).await
    }
}
