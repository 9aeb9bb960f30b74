//! Startup errors of a daemon.

use std::io;
use std::net;

/// Why a daemon failed to start.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// A listener could not be bound.
    #[display("cannot bind the {listener} listener to {address}: {source}")]
    Bind {
        /// Kind of listener.
        listener: &'static str,
        /// Configured address.
        address: net::SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The fleet file of an embedded platform is invalid.
    #[display("{_0}")]
    Fleet(monsooncart_config::error::Errors),
    /// The embedded platform rejected an object of the fleet.
    #[display("embedded platform: cannot store object {key}: {reason}")]
    Object {
        /// Key of the object.
        key: String,
        /// Reason for the error.
        reason: String,
    },
    /// The settings combine a gateway with an embedded platform.
    #[display("settings: a gateway needs the address of the platform, not an embedded one")]
    Embedded,
    /// The file with the fleet's secret is unusable.
    #[display("secret of the fleet: file {file}: {reason}")]
    Secret {
        /// Path of the file.
        file: String,
        /// Reason for the error.
        reason: String,
    },
    /// The cluster engine failed to start.
    #[display("{_0}")]
    Cluster(monsooncart_cluster::config::Error),
    /// A metric could not be registered.
    #[display("metrics: {_0}")]
    Metrics(prometheus::Error),
    /// The proxy failed to start.
    #[display("{_0}")]
    Proxy(monsooncart_proxy::config::Error),
}
