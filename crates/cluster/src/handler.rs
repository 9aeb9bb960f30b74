//! Interface of the daemon to calls and updates from its peers.

use futures_util::future::BoxFuture;
use monsooncart_policy::claims::{claim, handover};
use monsooncart_types::instance;
use monsooncart_wire::{claims, floor, update, usage};

use crate::relay;

/// Process instance of the caller, as stated in the connection's hello.
pub type Peer = instance::Instance;

/// Handles calls of other daemons.
///
/// A call whose caller disconnects is dropped at its next await point; work that must not be
/// interrupted belongs in a task of its own.
pub trait Handler: Send + Sync {
    /// Decides a claim on a ticket that this daemon minted or took over.
    fn claim(
        &self,
        caller: Peer,
        request: claims::Claim,
    ) -> BoxFuture<'_, Result<(), claim::Refusal>>;

    /// Releases the claim on a ticket, which can then be claimed again.
    fn release(
        &self,
        caller: Peer,
        request: claims::Release,
    ) -> BoxFuture<'_, Result<(), claim::Refusal>>;

    /// Records the outcome of a claimed request.
    fn settle(
        &self,
        caller: Peer,
        request: claims::Settle,
    ) -> BoxFuture<'_, Result<(), claim::Refusal>>;

    /// Returns the state of a ticket.
    fn outcome(
        &self,
        caller: Peer,
        request: claims::Outcome,
    ) -> BoxFuture<'_, Result<claim::State, claim::Refusal>>;

    /// Takes over a part of a stopping minter's claim table.
    fn hand_over(&self, caller: Peer, request: claims::HandOver) -> BoxFuture<'_, handover::Reply>;

    /// Stores a copy of another daemon's usage counters.
    fn keep_usage(&self, caller: Peer, copy: usage::Copy) -> BoxFuture<'_, ()>;

    /// Returns the stored copies of usage counters.
    fn fetch_usage(&self, caller: Peer, request: usage::Fetch) -> BoxFuture<'_, usage::Copies>;

    /// Answers a request to this daemon as a holder of ejection tokens.
    fn floor(&self, caller: Peer, request: floor::Request) -> BoxFuture<'_, floor::Reply>;

    /// Serves a connection over which another daemon has requests relayed, until it closes. Closes it
    /// at once unless this daemon relays.
    fn serve_relay(&self, _caller: Peer, _stream: Box<dyn relay::Stream>) -> BoxFuture<'_, ()> {
        Box::pin(std::future::ready(()))
    }

    /// Receives an update, once. Must not block. Updates of the configuration and of the platform's
    /// reachability are handled by the engine.
    fn receive_update(&self, update: update::Update);
}
