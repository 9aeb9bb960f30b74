//! Fleet membership: SWIM-style failure detection within a region, and exchange of records between
//! regions.
//!
//! Every daemon stores a record of every member. Members of the same region probe each other,
//! directly and indirectly, and a suspected member refutes the suspicion with a greater
//! incarnation. Records of other regions come from their delegates, and their members are not
//! probed from here. The VM list provides seeds and is the only external proof that a member has
//! terminated. [`protocol::Protocol`] is pure: the engine of `crates/cluster` supplies its
//! datagrams and its clock.

pub mod action;
pub mod event;
pub mod member;
pub mod message;
pub mod protocol;
pub mod queue;
pub mod record;
pub mod relays;
pub mod suspicions;
pub mod table;
pub mod timings;
pub mod view;
