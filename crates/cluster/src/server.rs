//! Server side of the calls between daemons.

use std::sync::Arc;

use monsooncart_policy::claims::{claim, handover};
use monsooncart_types::instance;
use monsooncart_wire::{claims, configuration, floor, peer, sync, update, usage};
use tarpc::context::Context;

use crate::{shared, spread};

/// Serves the calls of one connection.
#[derive(Clone)]
pub(crate) struct Server {
    pub(crate) shared: Arc<shared::Shared>,
    pub(crate) caller: instance::Instance,
}

impl peer::Peer for Server {
    async fn claim(self, _: Context, request: claims::Claim) -> Result<(), claim::Refusal> {
        self.shared.handler.claim(self.caller, request).await
    }

    async fn release(self, _: Context, request: claims::Release) -> Result<(), claim::Refusal> {
        self.shared.handler.release(self.caller, request).await
    }

    async fn settle(self, _: Context, request: claims::Settle) -> Result<(), claim::Refusal> {
        self.shared.handler.settle(self.caller, request).await
    }

    async fn outcome(
        self,
        _: Context,
        request: claims::Outcome,
    ) -> Result<claim::State, claim::Refusal> {
        self.shared.handler.outcome(self.caller, request).await
    }

    async fn hand_over(self, _: Context, request: claims::HandOver) -> handover::Reply {
        self.shared.handler.hand_over(self.caller, request).await
    }

    async fn digest(self, _: Context, request: configuration::Digest) -> configuration::Difference {
        self.shared.answer_digest(&request)
    }

    async fn pull(self, _: Context, request: configuration::Pull) -> configuration::Objects {
        self.shared.replica.newer_objects(&request)
    }

    async fn news(self, _: Context, items: Vec<update::Item>) {
        self.shared.receive_updates(items);
    }

    async fn keep_usage(self, _: Context, copy: usage::Copy) {
        self.shared.handler.keep_usage(self.caller, copy).await;
    }

    async fn fetch_usage(self, _: Context, request: usage::Fetch) -> usage::Copies {
        self.shared.handler.fetch_usage(self.caller, request).await
    }

    async fn floor(self, _: Context, request: floor::Request) -> floor::Reply {
        self.shared.handler.floor(self.caller, request).await
    }

    async fn sync(self, _: Context, request: sync::Request) -> sync::Reply {
        self.shared.answer_sync(request)
    }

    async fn parts(
        self,
        _: Context,
        request: configuration::PartsRequest,
    ) -> configuration::PartsReply {
        spread::serve::answer_parts(&self.shared, request).await
    }
}
