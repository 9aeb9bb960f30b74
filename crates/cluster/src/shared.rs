//! State shared by the tasks of an engine.

use std::net;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use monsooncart_config::object;
use monsooncart_policy::membership::{action, event, member, protocol, record};
use monsooncart_policy::rank;
use monsooncart_policy::rollout::pacer;
use monsooncart_store::{store, vms};
use monsooncart_task as task;
use monsooncart_types::{instance, map, time};
use monsooncart_wire::{configuration, datagram, sync, update};
use tokio::net::UdpSocket;
use tokio::sync::{Notify, Semaphore, watch};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::{admission, call, client, config, counters, dissemination, handler, pool, spread, tls};

/// Maximum number of concurrent membership reconciliations.
pub(crate) const MAX_SYNCS: usize = 8;

/// Maximum number of concurrent calls that deliver updates.
pub(crate) const MAX_DELIVERY_CALLS: usize = 512;

/// Timeout of a call that delivers updates.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of a membership reconciliation call.
const SYNC_TIMEOUT: Duration = Duration::from_secs(2);

pub(crate) fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// Adds a number of bytes to a counter.
pub(crate) fn add(counter: &AtomicU64, bytes: usize) {
    counter.fetch_add(bytes as u64, Ordering::Relaxed);
}

pub(crate) struct Shared {
    pub(crate) local: member::Member,
    pub(crate) bound_address: net::SocketAddr,
    pub(crate) started_at: Instant,
    pub(crate) protocol: Mutex<protocol::Protocol>,
    pub(crate) dissemination: Mutex<dissemination::Dissemination>,
    pub(crate) members: ArcSwap<Vec<member::Member>>,
    pub(crate) changes: watch::Sender<u64>,
    pub(crate) members_changed: AtomicBool,
    pub(crate) admission: admission::Admission,
    pub(crate) pool: pool::Pool,
    pub(crate) udp: UdpSocket,
    pub(crate) tls: Option<tls::Tls>,
    pub(crate) secret: Option<datagram::Secret>,
    pub(crate) vms: Option<Arc<dyn vms::List>>,
    pub(crate) store: Option<Arc<dyn store::Store>>,
    pub(crate) source: Arc<dyn spread::source::Source>,
    pub(crate) handler: Arc<dyn handler::Handler>,
    pub(crate) replica: Arc<spread::held::Replica>,
    pub(crate) freshness: spread::freshness::Freshness,
    /// Bounds the rate at which parts of the routing are served.
    pub(crate) upload_pacer: Mutex<pacer::Pacer>,
    pub(crate) seeds: Vec<net::SocketAddr>,
    pub(crate) timings: config::Timings,
    pub(crate) counters: Arc<counters::Counters>,
    pub(crate) vm_list_requested: Notify,
    pub(crate) sync_permits: Semaphore,
    pub(crate) delivery_permits: Arc<Semaphore>,
    pub(crate) stop: CancellationToken,
    pub(crate) tasks: TaskTracker,
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the identifier for a new item with this update. Announcements of the same version of an
/// object by different watchers get the same identifier, so that receivers drop the duplicates.
fn update_id(update: &update::Update) -> u64 {
    match update {
        update::Update::Configuration { key, version, .. } => {
            rank::hash(format!("{key}@{version}").as_bytes())
        }
        _ => rand::random(),
    }
}

/// Creates an item that its receiver does not forward.
pub(crate) fn unforwarded_item(update: update::Update) -> update::Item {
    update::Item {
        id: rand::random(),
        age_millis: 0,
        reach: update::Reach::Receiver,
        update,
    }
}

impl Shared {
    pub(crate) fn now(&self) -> time::Time {
        time::Time::ZERO + self.started_at.elapsed()
    }

    pub(crate) fn client(self: &Arc<Self>, target: impl Into<client::Target>) -> client::Client {
        client::Client {
            shared: self.clone(),
            target: target.into(),
        }
    }

    /// Runs a long-lived task until the engine stops, and again if it panics.
    pub(crate) fn spawn_restarting<F>(
        &self,
        name: &'static str,
        start: impl FnMut() -> F + Send + 'static,
    ) where
        F: Future<Output = ()> + Send + 'static,
    {
        self.spawn(task::run_restarting(name, start));
    }

    /// Runs a task until the engine stops.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let stop = self.stop.clone();
        self.tasks.spawn(async move {
            let _ = stop.run_until_cancelled_owned(task).await;
        });
    }

    /// The member with this process instance; `None` if unknown or known to have terminated.
    pub(crate) fn member(&self, instance: instance::Instance) -> Option<member::Member> {
        let protocol = lock(&self.protocol);
        let record = protocol.table().by_instance(instance);
        let member = record.map(|record| record.member.clone());
        member.filter(|member| !member.state.is_final())
    }

    pub(crate) fn is_terminated(&self, instance: instance::Instance) -> bool {
        lock(&self.protocol).is_terminated(instance)
    }

    /// Passes an event to the membership protocol and executes the resulting actions.
    pub(crate) fn handle_event(self: &Arc<Self>, event: event::Event) {
        let mut actions = Vec::new();
        let now = self.now();
        lock(&self.protocol).handle(now, event, &mut actions);
        for action in actions {
            match action {
                action::Action::Send { to, message } => {
                    self.send(to, &datagram::Datagram::Membership(message));
                }
                action::Action::Sync { with } => self.start_sync(with),
                action::Action::Changed(member) => {
                    self.members_changed.store(true, Ordering::SeqCst);
                    self.log_change(&member);
                }
            }
        }
    }

    fn log_change(&self, member: &member::Member) {
        if member.instance == self.local.instance && member.state.is_final() {
            log::error!(vm:% = member.vm, state:% = member.state; "gossip: peers report that this daemon has terminated");
            return;
        }
        log::info!(
            vm:% = member.vm,
            instance:% = member.instance,
            state:% = member.state,
            leaving = member.leaving;
            "gossip: member changed"
        );
    }

    /// Refreshes the live members if the membership table has changed since the last refresh, so
    /// that subscribers see simultaneous changes as one.
    pub(crate) fn refresh_members_if_changed(&self) {
        if self.members_changed.swap(false, Ordering::SeqCst) {
            self.refresh_members();
        }
    }

    /// Updates the live members and the admitted addresses, and notifies subscribers.
    pub(crate) fn refresh_members(&self) {
        let protocol = lock(&self.protocol);
        let live = protocol.table().members().filter(|m| m.state.is_live());
        let mut members: Vec<_> = live.cloned().collect();
        members.sort_unstable_by(|a, b| a.vm.cmp(&b.vm));
        let listed = protocol.listed_vms();
        let listed = listed.filter(|vm| vm.state != event::VmState::Gone);
        let known = protocol.table().members();
        let known = known.filter(|m| !m.state.is_final()).map(|m| m.peers.ip());
        let mut addresses: map::Set<_> = known.collect();
        addresses.extend(listed.map(|vm| vm.peers.ip()));
        addresses.extend(self.seeds.iter().map(net::SocketAddr::ip));
        self.freshness.retain_members(&members);
        self.members.store(Arc::new(members));
        self.admission.set(addresses);
        drop(protocol);
        self.changes.send_modify(|number| *number += 1);
    }

    pub(crate) fn send(&self, to: net::SocketAddr, datagram: &datagram::Datagram) {
        let bytes = match datagram::encode(datagram, self.secret.as_ref()) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!(peer:% = to, error:%; "gossip: encoding of datagram failed");
                return;
            }
        };
        self.send_bytes(&bytes, to);
    }

    /// Sends a datagram. One that the kernel does not accept is lost, like any lost datagram.
    fn send_bytes(&self, bytes: &[u8], to: net::SocketAddr) {
        if self.udp.try_send_to(bytes, to).is_ok() {
            increment(&self.counters.datagrams_sent);
            let length = bytes.len() as u64;
            let sent = &self.counters.datagram_bytes_sent;
            sent.fetch_add(length, Ordering::Relaxed);
        }
    }

    /// Sends an update to the live members of this region by one datagram each.
    pub(crate) fn broadcast_in_region(self: &Arc<Self>, update: update::Update) {
        let peers = lock(&self.protocol).region_peers();
        self.broadcast(&[unforwarded_item(update)], &peers);
    }

    /// Sends items to each peer by one datagram, or by calls if they are too large for one.
    pub(crate) fn broadcast(self: &Arc<Self>, items: &[update::Item], to: &[net::SocketAddr]) {
        let datagram = datagram::Datagram::News(items.to_vec());
        let bytes = match datagram::encode(&datagram, self.secret.as_ref()) {
            Ok(bytes) => bytes,
            Err(_) => return self.send_by_calls(items, to),
        };
        for to in to {
            self.send_bytes(&bytes, *to);
        }
    }

    fn start_sync(self: &Arc<Self>, with: net::SocketAddr) {
        let shared = self.clone();
        self.spawn(async move {
            let Ok(_permit) = shared.sync_permits.try_acquire() else {
                return;
            };
            shared.sync(with).await;
        });
    }

    /// Reconciles the membership table and the retained updates with a peer, in both directions.
    async fn sync(self: &Arc<Self>, with: net::SocketAddr) {
        if let Err(error) = self.reconcile(with).await {
            log::debug!(error:%; "gossip: reconciliation failed");
        }
    }

    async fn reconcile(self: &Arc<Self>, with: net::SocketAddr) -> Result<(), call::Error> {
        let client = self.client(with);
        let reply = client.sync(self.digest_request(), SYNC_TIMEOUT).await?;
        let peer_records: map::Set<record::Record> = reply.records.iter().cloned().collect();
        self.handle_event(event::Event::Records(reply.records));
        let own_records = lock(&self.protocol)
            .table()
            .records_in(&reply.buckets, sync::MAX_RECORDS);
        let records: Vec<_> = own_records
            .into_iter()
            .filter(|r| !peer_records.contains(r))
            .collect();
        if records.is_empty() && !reply.retained_differs {
            return Ok(());
        }
        let retained = match reply.retained_differs {
            true => sync::Retained::Ids(lock(&self.dissemination).retained_ids(self.now())),
            false => sync::Retained::Unsaid,
        };
        let request = sync::Request {
            digest: Vec::new(),
            records,
            retained,
            updates: Vec::new(),
        };
        let reply = client.sync(request, SYNC_TIMEOUT).await?;
        self.receive_updates(reply.updates);
        let updates = lock(&self.dissemination).retained_items(self.now(), &reply.missing_ids);
        if updates.is_empty() {
            return Ok(());
        }
        let request = sync::Request {
            digest: Vec::new(),
            records: Vec::new(),
            retained: sync::Retained::Unsaid,
            updates,
        };
        client.sync(request, SYNC_TIMEOUT).await.map(drop)
    }

    /// Creates the first request of a reconciliation, with this daemon's record and the digests.
    fn digest_request(&self) -> sync::Request {
        let protocol = lock(&self.protocol);
        let own_record = protocol.table().get(&self.local.vm).cloned();
        sync::Request {
            digest: protocol.table().digest().to_vec(),
            records: own_record.into_iter().collect(),
            retained: sync::Retained::Hash(lock(&self.dissemination).retained_hash(self.now())),
            updates: Vec::new(),
        }
    }

    /// Answers a reconciliation request of a peer.
    pub(crate) fn answer_sync(self: &Arc<Self>, request: sync::Request) -> sync::Reply {
        self.handle_event(event::Event::Records(request.records));
        self.receive_updates(request.updates);
        let (buckets, records) = {
            let protocol = lock(&self.protocol);
            let buckets = protocol.table().differing_buckets(&request.digest);
            let records = protocol.table().records_in(&buckets, sync::MAX_RECORDS);
            (buckets, records)
        };
        let mut reply = sync::Reply {
            buckets,
            records,
            retained_differs: false,
            updates: Vec::new(),
            missing_ids: Vec::new(),
        };
        let mut dissemination = lock(&self.dissemination);
        match request.retained {
            sync::Retained::Unsaid => {}
            sync::Retained::Hash(hash) => {
                reply.retained_differs = hash != dissemination.retained_hash(self.now());
            }
            sync::Retained::Ids(peer_ids) => {
                (reply.updates, reply.missing_ids) =
                    dissemination.difference(self.now(), &peer_ids);
            }
        }
        reply
    }

    /// Records received items, applies updates of the configuration and of the platform's
    /// reachability, and passes other new updates to the handler.
    pub(crate) fn receive_updates(&self, items: Vec<update::Item>) {
        let mut objects = Vec::new();
        for item in items {
            let new_update = lock(&self.dissemination).record(self.now(), item);
            let Some(update) = new_update else {
                continue;
            };
            if let update::Update::Configuration {
                key,
                version,
                value,
                holder,
            } = update
            {
                match value {
                    Some(value) => objects.push(spread::held::Object {
                        key,
                        version,
                        value,
                    }),
                    None => self.replica.record_announcement(&key, version, holder),
                }
                continue;
            }
            if let update::Update::Platform { answered, from } = update {
                match answered {
                    true => self.freshness.record_connected(from),
                    false => self.freshness.record_disconnected(from),
                }
                continue;
            }
            self.handler.receive_update(update);
        }
        if !objects.is_empty() {
            self.merge_from_peer(objects);
        }
    }

    /// Stores the newer objects among those that a peer sent.
    pub(crate) fn merge_from_peer(
        &self,
        objects: Vec<spread::held::Object>,
    ) -> Vec<(object::Key, u64)> {
        let retention = self.timings.removal_delay;
        self.replica
            .merge_from_peer(objects, self.source.as_ref(), retention)
    }

    /// Publishes an update to the whole fleet: immediately to this region and to a delegate of each
    /// other region, by gossip to the rest.
    pub(crate) fn publish(self: &Arc<Self>, update: update::Update) {
        self.publish_all(vec![update]);
    }

    /// Publishes several updates to the whole fleet, packed into as few datagrams as possible.
    pub(crate) fn publish_all(self: &Arc<Self>, updates: Vec<update::Update>) {
        let item = |update| update::Item {
            id: update_id(&update),
            age_millis: 0,
            reach: update::Reach::Fleet,
            update,
        };
        let items: Vec<_> = updates.into_iter().map(item).collect();
        let (region_peers, remote_delegates) = {
            let mut protocol = lock(&self.protocol);
            (protocol.region_peers(), protocol.remote_delegates())
        };
        let large = {
            let mut dissemination = lock(&self.dissemination);
            for item in &items {
                let _own_update = dissemination.record(self.now(), item.clone());
            }
            dissemination.take_large()
        };
        let to: Vec<_> = region_peers.into_iter().chain(remote_delegates).collect();
        for items in dissemination::pack_batches(items, &large) {
            // Gossip reaches the daemons that miss the datagram.
            self.broadcast(&items, &to);
        }
        self.send_by_calls(&large, &to);
        self.send_gossip();
    }

    /// Answers a reconciliation request for the configuration.
    pub(crate) fn answer_digest(
        &self,
        request: &configuration::Digest,
    ) -> configuration::Difference {
        self.freshness.record_answer(request.age_millis);
        configuration::Difference {
            versions: self.replica.difference(&request.buckets),
            age_millis: self.freshness.age_millis(),
        }
    }

    /// Sends queued updates to a few members by datagrams, and large ones by calls.
    pub(crate) fn send_gossip(self: &Arc<Self>) {
        let large = lock(&self.dissemination).take_large();
        if large.is_empty() && !lock(&self.dissemination).has_queued() {
            return;
        }
        let receivers = lock(&self.protocol).gossip_targets();
        self.send_by_calls(&large, &receivers);
        let member_count = self.members.load().len();
        for to in receivers {
            let items = lock(&self.dissemination).next_batch(self.now(), member_count);
            if items.is_empty() {
                return;
            }
            self.send(to, &datagram::Datagram::News(items));
        }
    }

    /// Sends items by calls. Drops and counts those that exceed the limit of concurrent calls.
    pub(crate) fn send_by_calls(self: &Arc<Self>, items: &[update::Item], to: &[net::SocketAddr]) {
        if items.is_empty() {
            return;
        }
        for to in to {
            let Ok(permit) = self.delivery_permits.clone().try_acquire_owned() else {
                increment(&self.counters.updates_dropped);
                continue;
            };
            let client = self.client(*to);
            let items = items.to_vec();
            self.spawn(async move {
                if let Err(error) = client.news(items, DELIVERY_TIMEOUT).await {
                    log::debug!(error:%; "gossip: delivery of updates failed");
                }
                drop(permit);
            });
        }
    }
}
