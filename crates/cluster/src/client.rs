//! Calls to one member.

use std::future::Future;
use std::net;
use std::sync::Arc;
use std::time::{Duration, Instant};

use monsooncart_policy::claims::{claim, handover};
use monsooncart_policy::membership::member;
use monsooncart_types::instance;
use monsooncart_wire::{claims, configuration, floor, news, peer, sync, usage};
use tarpc::client::RpcError;
use tarpc::context;

use crate::{call, pool, shared};

/// Whom calls go to.
#[derive(Clone, Debug)]
pub enum Target {
    /// A run of a daemon, looked up among the members at each call.
    Instance(instance::Instance),
    /// An address, with the name of its VM where known.
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
/// Each call ends by `within`. Its error says whether the request may have been delivered.
#[derive(Clone)]
pub struct Client {
    pub(crate) shared: Arc<shared::Shared>,
    pub(crate) target: Target,
}

/// Defines a call: name, method and types.
macro_rules! calls {
    ($($(#[$doc:meta])* $name:ident, $method:ident, $request:ty => $reply:ty;)*) => {
        impl Client {$(
            $(#[$doc])*
            ///
            /// # Errors
            ///
            /// Where no answer came in time.
            pub async fn $name(
                &self,
                request: $request,
                within: Duration,
            ) -> Result<$reply, call::Error> {
                let call = |client: peer::PeerClient, context| async move {
                    client.$name(context, request).await
                };
                self.call(call::Method::$method, within, call).await
            }
        )*}
    };
}

calls! {
    /// Claims a ticket that the member minted.
    claim, Claim, claims::Claim => Result<(), claim::Refusal>;
    /// Opens a claimed ticket again.
    release, Release, claims::Release => Result<(), claim::Refusal>;
    /// Records how a claimed request ended.
    settle, Settle, claims::Settle => Result<(), claim::Refusal>;
    /// Asks where the work of a ticket stands.
    outcome, Outcome, claims::Outcome => Result<claim::State, claim::Refusal>;
    /// Hands over a part of a claim table.
    hand_over, HandOver, claims::HandOver => handover::Reply;
    /// Compares the configurations held.
    digest, Digest, configuration::Digest => configuration::Difference;
    /// Gets newer configuration objects.
    pull, Pull, configuration::Pull => configuration::Objects;
    /// Tells news.
    news, News, Vec<news::Item> => ();
    /// Has a copy of usage counters kept.
    keep_usage, KeepUsage, usage::Copy => ();
    /// Fetches the copies of usage counters held.
    fetch_usage, FetchUsage, usage::Fetch => usage::Copies;
    /// Asks a holder of ejection tokens.
    floor, Floor, floor::Request => floor::Reply;
    /// Compares members and lasting news.
    sync, Sync, sync::Request => sync::Reply;
}

impl Client {
    fn lookup_error(&self, method: call::Method, peer: String) -> call::Error {
        let ended = match self.target {
            Target::Instance(instance) => self.shared.is_ended(instance),
            Target::Address(..) => false,
        };
        call::Error {
            method,
            peer,
            step: call::Step::Lookup,
            delivery: call::Delivery::NotDelivered,
            ended,
            reason: "instance is not that of a known member".to_owned(),
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

    /// Whether the daemon at the other end is the one that the calls are meant for.
    fn is_target(&self, connection: &pool::Pooled) -> bool {
        match self.target {
            Target::Instance(instance) => connection.connection.instance == instance,
            Target::Address(..) => true,
        }
    }

    async fn call<T, F>(
        &self,
        method: call::Method,
        within: Duration,
        call: impl FnOnce(peer::PeerClient, context::Context) -> F,
    ) -> Result<T, call::Error>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let deadline = Instant::now() + within;
        let Some((address, name)) = self.resolve() else {
            let peer = match &self.target {
                Target::Instance(instance) => format!("instance {instance}"),
                Target::Address(address, _) => address.to_string(),
            };
            return Err(self.lookup_error(method, peer));
        };
        let failure = self.lookup_error(method, format!("{name} ({address})"));
        let opened = tokio::time::timeout(within, self.shared.pool.get(address)).await;
        let opened = opened.map_err(|_| call::Error {
            step: call::Step::Dial,
            reason: format!("no connection within {within:?}"),
            ..failure.clone()
        })?;
        let connection = opened.map_err(|e| call::Error {
            step: e.step,
            reason: e.reason,
            ..failure.clone()
        })?;
        if !self.is_target(&connection) {
            self.shared.pool.discard(address, &connection).await;
            return Err(call::Error {
                step: call::Step::Lookup,
                reason: format!("instance {} answers there", connection.connection.instance),
                ..failure
            });
        }
        let mut context = context::current();
        context.deadline = deadline;
        let answer = call(connection.connection.client.clone(), context);
        let answer = tokio::time::timeout_at(deadline.into(), answer).await;
        let reason = match answer {
            Ok(Ok(reply)) => return Ok(reply),
            Ok(Err(error)) => error.to_string(),
            Err(_) => format!("no answer within {within:?}"),
        };
        self.shared.pool.discard(address, &connection).await;
        Err(call::Error {
            step: call::Step::Exchange,
            delivery: call::Delivery::Unknown,
            reason,
            ..failure
        })
    }
}
