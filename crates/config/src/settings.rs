//! The settings of one daemon.

use std::net;
use std::path;

use monsooncart_types::{id, size, span};

/// Where the platform's object API is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Platform {
    /// An in-memory platform inside the process, filled from a fleet file.
    Embedded(path::PathBuf),
    /// The object API at an address.
    Remote(net::SocketAddr),
}

/// Certificate and key files for mutual TLS between daemons, in PEM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Keys {
    /// Certificate of this daemon.
    pub certificate: path::PathBuf,
    /// Private key of this daemon.
    pub key: path::PathBuf,
    /// Certificate of the authority that signs all daemons.
    pub authority: path::PathBuf,
}

/// Limits of the caller listener.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Connections from callers at a time.
    pub connections: u32,
    /// Largest request head.
    pub head: size::Size,
    /// Longest time for a caller to send a request head.
    pub head_timeout: span::Span,
    /// Longest time that a connection from a caller may be idle.
    pub idle_timeout: span::Span,
    /// Longest time that a body may make no progress.
    pub body_timeout: span::Span,
}

/// What a daemon needs besides where servers register themselves and callers ask for addresses.
#[derive(Clone, Debug, PartialEq)]
pub struct Gateway {
    /// Listener for callers that ask which addresses to use.
    pub directory: net::SocketAddr,
    /// Listener for those who ask whether the daemon is ready.
    pub readiness: net::SocketAddr,
    /// Listener for those who collect metrics, where the `admin` one is not for them.
    pub metrics: Option<net::SocketAddr>,
    /// Share of a core that the daemon may use.
    pub cores: f64,
    /// Bandwidth of the VM's link, in megabits a second.
    pub link_mbps: f64,
    /// Port of the `peers` listener of the seeds, where `seeds` names another one.
    pub seeds_port: Option<u16>,
    /// Time from the request to stop to the end of the process.
    pub grace: span::Span,
    /// Longest lifetime of a directory's answer.
    pub lifetime_max: span::Span,
    /// What requests that are sent more than once may add to a service's load.
    pub retries: Retries,
}

/// What requests that are sent more than once may add to a service's load, over all daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Retries {
    /// Retries for each request.
    pub share: f64,
    /// Retries besides.
    pub slack: f64,
    /// Span over which both are counted.
    pub window: span::Span,
}

/// What one daemon needs to know at start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the VM, as the platform's VM list has it.
    pub name: id::Vm,
    /// Where the VM stands.
    pub data_centre: id::DataCentre,
    /// Its region.
    pub region: id::Region,
    /// Listener for callers.
    pub callers: net::SocketAddr,
    /// Listener for operators.
    pub admin: net::SocketAddr,
    /// Listener for other daemons: TCP for calls and UDP for gossip.
    pub peers: net::SocketAddr,
    /// Where other daemons reach the `peers` listener, where that is not its own address.
    pub advertise_peers: Option<net::SocketAddr>,
    /// Where the platform is.
    pub platform: Platform,
    /// Peer listeners tried besides the VM list.
    pub seeds: Vec<net::SocketAddr>,
    /// Mutual TLS between daemons, where given.
    pub keys: Option<Keys>,
    /// File with the secret that all daemons share and sign their datagrams with, where given.
    pub secret: Option<path::PathBuf>,
    /// Limits of the caller listener.
    pub limits: Limits,
    /// Lifetime of an answer of `/v1/entries`.
    pub entry_lifetime: span::Span,
    /// Daemons named in an answer of `/v1/entries`; behind a gateway, in each data centre.
    pub entry_count: u32,
    /// Set where servers register themselves and callers ask a directory for addresses.
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
