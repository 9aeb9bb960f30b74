//! Client for calls to one member.

use std::future::Future;
use std::net;
use std::sync::Arc;
use std::time::{Duration, Instant};

use monsooncart_policy::claims::{claim, handover};
use monsooncart_policy::membership::member;
use monsooncart_types::instance;
use monsooncart_wire::{claims, configuration, floor, peer, sync, update, usage};
use tarpc::client::RpcError;
use tarpc::context;

use crate::{call, pool, shared};

/// Target of calls.
#[derive(Clone, Debug)]
pub enum Target {
    /// Process instance of a daemon, looked up among the members at each call.
    Instance(instance::Instance),
    /// Address of a daemon, with the name of its VM if known.
    Address(net::SocketAddr, String),
}

impl From<instance::Instance> for Target {
    fn from(instance: instance::Instance) -> Self {
        Self::Instance(instance)
    }
}

impl From<&member::Member> for Target {
    fn from(member: &member::Member) -> Self {
        Self::Address(member.peers, member.vm.to_string())
    }
}

impl From<net::SocketAddr> for Target {
    fn from(address: net::SocketAddr) -> Self {
        Self::Address(address, "unnamed".to_owned())
    }
}

/// Makes calls to one member.
///
/// Each call has a timeout. Its error states whether the request may have been delivered.
#[derive(Clone)]
pub struct Client {
    pub(crate) shared: Arc<shared::Shared>,
    pub(crate) target: Target,
}

/// Defines one method per call, from its name, [`call::Method`] and types.
macro_rules! calls {
    ($($(#[$doc:meta])* $name:ident, $method:ident, $request:ty => $reply:ty;)*) => {
        impl Client {$(
            $(#[$doc])*
            ///
            /// # Errors
            ///
            /// If the target is unknown or unreachable, or no reply arrived within the timeout.
            pub async fn $name(
                &self,
                request: $request,
                timeout: Duration,
            ) -> Result<$reply, call::Error> {
                let call = |client: peer::PeerClient, context| async move {
                    client.$name(context, request).await
                };
                self.call(call::Method::$method, timeout, call).await
            }
        )*}
    };
}

calls! {
    /// Claims a ticket that the member minted.
    claim, Claim, claims::Claim => Result<(), claim::Refusal>;
    /// Releases the claim on a ticket, which can then be claimed again.
    release, Release, claims::Release => Result<(), claim::Refusal>;
    /// Records the outcome of a claimed request.
    settle, Settle, claims::Settle => Result<(), claim::Refusal>;
    /// Requests the state of a ticket.
    outcome, Outcome, claims::Outcome => Result<claim::State, claim::Refusal>;
    /// Transfers a part of a claim table to the member.
    hand_over, HandOver, claims::HandOver => handover::Reply;
    /// Compares the configuration with the member's.
    digest, Digest, configuration::Digest => configuration::Difference;
    /// Requests newer configuration objects.
    pull, Pull, configuration::Pull => configuration::Objects;
    /// Delivers updates.
    news, News, Vec<update::Item> => ();
    /// Stores a copy of usage counters at the member.
    keep_usage, KeepUsage, usage::Copy => ();
    /// Fetches the copies of usage counters stored by the member.
    fetch_usage, FetchUsage, usage::Fetch => usage::Copies;
    /// Sends a request to a holder of ejection tokens.
    floor, Floor, floor::Request => floor::Reply;
    /// Reconciles the membership tables and the retained updates.
    sync, Sync, sync::Request => sync::Reply;
    /// Requests parts of the routing.
    parts, Parts, configuration::PartsRequest => configuration::PartsReply;
}

impl Client {
    /// Creates the error of a call that did not find its target.
    fn lookup_error(&self, method: call::Method, peer: String) -> call::Error {
        let peer_terminated = match self.target {
            Target::Instance(instance) => self.shared.is_terminated(instance),
            Target::Address(..) => false,
        };
        call::Error {
            method,
            peer,
            step: call::Step::Lookup,
            delivery: call::Delivery::NotDelivered,
            peer_terminated,
            reason: "instance is not a known member".to_owned(),
        }
    }

    fn resolve(&self) -> Option<(net::SocketAddr, String)> {
        match &self.target {
            Target::Address(address, name) => Some((*address, name.clone())),
            Target::Instance(instance) => {
                let member = self.shared.member(*instance)?;
                Some((member.peers, member.vm.to_string()))
            }
        }
    }

    /// Whether the connected daemon is the target of the calls.
    fn is_target(&self, pooled: &pool::Pooled) -> bool {
        match self.target {
            Target::Instance(instance) => pooled.connection.instance == instance,
            Target::Address(..) => true,
        }
    }

    async fn call<T, F>(
        &self,
        method: call::Method,
        timeout: Duration,
        call: impl FnOnce(peer::PeerClient, context::Context) -> F,
    ) -> Result<T, call::Error>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let deadline = Instant::now() + timeout;
        let Some((address, name)) = self.resolve() else {
            let peer = match &self.target {
                Target::Instance(instance) => format!("instance {instance}"),
                Target::Address(address, _) => address.to_string(),
            };
            return Err(self.lookup_error(method, peer));
        };
        let failure = self.lookup_error(method, format!("{name} ({address})"));
        let pooled = tokio::time::timeout(timeout, self.shared.pool.get(address)).await;
        let pooled = pooled.map_err(|_| call::Error {
            step: call::Step::Dial,
            reason: format!("no connection within {timeout:?}"),
            ..failure.clone()
        })?;
        let pooled = pooled.map_err(|e| call::Error {
            step: e.step,
            reason: e.reason,
            ..failure.clone()
        })?;
        if !self.is_target(&pooled) {
            self.shared.pool.discard(address, &pooled).await;
            return Err(call::Error {
                step: call::Step::Lookup,
                reason: format!("address belongs to instance {}", pooled.connection.instance),
                ..failure
            });
        }
        let mut context = context::current();
        context.deadline = deadline;
        let reply = call(pooled.connection.client.clone(), context);
        let reply = tokio::time::timeout_at(deadline.into(), reply).await;
        let reason = match reply {
            Ok(Ok(reply)) => return Ok(reply),
            Ok(Err(error)) => error.to_string(),
            Err(_) => format!("no reply within {timeout:?}"),
        };
        // tarpc's own message names neither the method nor the peer.
        log::info!(method:% = method, peer = failure.peer, reason; "peer: call failed");
        self.shared.pool.discard(address, &pooled).await;
        Err(call::Error {
            step: call::Step::Exchange,
            delivery: call::Delivery::Unknown,
            reason,
            ..failure
        })
    }
}
