//! Run-time state of a service: its policy, its servers and its pending requests.
//!
//! The policy runs under the service's lock. Actions that involve the rest of the fleet are
//! performed after the lock is released.

mod deferred;
mod pending;
mod removals;
mod reports;

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use arc_swap::ArcSwap;
use monsooncart_config::{rules, service};
use monsooncart_policy::service::{Explanation, Policy, View};
use monsooncart_policy::{action, event, handle, health, inventory, outcome};
use monsooncart_types::{id, instance, map};
use tokio::sync::mpsc;

use crate::lock::lock;
use crate::{common, pool, relay, server};

/// Command of the policy for a pending request.
#[derive(Debug)]
pub enum Command {
    /// Send the request to a server.
    Send {
        /// Handle of the attempt.
        attempt: handle::Attempt,
        server: Arc<server::Server>,
        /// Whether the attempt needs a fresh connection.
        fresh_connection: bool,
        /// What was known about the server when it was selected.
        grounds: action::Grounds,
    },
    /// Have another daemon relay the request.
    Relay {
        /// Handle of the attempt.
        attempt: handle::Attempt,
        peer: Arc<relay::Peer>,
        /// Maximum number of servers that it may send the request to.
        max_attempts: u32,
    },
    /// Cancel an attempt.
    Cancel(handle::Attempt),
    /// Refuse the request.
    Refuse(outcome::Refusal),
}

/// Current configuration of the service.
#[derive(Debug)]
struct ActiveConfig {
    spec: Arc<service::Service>,
    servers: map::Map<handle::Server, Arc<server::Server>>,
    handles: map::Map<id::Server, handle::Server>,
}

/// The policy with its pending requests and running attempts.
struct State {
    policy: Box<dyn Policy>,
    pending: map::Map<handle::Request, mpsc::UnboundedSender<Command>>,
    attempts: map::Map<handle::Attempt, handle::Request>,
    /// Actions that the policy has issued and that are not carried out yet; the buffer is reused.
    actions: Vec<action::Action>,
    /// Daemons in the last inventory that the policy received.
    daemons: Vec<instance::Instance>,
    /// Daemons that can relay requests, in the last inventory.
    relays: Vec<inventory::Relay>,
}

pub struct Service {
    pub name: id::Service,
    common: Arc<common::Common>,
    active_config: ArcSwap<ActiveConfig>,
    /// Handles of all servers that the service has ever had, or that reports have named.
    handles: Mutex<map::Map<id::Server, handle::Server>>,
    /// Created at the first event, so that a service without traffic has no policy.
    state: Mutex<Option<State>>,
    /// Sends the service to its tick task when its policy needs ticks.
    activation_sender: mpsc::UnboundedSender<Arc<Self>>,
    removed: AtomicBool,
    /// Whether the policy is being ticked.
    ticking: AtomicBool,
}

impl Service {
    /// Creates a service, which sends itself through `activation_sender` whenever its policy needs
    /// ticks.
    pub fn new(
        common: Arc<common::Common>,
        spec: &Arc<service::Service>,
        activation_sender: mpsc::UnboundedSender<Arc<Self>>,
    ) -> Self {
        let active_config = ActiveConfig {
            spec: spec.clone(),
            servers: map::Map::default(),
            handles: map::Map::default(),
        };
        let service = Self {
            name: spec.name.clone(),
            common,
            active_config: ArcSwap::from_pointee(active_config),
            handles: Mutex::default(),
            state: Mutex::default(),
            activation_sender,
            removed: AtomicBool::new(false),
            ticking: AtomicBool::new(false),
        };
        service.apply_spec(spec);
        service
    }

    /// Applies a new configuration and passes the new inventory to the policy. `epoch_of` returns the epoch
    /// of the platform in which a server was registered or removed.
    pub fn configure(
        self: &Arc<Self>,
        spec: &Arc<service::Service>,
        epoch_of: impl Fn(&id::Server) -> u64,
    ) {
        self.removed.store(false, Ordering::Relaxed);
        let held_for = self.record_removals(spec, epoch_of);
        self.apply_spec(spec);
        self.send_inventory();
        if let Some(held_for) = held_for {
            let service = self.clone();
            tokio::spawn(async move {
                tokio::time::sleep(held_for).await;
                service.send_inventory();
            });
        }
    }

    /// Stops sending work to the servers of a service that was removed from the configuration.
    pub fn remove(self: &Arc<Self>) {
        self.removed.store(true, Ordering::Relaxed);
        self.send_inventory();
    }

    fn apply_spec(&self, spec: &Arc<service::Service>) {
        let old = self.active_config.load();
        let mut next = ActiveConfig {
            spec: spec.clone(),
            servers: map::Map::default(),
            handles: map::Map::default(),
        };
        let mut handles = lock(&self.handles);
        for server_spec in &spec.servers {
            let handle = get_or_insert_handle(&mut handles, &server_spec.name);
            if server_spec.leaving {
                let started_millis = server_spec.started_millis;
                let is_new = self
                    .common
                    .record_leaving(&server_spec.name, started_millis);
                let was_leaving = old.servers.get(&handle).is_some_and(|s| s.spec.leaving);
                if is_new && !was_leaving {
                    log::info!(service:% = self.name, server:% = server_spec.name; "config: server is leaving");
                }
            }
            let unchanged = old
                .servers
                .get(&handle)
                .filter(|old| old.spec == *server_spec);
            let server = unchanged.cloned().unwrap_or_else(|| {
                Arc::new(server::Server {
                    handle,
                    spec: server_spec.clone(),
                    pool: pool::Pool::new(self.common.pool),
                })
            });
            next.servers.insert(handle, server);
            next.handles.insert(server_spec.name.clone(), handle);
        }
        for (handle, server) in &old.servers {
            if !next.servers.contains_key(handle) {
                log::info!(service:% = self.name, server:% = server.spec.name; "config: server was removed");
            }
        }
        self.active_config.store(Arc::new(next));
    }

    fn inventory(&self) -> inventory::Inventory {
        let active_config = self.active_config.load();
        let spec = &active_config.spec;
        let server = |s: &Arc<server::Server>| inventory::Server {
            handle: s.handle,
            name: s.spec.name.clone(),
            slots: s.spec.slots,
            local: s.spec.data_centre == self.common.data_centre,
            leaving: s.spec.leaving
                || self
                    .common
                    .is_withdrawn(&s.spec.name, s.spec.started_millis),
            remaining_warm_up: s.spec.remaining_warm_up.0,
            started_millis: s.spec.started_millis,
        };
        let mut servers: Vec<_> = active_config.servers.values().map(server).collect();
        servers.sort_by_key(|s| s.handle);
        if self.removed.load(Ordering::Relaxed) {
            servers.clear();
        }
        inventory::Inventory {
            servers,
            floor_slots: spec.floor_slots(),
            sensitivity: match spec.detection {
                rules::Detection::Fast => health::Sensitivity::Fast,
                rules::Detection::Balanced => health::Sensitivity::Balanced,
                rules::Detection::Careful => health::Sensitivity::Careful,
            },
            daemons: self.common.fleet.daemons(&self.name),
            relays: self.common.fleet.relays(&self.name),
            unix_origin: self.common.clock.unix_origin(),
            latency_objective: spec.objective.latency.0,
        }
    }

    fn send_inventory(self: &Arc<Self>) {
        if self.is_active() {
            self.handle_event(event::Event::Inventory(self.inventory()));
        }
    }

    /// Whether the policy has been created.
    pub fn is_active(&self) -> bool {
        lock(&self.state).is_some()
    }

    /// Sends the inventory to the policy if the serving daemons or the relays changed.
    pub fn refresh_daemons(self: &Arc<Self>) {
        if !self.is_active() {
            return;
        }
        let daemons = self.common.fleet.daemons(&self.name);
        let relays = self.common.fleet.relays(&self.name);
        let stale = lock(&self.state)
            .as_ref()
            .is_some_and(|state| state.daemons != daemons || state.relays != relays);
        if stale {
            self.send_inventory();
        }
    }

    /// Returns the handle of a server, also of one that is not configured.
    fn get_or_create_handle(&self, name: &id::Server) -> handle::Server {
        get_or_insert_handle(&mut lock(&self.handles), name)
    }

    pub fn server_handle(&self, name: &id::Server) -> Option<handle::Server> {
        self.active_config.load().handles.get(name).copied()
    }

    /// Start of the current run of a server, in milliseconds since 1970.
    pub fn started_millis(&self, server: handle::Server) -> Option<u64> {
        let active_config = self.active_config.load();
        let server = active_config.servers.get(&server);
        server.map(|server| server.spec.started_millis)
    }

    /// Name of a server, also of one that is no longer configured.
    pub fn known_name(&self, handle: handle::Server) -> Option<id::Server> {
        let handles = lock(&self.handles);
        let mut names = handles.iter().filter(|(_, known)| **known == handle);
        names.next().map(|(name, _)| name.clone())
    }

    pub fn server_name(&self, handle: handle::Server) -> Option<id::Server> {
        let active_config = self.active_config.load();
        active_config
            .servers
            .get(&handle)
            .map(|s| s.spec.name.clone())
    }

    /// Returns this daemon's evidence, by server name.
    pub fn digests(&self) -> Vec<(id::Server, event::Digest)> {
        let mut state = lock(&self.state);
        let Some(state) = &mut *state else {
            return Vec::new();
        };
        let digests = state.policy.digest(self.common.clock.now());
        let by_name = |(server, digest)| Some((self.server_name(server)?, digest));
        digests.into_iter().filter_map(by_name).collect()
    }

    /// Returns the policy's view of each server, by name.
    pub fn views(self: &Arc<Self>) -> Vec<(id::Server, View)> {
        let mut state = lock(&self.state);
        let state = self.get_or_create_state(&mut state);
        let views = state.policy.view(self.common.clock.now());
        let by_name = |view: View| Some((self.server_name(view.server)?, view));
        views.into_iter().filter_map(by_name).collect()
    }

    /// Returns the state; the first call creates the policy.
    fn get_or_create_state<'a>(self: &Arc<Self>, state: &'a mut Option<State>) -> &'a mut State {
        state.get_or_insert_with(|| {
            let mut policy = self.common.policies.create_policy(&self.name);
            let inventory = self.inventory();
            let (daemons, relays) = (inventory.daemons.clone(), inventory.relays.clone());
            let mut actions = Vec::new();
            let event = event::Event::Inventory(inventory);
            policy.handle(self.common.clock.now(), event, &mut actions);
            State {
                policy,
                pending: map::Map::default(),
                attempts: map::Map::default(),
                actions,
                daemons,
                relays,
            }
        })
    }

    /// Explains where a request would go that arrived now.
    pub fn explain(self: &Arc<Self>, arrival: event::Arrival) -> Option<Explanation> {
        let mut state = lock(&self.state);
        let state = self.get_or_create_state(&mut state);
        state.policy.explain(self.common.clock.now(), arrival)
    }

    /// Whether a request with this fingerprint may have crashed a server.
    pub fn is_suspected(&self, fingerprint: handle::Fingerprint) -> bool {
        let state = lock(&self.state);
        let policy = state.as_ref().map(|state| &state.policy);
        policy.is_some_and(|policy| policy.is_suspected(fingerprint))
    }

    /// Tells the policy the fingerprint of a request whose body was streamed; returns whether the request
    /// is quarantined.
    pub fn identify(
        self: &Arc<Self>,
        request: handle::Request,
        fingerprint: handle::Fingerprint,
    ) -> bool {
        self.handle_event(event::Event::Identified {
            request,
            fingerprint,
        });
        let now = self.common.clock.now();
        let state = lock(&self.state);
        let policy = state.as_ref().map(|state| &state.policy);
        policy.is_some_and(|policy| policy.is_quarantined(now, fingerprint))
    }

    /// Submits a request to the policy.
    pub fn submit(self: &Arc<Self>, arrival: event::Arrival) -> pending::Request {
        let (sender, commands) = mpsc::unbounded_channel();
        {
            let mut state = lock(&self.state);
            let state = self.get_or_create_state(&mut state);
            state.pending.insert(arrival.request, sender);
        }
        let pending = pending::Request::new(self.clone(), arrival.request, commands);
        self.handle_event(event::Event::Arrive(arrival));
        pending
    }

    /// Passes an event to the policy and carries out the resulting actions.
    pub fn handle_event(self: &Arc<Self>, event: event::Event) {
        let mut deferred = Vec::new();
        {
            let mut state = lock(&self.state);
            let state = self.get_or_create_state(&mut state);
            if let event::Event::Inventory(inventory) = &event {
                state.daemons.clone_from(&inventory.daemons);
                state.relays.clone_from(&inventory.relays);
            }
            let mut events = VecDeque::from([event]);
            while let Some(event) = events.pop_front() {
                if let event::Event::Finish { attempt, .. } = &event {
                    state.attempts.remove(attempt);
                }
                let mut actions = std::mem::take(&mut state.actions);
                let now = self.common.clock.now();
                state.policy.handle(now, event, &mut actions);
                for action in actions.drain(..) {
                    self.dispatch(state, action, &mut events, &mut deferred);
                }
                state.actions = actions;
            }
            if !state.policy.is_idle() && !self.ticking.swap(true, Ordering::AcqRel) {
                // Sending fails only if the engine, and with it the tick task, is gone.
                let _ = self.activation_sender.send(self.clone());
            }
        }
        for action in deferred {
            self.perform_deferred(action);
        }
    }

    /// Sends an action to its request, or adds it to `deferred` if it concerns no single request.
    fn dispatch(
        &self,
        state: &mut State,
        action: action::Action,
        events: &mut VecDeque<event::Event>,
        deferred: &mut Vec<action::Action>,
    ) {
        match action {
            action::Action::Send {
                request,
                attempt,
                server,
                fresh_connection,
                grounds,
            } => {
                let target = self.active_config.load().servers.get(&server).cloned();
                let pending = state.pending.get(&request);
                let is_removed = pending.is_some() && target.is_none();
                let sent = pending.zip(target).is_some_and(|(pending, server)| {
                    let command = Command::Send {
                        attempt,
                        server,
                        fresh_connection,
                        grounds,
                    };
                    pending.send(command).is_ok()
                });
                if sent {
                    state.attempts.insert(attempt, request);
                    return;
                }
                if is_removed {
                    log::info!(service:% = self.name, request = request.0, server = server.0; "proxy: chosen server was removed before the send");
                }
                events.push_back(event::Event::Finish {
                    attempt,
                    outcome: match is_removed {
                        true => outcome::Outcome::Removed,
                        false => outcome::Outcome::Cancelled,
                    },
                    replayable: is_pending(state, request),
                    retry_after: None,
                });
            }
            action::Action::Relay {
                request,
                attempt,
                peer,
                max_attempts,
            } => {
                let name = self.common.fleet.vm(peer);
                let pending = state.pending.get(&request);
                let sent = pending.zip(name).is_some_and(|(pending, name)| {
                    let peer = self.common.relays.get(peer, &name, self.common.pool);
                    let command = Command::Relay {
                        attempt,
                        peer,
                        max_attempts,
                    };
                    pending.send(command).is_ok()
                });
                if sent {
                    state.attempts.insert(attempt, request);
                    return;
                }
                let is_pending = is_pending(state, request);
                events.push_back(event::Event::Finish {
                    attempt,
                    outcome: match is_pending {
                        true => outcome::Outcome::Unsent,
                        false => outcome::Outcome::Cancelled,
                    },
                    replayable: is_pending,
                    retry_after: None,
                });
            }
            action::Action::Refuse { request, refusal } => {
                if let Some(pending) = state.pending.get(&request) {
                    // A closed channel means that the caller has disconnected.
                    let _ = pending.send(Command::Refuse(refusal));
                }
            }
            action::Action::Cancel(attempt) => {
                let request = state.attempts.get(&attempt);
                if let Some(pending) = request.and_then(|r| state.pending.get(r)) {
                    let _ = pending.send(Command::Cancel(attempt));
                }
            }
            action => deferred.push(action),
        }
    }

    /// Wakes the gossip sender to publish new evidence and load.
    pub fn wake_gossip(&self) {
        self.common.fleet.wake_gossip();
    }

    /// Counts a finished attempt in the metrics.
    pub fn count_attempt(&self, outcome: outcome::Outcome, relayed: bool) {
        let metrics = &self.common.metrics;
        match relayed {
            true => metrics.record_relayed_attempt(&self.name, outcome),
            false => metrics.record_attempt(&self.name, outcome),
        }
    }

    /// Ticks the policy and, if `reap` is set, closes expired idle connections. Returns whether the
    /// policy needs further ticks.
    pub fn tick(self: &Arc<Self>, reap: bool) -> bool {
        self.handle_event(event::Event::Tick);
        if reap {
            let now = self.common.clock.now();
            for server in self.active_config.load().servers.values() {
                server.pool.close_expired(now);
            }
        }
        let state = lock(&self.state);
        let idle = state.as_ref().is_some_and(|state| state.policy.is_idle());
        self.ticking.store(!idle, Ordering::Release);
        !idle
    }
}

fn get_or_insert_handle(
    handles: &mut map::Map<id::Server, handle::Server>,
    name: &id::Server,
) -> handle::Server {
    let next = handle::Server(u32::try_from(handles.len()).unwrap_or(u32::MAX));
    *handles.entry(name.clone()).or_insert(next)
}

/// Whether a request is still pending and can be sent to another server.
fn is_pending(state: &State, request: handle::Request) -> bool {
    state.pending.contains_key(&request)
}
