//! What a keeper wants done.

use monsooncart_types::{id, instance};

use crate::event;
use crate::floor::{mark, record, request, storage};

/// An action.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Reads the record.
    Get {
        /// Number of the call.
        call: u64,
    },
    /// Writes the record.
    Put {
        /// Number of the call.
        call: u64,
        /// What must hold.
        condition: storage::Condition,
        /// The record.
        record: record::Record,
    },
    /// Asks a holder to eject a server.
    Request {
        /// The holder.
        to: instance::Instance,
        /// What for.
        request: request::Request,
    },
    /// Answers another daemon.
    Reply {
        /// Who asked.
        to: instance::Instance,
        /// The answer.
        reply: request::Reply,
    },
    /// Tells all daemons that share the service.
    Broadcast(mark::Mark),
    /// Tells this daemon's decisions what became of a server.
    Report {
        /// The server.
        server: id::Server,
        /// What became of it.
        ejection: event::Ejection,
    },
    /// Nothing is left to write back; the daemon may end.
    Stopped,
}
