//! What happens to a keeper.

use std::collections::BTreeSet;

use monsooncart_types::{id, instance};

use crate::floor::{capacity, mark, record, request, storage};

/// An event.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The configuration, or what servers say of themselves, changed the capacity.
    Capacity(capacity::Capacity),
    /// The daemons that are to hold tokens, in the order of their rank.
    Holders(Vec<instance::Instance>),
    /// Holders of the record whose VM the VM list says is gone for good.
    Gone(BTreeSet<instance::Instance>),
    /// This daemon's evidence wants a server out of service.
    Eject {
        /// The server.
        server: id::Server,
        /// The evidence.
        ejection: mark::Ejection,
    },
    /// A server has recovered.
    Restore(id::Server),
    /// The answer to a call of the platform.
    StorageResponse {
        /// Number of the call.
        call: u64,
        /// The answer.
        response: storage::Response,
    },
    /// A record came by a watch or from another daemon.
    Changed {
        /// Its version.
        version: storage::Version,
        /// The record.
        record: record::Record,
    },
    /// A mark that another daemon spread.
    Mark(mark::Mark),
    /// Another daemon asks for tokens to be spent.
    Request {
        /// Who asks.
        from: instance::Instance,
        /// What for.
        request: request::Request,
    },
    /// A holder's answer.
    Reply {
        /// The holder.
        from: instance::Instance,
        /// The answer.
        reply: request::Reply,
    },
    /// The daemon stops as planned: spends are written back and tokens returned.
    Stop,
    /// Time passed.
    Tick,
}
