//! Versioned records of members, exchanged between daemons.

use std::net;

use super::member;

/// Maximum encoded size of the fields other than names and addresses.
const MAX_FIXED_BYTES: usize = 10 + 10 + 1 + 1 + 3;

/// Maximum encoded size of an address, including its kind and port.
const fn max_address_bytes(address: &net::SocketAddr) -> usize {
    if address.is_ipv4() { 8 } else { 20 }
}

/// State of a member at one incarnation.
///
/// Between records of different instances on one VM, the greater incarnation wins; a later instance
/// starts with a greater one than any earlier instance. Between records of the same instance, a
/// final state wins over any other, then the greater incarnation, then the greater
/// [`member::State`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Record {
    /// The member.
    pub member: member::Member,
    /// Increased by the member to refute a suspicion or to supersede the record of another
    /// instance.
    pub incarnation: u64,
}

impl Record {
    /// Returns the maximum encoded size, in bytes.
    #[must_use]
    pub fn max_encoded_bytes(&self) -> usize {
        let m = &self.member;
        let names = m.vm.as_bytes().len() + m.data_centre.as_bytes().len();
        let names = names + m.region.as_bytes().len();
        MAX_FIXED_BYTES
            + names
            + max_address_bytes(&m.peers)
            + max_address_bytes(&m.callers)
            + max_address_bytes(&m.admin)
    }

    /// Whether this record wins over `stored`, a record of the same instance.
    fn supersedes(&self, stored: &Self) -> bool {
        let (new, old) = (self.member.state, stored.member.state);
        if old.is_final() || new.is_final() {
            return new.is_final() && new > old;
        }
        (self.incarnation, new) > (stored.incarnation, old)
    }

    /// Returns the result of merging this record into `stored`; `None` if `stored` is unchanged.
    #[must_use]
    pub fn merged_into(&self, stored: &Self) -> Option<Self> {
        if self.member.instance != stored.member.instance {
            let version = (self.incarnation, self.member.instance);
            return (version > (stored.incarnation, stored.member.instance)).then(|| self.clone());
        }
        let leaving = self.member.leaving || stored.member.leaving;
        let mut next = if self.supersedes(stored) {
            self.clone()
        } else {
            stored.clone()
        };
        next.member.leaving = leaving;
        next.incarnation = self.incarnation.max(stored.incarnation);
        (next != *stored).then_some(next)
    }
}
