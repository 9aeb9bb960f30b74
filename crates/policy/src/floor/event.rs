//! Inputs of a controller.

use std::collections::BTreeSet;

use monsooncart_types::{id, instance};

use crate::floor::{capacity, mark, record, request, storage};

/// An input of the controller's state machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The capacity changed, by the configuration or by what servers report about themselves.
    Capacity(capacity::Capacity),
    /// The daemons that should hold tokens, in rank order.
    Holders(Vec<instance::Instance>),
    /// Holders in the record whose VM no longer exists, according to the VM list.
    Gone(BTreeSet<instance::Instance>),
    /// This daemon has evidence that a server should be ejected.
    Eject {
        /// The server.
        server: id::Server,
        /// The evidence.
        ejection: mark::Ejection,
    },
    /// A server has recovered.
    Restore(id::Server),
    /// A platform call completed.
    StorageResponse {
        /// Number of the call.
        call: u64,
        /// Its result.
        response: storage::Response,
    },
    /// A record arrived by a watch or from another daemon.
    Changed {
        /// Its version.
        version: storage::Version,
        /// The record.
        record: record::Record,
    },
    /// A mark broadcast by another daemon.
    Mark(mark::Mark),
    /// Another daemon asks this one to spend its tokens.
    Request {
        /// The daemon that asks.
        from: instance::Instance,
        /// The request.
        request: request::Request,
    },
    /// A holder replied to a request.
    Reply {
        /// The holder.
        from: instance::Instance,
        /// The reply.
        reply: request::Reply,
    },
    /// The daemon is shutting down: spends are to be written back and tokens returned.
    Stop,
    /// Periodic tick.
    Tick,
}
