//! Which addresses may talk to this daemon.
//!
//! Without keys, a daemon takes connections and datagrams only from the IP numbers of members,
//! seeds and listed VMs. With keys, the certificate decides for connections instead, and a secret
//! for datagrams; with keys and no secret, datagrams make nobody a member.

use std::net;
use std::sync::Arc;

use arc_swap::ArcSwap;
use monsooncart_types::map;

/// The admitted IP numbers.
#[derive(Default)]
pub struct Admission {
    admit_any: bool,
    addresses: ArcSwap<map::Set<net::IpAddr>>,
}

impl Admission {
    /// Admits any address, where nothing lists the VMs and the network lets no stranger in.
    #[must_use]
    pub fn any() -> Self {
        Self {
            admit_any: true,
            ..Self::default()
        }
    }

    /// Replaces the admitted IP numbers.
    pub fn set(&self, addresses: map::Set<net::IpAddr>) {
        self.addresses.store(Arc::new(addresses));
    }

    /// Whether an IP number is admitted.
    #[must_use]
    pub fn admits(&self, address: net::IpAddr) -> bool {
        self.admit_any || self.addresses.load().contains(&address.to_canonical())
    }
}
