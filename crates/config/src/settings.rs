//! The settings of one daemon.

use std::net;
use std::path;

use monsooncart_types::{id, size, span};

/// Location of the platform's object API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Platform {
    /// An in-memory platform inside the process, filled from a fleet file.
    Embedded(path::PathBuf),
    /// A remote object API, by its address.
    Remote(net::SocketAddr),
}

/// Certificate and key files for mutual TLS between daemons, in PEM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Keys {
    /// Certificate of this daemon.
    pub certificate: path::PathBuf,
    /// Private key of this daemon.
    pub key: path::PathBuf,
    /// Certificate of the authority that signs the daemons' certificates.
    pub authority: path::PathBuf,
}

/// Limits of the caller listener.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of concurrent connections from callers.
    pub connections: u32,
    /// Maximum size of a request head.
    pub head: size::Size,
    /// Maximum time for a caller to send a request head.
    pub head_timeout: span::Span,
    /// Maximum idle time of a connection from a caller.
    pub idle_timeout: span::Span,
    /// Maximum time for which a request or response body makes no progress.
    pub body_timeout: span::Span,
}

/// Additional settings for deployments in which servers register themselves and callers query a
/// directory for addresses.
#[derive(Clone, Debug, PartialEq)]
pub struct Gateway {
    /// Listener for callers that query the addresses to use.
    pub directory: net::SocketAddr,
    /// Listener for readiness probes.
    pub readiness: net::SocketAddr,
    /// Listener for metrics scrapers, if they do not use the `admin` listener.
    pub metrics: Option<net::SocketAddr>,
    /// Number of cores that the daemon may use, possibly fractional.
    pub cores: f64,
    /// Bandwidth of the VM's network link, in megabits per second.
    pub link_mbps: f64,
    /// Port of the `peers` listener of the seeds, if it differs from the port in `seeds`.
    pub seeds_port: Option<u16>,
    /// Time from the termination signal to the exit of the process.
    pub grace: span::Span,
    /// Maximum lifetime of a directory response.
    pub lifetime_max: span::Span,
    /// Retry budget of each service.
    pub retries: RetryBudget,
    /// Whether healthy servers are kept in use while many requests fail.
    pub cover_servers: bool,
    /// Memory of the VM, in megabytes; `None` for no bound on the bodies that the daemon holds.
    pub memory_mb: Option<f64>,
    /// Whether requests wait for room at the servers.
    pub wait_for_room: bool,
    /// By how much all daemons together may exceed an organisation's allowance.
    pub allowance_tolerance: AllowanceTolerance,
}

/// By how much all daemons together may exceed an organisation's allowance in a window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AllowanceTolerance {
    /// As a share of the allowance.
    pub share: f64,
    /// In requests, in addition.
    pub requests: f64,
    /// Length of the window.
    pub window: span::Span,
}

/// Retry budget of a service: the number of retries that all daemons together may send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Number of retries permitted per request; may be fractional.
    pub share: f64,
    /// Number of retries permitted in each window in addition to `share`.
    pub slack: f64,
    /// Length of the sliding window over which requests and retries are counted.
    pub window: span::Span,
}

/// Settings that a daemon reads at start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the VM in the platform's VM list.
    pub name: id::Vm,
    /// Data centre of the VM.
    pub data_centre: id::DataCentre,
    /// Region of the VM.
    pub region: id::Region,
    /// Listener for callers.
    pub callers: net::SocketAddr,
    /// Listener for operators.
    pub admin: net::SocketAddr,
    /// Listener for other daemons: TCP for calls and UDP for gossip.
    pub peers: net::SocketAddr,
    /// Address at which other daemons reach the `peers` listener, if it differs from the listener's.
    pub advertise_peers: Option<net::SocketAddr>,
    /// Location of the platform's object API.
    pub platform: Platform,
    /// `peers` listeners of other daemons to contact in addition to the VM list.
    pub seeds: Vec<net::SocketAddr>,
    /// Keys for mutual TLS between daemons; `None` for plain TCP.
    pub keys: Option<Keys>,
    /// File with the shared secret with which all daemons authenticate their datagrams.
    pub secret: Option<path::PathBuf>,
    /// Limits of the caller listener.
    pub limits: Limits,
    /// Lifetime of a response of `/v1/entries`.
    pub entry_lifetime: span::Span,
    /// Number of daemons in a response of `/v1/entries`; with `gateway`, per data centre.
    pub entry_count: u32,
    /// Set in deployments in which servers register themselves and callers query a directory.
    pub gateway: Option<Gateway>,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4096,
            head: size::Size(32 << 10),
            head_timeout: span::Span(std::time::Duration::from_secs(5)),
            idle_timeout: span::Span(std::time::Duration::from_secs(60)),
            body_timeout: span::Span(std::time::Duration::from_secs(30)),
        }
    }
}
