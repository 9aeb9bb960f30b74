//! Actions requested by a controller.

use monsooncart_types::{id, instance};

use crate::event;
use crate::floor::{mark, record, request, storage};

/// An action that the daemon carries out for the controller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Reads the record.
    Get {
        /// Number of the call, repeated in its response.
        call: u64,
    },
    /// Writes the record.
    Put {
        /// Number of the call, repeated in its response.
        call: u64,
        /// Condition under which the write takes effect.
        condition: storage::Condition,
        /// The record.
        record: record::Record,
    },
    /// Asks a token holder to eject a server.
    Request {
        /// The holder.
        to: instance::Instance,
        /// The request.
        request: request::Request,
    },
    /// Replies to another daemon's request.
    Reply {
        /// The daemon that sent the request.
        to: instance::Instance,
        /// The reply.
        reply: request::Reply,
    },
    /// Broadcasts a mark to all daemons that run the service.
    Broadcast(mark::Mark),
    /// Reports an ejection outcome to this daemon's balancer.
    Report {
        /// The server.
        server: id::Server,
        /// The outcome.
        ejection: event::Ejection,
    },
    /// All spends are written back and all tokens returned; the daemon may exit.
    Stopped,
}
