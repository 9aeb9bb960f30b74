//! Audience of a published update.

use monsooncart_policy::membership::member;

/// Receivers of an update.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Scope {
    /// These members, by calls.
    Members(Vec<member::Member>),
    /// Every daemon, by gossip.
    Fleet,
}
