//! Admission of peers by address.
//!
//! Without keys, a daemon accepts connections and datagrams only from the IP addresses of members,
//! seeds and listed VMs. With keys, connections are authenticated by certificate instead, and
//! datagrams by a secret; with keys but no secret, datagrams cannot add members.

use std::net;
use std::sync::Arc;

use arc_swap::ArcSwap;
use monsooncart_types::map;

/// Set of admitted IP addresses.
#[derive(Default)]
pub struct Admission {
    admit_any: bool,
    addresses: ArcSwap<map::Set<net::IpAddr>>,
}

impl Admission {
    /// Admits any address, for networks without a VM list that only daemons can reach.
    #[must_use]
    pub fn any() -> Self {
        Self {
            admit_any: true,
            ..Self::default()
        }
    }

    /// Replaces the admitted IP addresses.
    pub fn set(&self, addresses: map::Set<net::IpAddr>) {
        self.addresses.store(Arc::new(addresses));
    }

    /// Whether an IP address is admitted.
    #[must_use]
    pub fn admits(&self, address: net::IpAddr) -> bool {
        self.admit_any || self.addresses.load().contains(&address.to_canonical())
    }
}
