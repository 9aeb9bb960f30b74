//! Entry point of a daemon to its fleet.

use std::io;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use arc_swap::ArcSwap;
use monsooncart_policy::membership::{event, member, protocol};
use monsooncart_policy::rollout::pacer;
use monsooncart_types::{instance, time};
use monsooncart_wire::{hello, update};
use tokio::net::TcpListener;
use tokio::sync::{Notify, Semaphore, watch};
use tokio_util::sync::{CancellationToken, DropGuard};
use tokio_util::task::TaskTracker;

use crate::{
    admission, client, config, connection, counters, dissemination, gossip, listener, pool, relay,
    scope, shared, socket, spread, tls,
};

/// Time that the tasks have to stop after their cancellation.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// Handle to a running engine; clones share it.
///
/// Dropping the last clone cancels the tasks immediately, like a crash; [`Engine::leave`] shuts the
/// engine down gracefully.
#[derive(Clone)]
pub struct Engine {
    shared: Arc<shared::Shared>,
    _guard: Arc<DropGuard>,
}

/// Returns the milliseconds since the Unix epoch, so that a later process of the same VM starts
/// with a greater incarnation.
fn initial_incarnation() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = elapsed.unwrap_or_default().as_millis();
    u64::try_from(millis).unwrap_or(u64::MAX)
}

/// Starts the long-lived tasks of the peer listener and of membership.
fn start_tasks(shared: &Arc<shared::Shared>, tcp: Arc<TcpListener>) {
    let state = shared.clone();
    let accept = move || listener::accept(state.clone(), tcp.clone());
    shared.spawn_restarting("peer listener", accept);
    let state = shared.clone();
    shared.spawn_restarting("gossip receiver", move || gossip::receive(state.clone()));
    let state = shared.clone();
    shared.spawn_restarting("gossip timer", move || gossip::tick(state.clone()));
    if let Some(list) = shared.vms.clone() {
        let state = shared.clone();
        let read = move || gossip::read_vms(state.clone(), list.clone());
        shared.spawn_restarting("VM list reader", read);
    }
}

impl Engine {
    pub(crate) async fn start(config: config::Config) -> Result<Self, config::Error> {
        let tls = config.keys.as_ref().map(tls::Tls::load).transpose()?;
        let bound = socket::bind(config.listen).await;
        let (tcp, udp) = bound.map_err(|source| config::Error::Bind {
            address: config.listen,
            source,
        })?;
        let address = tcp.local_addr();
        let address = address.map_err(|source| config::Error::Bind {
            address: config.listen,
            source,
        })?;
        let mut local = config.member;
        local.peers = config.advertise.unwrap_or(address);
        local.state = member::State::Alive;
        local.leaving = false;
        let membership = config.timings.membership;
        let protocol = protocol::Protocol::new(
            time::Time::ZERO,
            local.clone(),
            initial_incarnation(),
            config.seeds.clone(),
            membership,
            rand::random(),
        );
        let dialler = connection::Dialler {
            from: address.ip(),
            hello: hello::Hello::new(
                local.vm.clone(),
                local.instance,
                address.ip(),
                config.secret.as_ref(),
            ),
            relay_hello: hello::Hello::for_relay(
                local.vm.clone(),
                local.instance,
                address.ip(),
                config.secret.as_ref(),
            ),
            secret: config.secret.clone(),
            tls: tls.clone(),
            timeout: config.timings.dial_timeout,
        };
        let stop = CancellationToken::new();
        let counters = Arc::new(counters::Counters::default());
        let shared = Arc::new(shared::Shared {
            started_at: Instant::now(),
            protocol: Mutex::new(protocol),
            dissemination: Mutex::new(dissemination::Dissemination::new()),
            members: ArcSwap::default(),
            changes: watch::Sender::new(0),
            members_changed: AtomicBool::new(false),
            admission: match config.admit_any {
                true => admission::Admission::any(),
                false => admission::Admission::default(),
            },
            pool: pool::Pool::new(dialler, counters.clone()),
            udp,
            tls,
            secret: config.secret,
            vms: config.vms,
            store: config.store,
            source: config.source,
            handler: config.handler,
            replica: Arc::default(),
            freshness: spread::freshness::Freshness::new(config.timings.expiry_time),
            upload_pacer: Mutex::new(pacer::Pacer::new(config.upload_bytes_per_second)),
            seeds: config.seeds,
            timings: config.timings,
            counters,
            vm_list_requested: Notify::new(),
            sync_permits: Semaphore::new(shared::MAX_SYNCS),
            delivery_permits: Arc::new(Semaphore::new(shared::MAX_DELIVERY_CALLS)),
            stop: stop.clone(),
            tasks: TaskTracker::new(),
            bound_address: address,
            local,
        });
        shared.refresh_members();
        log::info!(vm:% = shared.local.vm, peers:% = address; "gossip: started");
        start_tasks(&shared, Arc::new(tcp));
        spread::start(&shared);
        Ok(Self {
            shared,
            _guard: Arc::new(stop.drop_guard()),
        })
    }

    /// This daemon as a member, with its advertised address.
    #[must_use]
    pub fn local(&self) -> &member::Member {
        &self.shared.local
    }

    /// Bound address of the peer listener.
    #[must_use]
    pub fn bound_address(&self) -> std::net::SocketAddr {
        self.shared.bound_address
    }

    /// The live members, including this daemon, sorted by VM name.
    #[must_use]
    pub fn members(&self) -> Arc<Vec<member::Member>> {
        self.shared.members.load_full()
    }

    /// Subscribes to changes of the members. The value is a change counter.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.shared.changes.subscribe()
    }

    /// The member with this process instance, which may be considered dead; `None` if it is unknown
    /// or known to have terminated.
    #[must_use]
    pub fn member(&self, instance: instance::Instance) -> Option<member::Member> {
        self.shared.member(instance)
    }

    /// Whether this process instance is known to have terminated: it left, was replaced by a later
    /// instance of its VM, or its VM is gone according to the VM list.
    #[must_use]
    pub fn is_terminated(&self, instance: instance::Instance) -> bool {
        self.shared.is_terminated(instance)
    }

    /// Local replica of the configuration.
    #[must_use]
    pub fn replica(&self) -> &Arc<spread::held::Replica> {
        &self.shared.replica
    }

    /// Counters of the engine's traffic and calls.
    #[must_use]
    pub fn counters(&self) -> &counters::Counters {
        &self.shared.counters
    }

    /// Creates a client for calls to a member, a process instance or an address.
    #[must_use]
    pub fn client(&self, target: impl Into<client::Target>) -> client::Client {
        self.shared.client(target)
    }

    /// Opens a connection over which the daemon with this process instance relays requests.
    ///
    /// # Errors
    ///
    /// If the instance is unknown, cannot be reached or does not relay.
    pub async fn open_relay(
        &self,
        instance: instance::Instance,
    ) -> io::Result<Box<dyn relay::Stream>> {
        let member = self.shared.member(instance);
        let member = member.ok_or_else(|| {
            io::Error::new(io::ErrorKind::NotFound, "instance is not a known member")
        })?;
        let (connected, stream) = self.shared.pool.dial_relay(member.peers).await?;
        if connected != instance {
            let reason = format!("address belongs to instance {connected}");
            return Err(io::Error::new(io::ErrorKind::NotFound, reason));
        }
        Ok(stream)
    }

    /// Publishes an update. It is not delivered to this daemon's own handler.
    pub fn publish(&self, update: update::Update, scope: scope::Scope) {
        match scope {
            scope::Scope::Members(members) => self.send_by_calls(update, &members),
            scope::Scope::Fleet => self.shared.publish(update),
        }
    }

    /// Sends an update to `members` by datagrams, which may be lost, or by calls if it is too large
    /// for a datagram. It is not delivered to this daemon's own handler.
    pub fn broadcast(&self, update: update::Update, members: &[member::Member]) {
        let item = shared::unforwarded_item(update);
        let others = members.iter();
        let others = others.filter(|m| m.instance != self.shared.local.instance);
        let to: Vec<_> = others.map(|m| m.peers).collect();
        self.shared.broadcast(&[item], &to);
    }

    /// Sends an update to `members` by calls.
    fn send_by_calls(&self, update: update::Update, members: &[member::Member]) {
        let item = shared::unforwarded_item(update);
        let others = members.iter();
        let others = others.filter(|m| m.instance != self.shared.local.instance);
        let to: Vec<_> = others.map(|m| m.peers).collect();
        self.shared.send_by_calls(&[item], &to);
    }

    /// Replaces the seed addresses, which are contacted in addition to the VM list.
    pub fn set_seeds(&self, seeds: Vec<std::net::SocketAddr>) {
        self.shared.handle_event(event::Event::Seeds(seeds));
    }

    /// Announces that this daemon is draining and accepts no new responsibilities. The engine
    /// continues to run.
    pub fn drain(&self) {
        self.shared.handle_event(event::Event::Leave);
        self.shared.refresh_members();
    }

    /// Announces that this daemon leaves the fleet, and stops the engine.
    pub async fn leave(self) {
        self.shared.handle_event(event::Event::Shutdown);
        self.shared.stop.cancel();
        self.shared.pool.clear();
        self.shared.tasks.close();
        let stopped = tokio::time::timeout(STOP_TIMEOUT, self.shared.tasks.wait()).await;
        if stopped.is_err() {
            log::warn!(tasks = self.shared.tasks.len(); "gossip: tasks did not stop in time");
        }
        log::info!(vm:% = self.shared.local.vm; "gossip: left");
    }
}
