//! Configuration of an engine.

use std::net;
use std::sync::Arc;
use std::time::Duration;

use monsooncart_config::settings;
use monsooncart_policy::membership::{member, timings};
use monsooncart_store::{store, vms};
use monsooncart_wire::datagram;

use crate::spread::source;
use crate::{engine, handler};

/// DNS name in the certificate of every daemon.
pub const CERTIFICATE_NAME: &str = "daemon.monsooncart";

/// Failure to start an engine.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// The listener could not be bound.
    #[display("binding the peer listener to {address} failed: {source}")]
    Bind {
        /// Address of the listener.
        address: net::SocketAddr,
        /// Cause of the failure.
        source: std::io::Error,
    },
    /// A certificate or key file is unusable.
    #[display("keys for calls between daemons: file {file}: {reason}")]
    Keys {
        /// Path of the file.
        file: String,
        /// Cause of the failure.
        reason: String,
    },
}

/// Timings of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timings {
    /// Timings of the membership protocol.
    pub membership: timings::Timings,
    /// Interval between ticks of the membership protocol.
    pub tick_interval: Duration,
    /// Timeout for opening a connection to a peer.
    pub dial_timeout: Duration,
    /// Time after which an unused connection to a peer is closed.
    pub idle_timeout: Duration,
    /// Interval between reads of the VM list by a daemon that is selected as a reader.
    pub vm_list_interval: Duration,
    /// Interval between reconciliations of the configuration with a peer.
    pub reconciliation_interval: Duration,
    /// Time after the start during which a daemon that knows no other member does not watch the
    /// platform's objects, as it may still discover the watchers.
    pub discovery_grace: Duration,
    /// Maximum wait of one watch of the platform.
    pub max_watch_wait: Duration,
    /// Timeout of a watch, in addition to its wait.
    pub answer_timeout: Duration,
    /// Timeout of one page of a listing of the platform.
    pub list_timeout: Duration,
    /// Timeout of one call that reconciles the configuration with a peer or pulls objects from it.
    pub exchange_timeout: Duration,
    /// Initial backoff after a failed call to the platform.
    pub backoff: Duration,
    /// Time since the latest known answer of the platform after which more daemons watch.
    pub stale_after: Duration,
    /// Number of watchers of a region while at least one of them reaches the platform.
    pub watchers: usize,
    /// Whether a daemon lists the platform's objects once at its start even if it is not selected
    /// as a watcher.
    pub reads_at_start: bool,
    /// Time by which the removal of objects that are missing after an outage of the platform is
    /// deferred.
    pub removal_delay: Duration,
    /// Minimum length of such an outage, or of several that follow each other within this time: objects
    /// of live writers do not expire in a shorter one.
    pub expiry_time: Duration,
}

impl Default for Timings {
    fn default() -> Self {
        Self {
            membership: timings::Timings::default(),
            tick_interval: Duration::from_millis(100),
            dial_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(60),
            vm_list_interval: Duration::from_secs(5),
            reconciliation_interval: Duration::from_secs(2),
            discovery_grace: Duration::from_secs(2),
            max_watch_wait: Duration::from_secs(4),
            answer_timeout: Duration::from_secs(5),
            list_timeout: Duration::from_secs(5),
            exchange_timeout: Duration::from_secs(3),
            backoff: Duration::from_secs(1),
            stale_after: Duration::from_secs(6),
            watchers: 2,
            reads_at_start: false,
            removal_delay: Duration::ZERO,
            expiry_time: Duration::ZERO,
        }
    }
}

/// Settings of an engine; [`Config::start`] creates and starts it.
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
    pub(crate) upload_bytes_per_second: f64,
    pub(crate) timings: Timings,
}

impl Config {
    /// Creates the settings of the daemon `member`, whose peer listener binds `listen`. The member's
    /// `peers` address is replaced by the bound or advertised one.
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
            upload_bytes_per_second: 0.0,
            timings: Timings::default(),
        }
    }

    /// Sets the seed addresses, which are contacted in addition to the VM list.
    #[must_use]
    pub fn seeds(mut self, seeds: Vec<net::SocketAddr>) -> Self {
        self.seeds = seeds;
        self
    }

    /// Sets the advertised address of the peer listener, if it differs from the bound address.
    #[must_use]
    pub fn advertise(mut self, address: Option<net::SocketAddr>) -> Self {
        self.advertise = address;
        self
    }

    /// Enables mutual TLS for calls.
    #[must_use]
    pub fn keys(mut self, keys: Option<settings::Keys>) -> Self {
        self.keys = keys;
        self
    }

    /// Sets the secret that authenticates datagrams and handshakes.
    #[must_use]
    pub fn secret(mut self, secret: Option<datagram::Secret>) -> Self {
        self.secret = secret;
        self
    }

    /// Sets the platform's VM list.
    #[must_use]
    pub fn vms(mut self, vms: Arc<dyn vms::List>) -> Self {
        self.vms = Some(vms);
        self
    }

    /// Sets the platform's object API, the source of the configuration.
    #[must_use]
    pub fn store(mut self, store: Arc<dyn store::Store>) -> Self {
        self.store = Some(store);
        self
    }

    /// Admits daemons from any address, for networks without a VM list that only daemons can reach.
    #[must_use]
    pub fn admit_any(mut self) -> Self {
        self.admit_any = true;
        self
    }

    /// Sets which of the store's objects make up the configuration.
    #[must_use]
    pub fn source(mut self, source: Arc<dyn source::Source>) -> Self {
        self.source = source;
        self
    }

    /// Limits the rate at which the routing is served to other daemons, in bytes per second; zero
    /// means no limit.
    #[must_use]
    pub fn upload_bytes_per_second(mut self, rate: f64) -> Self {
        self.upload_bytes_per_second = rate;
        self
    }

    /// Replaces the default timings.
    #[must_use]
    pub fn timings(mut self, timings: Timings) -> Self {
        self.timings = timings;
        self
    }

    /// Binds the listeners and starts to discover the fleet.
    ///
    /// # Errors
    ///
    /// If the listener cannot be bound or the keys are unusable.
    pub async fn start(self) -> Result<engine::Engine, Error> {
        engine::Engine::start(self).await
    }
}
