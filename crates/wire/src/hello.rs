//! The handshake on a connection between daemons.
//!
//! Each side proves knowledge of the fleet's secret, if there is one, by a message authentication
//! code over its identity.

use std::net;

use monsooncart_types::{id, instance};

use crate::datagram;

/// Protocol version of the calls between daemons.
pub const VERSION: u16 = 1;

/// Protocol version of a connection that carries relayed requests instead of calls. A daemon that does
/// not relay refuses it like any version that it does not support.
pub const RELAY_VERSION: u16 = 2;

/// First frame of the dialling daemon.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Hello {
    /// Protocol version of the dialler.
    pub version: u16,
    /// VM of the dialler.
    pub vm: id::Vm,
    /// Process instance of the dialler.
    pub instance: instance::Instance,
    /// Message authentication code; `None` without a fleet secret.
    pub mac: Option<[u8; 32]>,
}

impl Hello {
    /// Creates the hello of a daemon that dials from the address `from`.
    #[must_use]
    pub fn new(
        vm: id::Vm,
        instance: instance::Instance,
        from: net::IpAddr,
        secret: Option<&datagram::Secret>,
    ) -> Self {
        Self::with_version(VERSION, vm, instance, from, secret)
    }

    /// Creates the hello of a daemon that dials from the address `from` to have requests relayed.
    #[must_use]
    pub fn for_relay(
        vm: id::Vm,
        instance: instance::Instance,
        from: net::IpAddr,
        secret: Option<&datagram::Secret>,
    ) -> Self {
        Self::with_version(RELAY_VERSION, vm, instance, from, secret)
    }

    fn with_version(
        version: u16,
        vm: id::Vm,
        instance: instance::Instance,
        from: net::IpAddr,
        secret: Option<&datagram::Secret>,
    ) -> Self {
        let mac = secret.map(|secret| secret.sign(&hello_payload(version, &vm, instance, from)));
        Self {
            version,
            vm,
            instance,
            mac,
        }
    }

    /// Whether this hello, received from the address `from`, is authenticated by `secret`; always
    /// true without a secret.
    #[must_use]
    pub fn is_authentic(&self, secret: Option<&datagram::Secret>, from: net::IpAddr) -> bool {
        let Some(secret) = secret else {
            return true;
        };
        let payload = hello_payload(self.version, &self.vm, self.instance, from);
        self.mac.is_some_and(|mac| secret.verifies(&payload, &mac))
    }
}

/// Authenticated bytes of a `Hello`; the address prevents a replay from another address.
fn hello_payload(
    version: u16,
    vm: &id::Vm,
    instance: instance::Instance,
    from: net::IpAddr,
) -> Vec<u8> {
    format!("hello {version} {vm} {instance} {}", from.to_canonical()).into_bytes()
}

/// Authenticated bytes of a welcome.
fn welcome_payload(by: instance::Instance, dialler: instance::Instance) -> Vec<u8> {
    format!("welcome {VERSION} {by} {dialler}").into_bytes()
}

/// Reason for refusing a connection.
#[derive(
    Clone,
    Debug,
    PartialEq,
    Eq,
    serde::Serialize,
    serde::Deserialize,
    derive_more::Display,
    derive_more::Error,
)]
pub enum Refusal {
    /// The address does not belong to a member, a seed or a listed VM.
    #[display("address {address} is not one of a member, a seed or a listed VM")]
    Stranger {
        /// Address of the dialler.
        address: net::IpAddr,
    },
    /// The protocol versions differ.
    #[display("protocol version {theirs} is not supported, expected {ours}")]
    Version {
        /// Version of the dialler.
        theirs: u16,
        /// Version of the refusing daemon.
        ours: u16,
    },
    /// The daemon did not prove that it has the fleet's secret.
    #[display("daemon is not authenticated by the fleet's secret")]
    Secret,
    /// The refusing daemon is shutting down.
    #[display("daemon is stopping")]
    Stopping,
}

/// Answer to a [`Hello`].
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Answer {
    /// The connection is accepted; calls may follow.
    Welcome {
        /// Process instance of the accepting daemon.
        instance: instance::Instance,
        /// Message authentication code; `None` without a fleet secret.
        mac: Option<[u8; 32]>,
    },
    /// The connection is refused and closed.
    Refused(Refusal),
}

impl Answer {
    /// Creates the welcome of the daemon `instance` to `dialler`.
    #[must_use]
    pub fn welcome(
        instance: instance::Instance,
        dialler: instance::Instance,
        secret: Option<&datagram::Secret>,
    ) -> Self {
        let mac = secret.map(|secret| secret.sign(&welcome_payload(instance, dialler)));
        Self::Welcome { instance, mac }
    }
}

/// Whether a welcome to `dialler` is authenticated by `secret`; always true without a secret.
#[must_use]
pub fn is_authentic_welcome(
    by: instance::Instance,
    mac: Option<[u8; 32]>,
    dialler: instance::Instance,
    secret: Option<&datagram::Secret>,
) -> bool {
    let Some(secret) = secret else {
        return true;
    };
    mac.is_some_and(|mac| secret.verifies(&welcome_payload(by, dialler), &mac))
}
