//! Reasons for denying an ejection.

use monsooncart_types::id;

/// Reason why the record does not admit an ejection.
#[derive(
    Clone,
    Debug,
    PartialEq,
    Eq,
    Hash,
    derive_more::Display,
    derive_more::Error,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Denial {
    /// The record does not list the server.
    #[display("server {server} is not in the service's record")]
    UnknownServer {
        /// The server.
        server: id::Server,
    },
    /// The ejection would take the service below its floor.
    #[display("server {server} has {slots} slots, and {room} may be taken out of service")]
    Floor {
        /// The server.
        server: id::Server,
        /// Its slots.
        slots: u64,
        /// Slots that may still be taken out; negative if too many are out already.
        room: i64,
    },
}
