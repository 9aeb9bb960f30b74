//! Why a daemon does not start.

use std::io;
use std::net;

/// A daemon that does not start.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// A listener is not bound.
    #[display("bind of {listener} listener {address}: {source}")]
    Bind {
        /// Whom it is for.
        listener: &'static str,
        /// Its address.
        address: net::SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The fleet file of an embedded platform is not good.
    #[display("{_0}")]
    Fleet(monsooncart_config::error::Errors),
    /// The embedded platform does not take an object of the fleet.
    #[display("embedded platform: object {key}: {reason}")]
    Object {
        /// Its key.
        key: String,
        /// Why.
        reason: String,
    },
    /// A gateway is wanted before an embedded platform.
    #[display("settings: a gateway needs the address of the platform, not an embedded one")]
    Embedded,
    /// The file with the fleet's secret is of no use.
    #[display("secret of the fleet: file {file}: {reason}")]
    Secret {
        /// The file.
        file: String,
        /// Why.
        reason: String,
    },
    /// The part between daemons does not start.
    #[display("{_0}")]
    Cluster(monsooncart_cluster::config::Error),
    /// A metric is registered twice.
    #[display("metrics: {_0}")]
    Metrics(prometheus::Error),
    /// The request path does not start.
    #[display("{_0}")]
    Proxy(monsooncart_proxy::config::Error),
}
