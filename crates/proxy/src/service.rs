//! A service at run time: its policy, its servers, and the requests that wait for an action.
//!
//! The policy is driven under the service's lock. What its actions ask of the rest of the fleet is
//! done after the lock was left.

mod waiting;

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use arc_swap::ArcSwap;
use monsooncart_config::{rules, service};
use monsooncart_policy::service::{Policy, View};
use monsooncart_policy::{action, event, handle, health, inventory, outcome};
use monsooncart_types::{id, map};
use tokio::sync::mpsc;

use crate::lock::lock;
use crate::{common, decision, pool, server};

/// What the policy says of a waiting request.
#[derive(Debug)]
pub enum Command {
    /// It is sent to a server.
    Send {
        /// Stands for this try.
        attempt: handle::Attempt,
        /// The server.
        server: Arc<server::Server>,
        /// Whether only a new connection will do.
        fresh: bool,
        /// What was known of the server.
        grounds: action::Grounds,
    },
    /// An attempt is given up.
    Cancel(handle::Attempt),
    /// It gets the fleet's own answer.
    Refuse(outcome::Refusal),
}

/// The configuration in force.
#[derive(Debug)]
struct Current {
    spec: Arc<service::Service>,
    servers: map::Map<handle::Server, Arc<server::Server>>,
    handles: map::Map<id::Server, handle::Server>,
}

struct State {
    policy: Box<dyn Policy>,
    waiting: map::Map<handle::Request, mpsc::UnboundedSender<Command>>,
    attempts: map::Map<handle::Attempt, handle::Request>,
    actions: Vec<action::Action>,
    sharers: u32,
}

/// A service at run time.
pub struct Service {
    /// Its name.
    pub name: id::Service,
    common: Arc<common::Common>,
    current: ArcSwap<Current>,
    /// Handles of all servers that it ever had.
    handles: Mutex<map::Map<id::Server, handle::Server>>,
    /// Made at the first event, so that a service without traffic costs no policy.
    state: Mutex<Option<State>>,
    /// Told once the policy is made.
    activated: mpsc::UnboundedSender<Arc<Self>>,
    removed: AtomicBool,
    /// Whether it gets ticks.
    ticking: AtomicBool,
}

impl Service {
    /// A service as first configured; it sends itself to `activated` once its policy is made.
    pub fn new(
        common: Arc<common::Common>,
        spec: &Arc<service::Service>,
        activated: mpsc::UnboundedSender<Arc<Self>>,
    ) -> Self {
        let current = Current {
            spec: spec.clone(),
            servers: map::Map::default(),
            handles: map::Map::default(),
        };
        let service = Self {
            name: spec.name.clone(),
            common,
            current: ArcSwap::from_pointee(current),
            handles: Mutex::default(),
            state: Mutex::default(),
            activated,
            removed: AtomicBool::new(false),
            ticking: AtomicBool::new(false),
        };
        service.take_spec(spec);
        service
    }

    /// Takes a new configuration and tells the policy.
    pub fn configure(self: &Arc<Self>, spec: &Arc<service::Service>) {
        self.removed.store(false, Ordering::Relaxed);
        self.take_spec(spec);
        self.send_inventory();
    }

    /// The configuration holds the service no more: its servers take no new work.
    pub fn remove(self: &Arc<Self>) {
        self.removed.store(true, Ordering::Relaxed);
        self.send_inventory();
    }

    fn take_spec(&self, spec: &Arc<service::Service>) {
        let old = self.current.load();
        let mut next = Current {
            spec: spec.clone(),
            servers: map::Map::default(),
            handles: map::Map::default(),
        };
        let mut known = lock(&self.handles);
        for spec in &spec.servers {
            let fresh = handle::Server(u32::try_from(known.len()).unwrap_or(u32::MAX));
            let handle = *known.entry(spec.name.clone()).or_insert(fresh);
            let old = old.servers.get(&handle).filter(|old| old.spec == *spec);
            let server = old.cloned().unwrap_or_else(|| {
                Arc::new(server::Server {
                    handle,
                    spec: spec.clone(),
                    pool: pool::Pool::new(self.common.pool),
                })
            });
            next.servers.insert(handle, server);
            next.handles.insert(spec.name.clone(), handle);
        }
        self.current.store(Arc::new(next));
    }

    fn inventory(&self) -> inventory::Inventory {
        let current = self.current.load();
        let spec = &current.spec;
        let server = |s: &Arc<server::Server>| inventory::Server {
            handle: s.handle,
            name: s.spec.name.clone(),
            slots: s.spec.slots,
            local: s.spec.data_centre == self.common.data_centre,
            leaving: s.spec.leaving,
            remaining_warm_up: s.spec.cold.0,
            started_millis: s.spec.started_millis,
        };
        let mut servers: Vec<_> = current.servers.values().map(server).collect();
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
            daemons: self.common.fleet.daemon_count(&self.name).max(1),
            latency_objective: spec.objective.latency.0,
        }
    }

    fn send_inventory(self: &Arc<Self>) {
        if self.is_active() {
            self.handle(event::Event::Inventory(self.inventory()));
        }
    }

    /// Whether the policy was made.
    pub fn is_active(&self) -> bool {
        lock(&self.state).is_some()
    }

    /// Sends the inventory again where the number of sharing daemons changed.
    pub fn sharers_changed(self: &Arc<Self>) {
        let sharers = self.common.fleet.daemon_count(&self.name).max(1);
        let stale = lock(&self.state)
            .as_ref()
            .is_some_and(|state| state.sharers != sharers);
        if stale {
            self.send_inventory();
        }
    }

    /// The handle of a server by name.
    pub fn server(&self, name: &id::Server) -> Option<handle::Server> {
        self.current.load().handles.get(name).copied()
    }

    /// The name of a server by handle.
    pub fn server_name(&self, handle: handle::Server) -> Option<id::Server> {
        let current = self.current.load();
        current.servers.get(&handle).map(|s| s.spec.name.clone())
    }

    /// This daemon's evidence, by server name.
    pub fn digests(&self) -> Vec<(id::Server, event::Digest)> {
        let mut state = lock(&self.state);
        let Some(state) = &mut *state else {
            return Vec::new();
        };
        let digests = state.policy.digest(self.common.clock.now());
        let named = |(server, digest)| Some((self.server_name(server)?, digest));
        digests.into_iter().filter_map(named).collect()
    }

    /// What the policy holds of each server, by name.
    pub fn view(self: &Arc<Self>) -> Vec<(id::Server, View)> {
        let mut state = lock(&self.state);
        let state = self.state(&mut state);
        let views = state.policy.view(self.common.clock.now());
        let named = |view: View| Some((self.server_name(view.server)?, view));
        views.into_iter().filter_map(named).collect()
    }

    fn state<'a>(self: &Arc<Self>, slot: &'a mut Option<State>) -> &'a mut State {
        slot.get_or_insert_with(|| {
            let mut policy = self.common.policies.policy(&self.name);
            let inventory = self.inventory();
            let sharers = inventory.daemons;
            let mut actions = Vec::new();
            let event = event::Event::Inventory(inventory);
            policy.handle(self.common.clock.now(), event, &mut actions);
            State {
                policy,
                waiting: map::Map::default(),
                attempts: map::Map::default(),
                actions,
                sharers,
            }
        })
    }

    /// Hands a request to the policy.
    pub fn arrive(self: &Arc<Self>, arrival: event::Arrival) -> waiting::Waiting {
        let (sender, commands) = mpsc::unbounded_channel();
        {
            let mut state = lock(&self.state);
            let state = self.state(&mut state);
            state.waiting.insert(arrival.request, sender);
        }
        let waiting = waiting::Waiting::new(self.clone(), arrival.request, commands);
        self.handle(event::Event::Arrive(arrival));
        waiting
    }

    /// Tells the policy what happened and does what it answers.
    pub fn handle(self: &Arc<Self>, event: event::Event) {
        let mut effects = Vec::new();
        {
            let mut state = lock(&self.state);
            let state = self.state(&mut state);
            if let event::Event::Inventory(inventory) = &event {
                state.sharers = inventory.daemons;
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
                    self.dispatch(state, action, &mut events, &mut effects);
                }
                state.actions = actions;
            }
            if !state.policy.is_idle() && !self.ticking.swap(true, Ordering::AcqRel) {
                // Without a receiver the engine is gone, and with it the ticks.
                let _ = self.activated.send(self.clone());
            }
        }
        for effect in effects {
            self.perform(effect);
        }
    }

    /// Hands an action to its request, or puts it with the effects.
    fn dispatch(
        &self,
        state: &mut State,
        action: action::Action,
        events: &mut VecDeque<event::Event>,
        effects: &mut Vec<action::Action>,
    ) {
        match action {
            action::Action::Send {
                request,
                attempt,
                server,
                fresh_connection: fresh,
                grounds,
            } => {
                let server = self.current.load().servers.get(&server).cloned();
                let waiting = state.waiting.get(&request);
                let sent = waiting.zip(server).is_some_and(|(waiting, server)| {
                    let command = Command::Send {
                        attempt,
                        server,
                        fresh,
                        grounds,
                    };
                    waiting.send(command).is_ok()
                });
                if sent {
                    state.attempts.insert(attempt, request);
                } else {
                    events.push_back(event::Event::Finish {
                        attempt,
                        outcome: outcome::Outcome::Cancelled,
                        replayable: waiting_is_whole(state, request),
                        retry_after: None,
                    });
                }
            }
            action::Action::Refuse { request, refusal } => {
                if let Some(waiting) = state.waiting.get(&request) {
                    // A closed channel means that the caller is gone.
                    let _ = waiting.send(Command::Refuse(refusal));
                }
            }
            action::Action::Cancel(attempt) => {
                let request = state.attempts.get(&attempt);
                if let Some(waiting) = request.and_then(|r| state.waiting.get(r)) {
                    let _ = waiting.send(Command::Cancel(attempt));
                }
            }
            effect => effects.push(effect),
        }
    }

    fn perform(self: &Arc<Self>, effect: action::Action) {
        let common = &self.common;
        let decide = |kind, server, evidence| {
            common
                .decisions
                .push(kind, &self.name, server, None, evidence);
        };
        match effect {
            action::Action::Eject { server, evidence } => {
                if let Some(name) = self.server_name(server) {
                    log::info!(service:% = self.name, server:% = name, evidence; "health: asking to eject server");
                    decide(decision::Kind::Eject, Some(name.clone()), evidence.clone());
                    common.fleet.eject(&self.name, &name, evidence);
                }
            }
            action::Action::Restore(server) => {
                if let Some(name) = self.server_name(server) {
                    log::info!(service:% = self.name, server:% = name; "health: asking to restore server");
                    decide(decision::Kind::Restore, Some(name.clone()), String::new());
                    common.fleet.restore(&self.name, &name);
                }
            }
            action::Action::ReportCrash {
                fingerprint,
                server,
            } => {
                let current = self.current.load();
                if let Some(server) = current.servers.get(&server) {
                    common
                        .fleet
                        .report_crash(&self.name, fingerprint, &server.spec.name);
                }
            }
            action::Action::Quarantine {
                fingerprint,
                duration: span,
            } => {
                log::warn!(service:% = self.name, fingerprint = fingerprint.0; "poison: quarantining request");
                let evidence = format!("request {:016x} for {span:?}", fingerprint.0);
                decide(decision::Kind::Quarantine, None, evidence);
                common.fleet.quarantine(&self.name, fingerprint, span);
            }
            action::Action::CloseConnections {
                server,
                opened_before,
            } => {
                let current = self.current.load();
                if let Some(server) = current.servers.get(&server) {
                    server.pool.condemn(opened_before);
                    let evidence = format!("opened before {opened_before}");
                    let name = Some(server.spec.name.clone());
                    decide(decision::Kind::Condemn, name, evidence);
                }
            }
            action::Action::ReportState {
                server,
                change: turn,
                evidence,
            } => {
                if let Some(name) = self.server_name(server) {
                    log::info!(service:% = self.name, server:% = name, turn:%, evidence; "health: server is held for something else");
                }
            }
            action::Action::Probe(server) => self.probe(server),
            _ => {}
        }
    }

    fn probe(self: &Arc<Self>, handle: handle::Server) {
        let current = self.current.load_full();
        let Some(server) = current.servers.get(&handle).cloned() else {
            return;
        };
        let service = self.clone();
        tokio::spawn(async move {
            let path = current.spec.health_path.as_deref();
            let well = match path {
                Some(path) => crate::probe::run(&service, &service.common, &server, path).await,
                None => crate::probe::connect(&service.common, &server).await,
            };
            service.handle(event::Event::Probe {
                server: handle,
                healthy: well,
            });
        });
    }

    /// A server said that it is leaving.
    pub fn said_leaving(self: &Arc<Self>, server: &server::Server) {
        let name = &server.spec.name;
        log::info!(service:% = self.name, server:% = name; "health: server says that it is leaving");
        self.common.decisions.push(
            decision::Kind::Leaving,
            &self.name,
            Some(name.clone()),
            None,
            "the server said so".to_owned(),
        );
        self.handle(event::Event::Leaving(server.handle));
        self.common.fleet.report_leaving(&self.name, name);
    }

    /// There is evidence or load that other daemons have not heard of.
    pub fn stir(&self) {
        self.common.fleet.wake_gossip();
    }

    /// Counts an attempt that ended.
    pub fn attempt_ended(&self, end: outcome::Outcome) {
        self.common.attempt_ended(&self.name, end);
    }

    /// Tells the policy that time passed, and closes connections that waited too long; whether
    /// further ticks are wanted.
    pub fn tick(self: &Arc<Self>, reap: bool) -> bool {
        self.handle(event::Event::Tick);
        if reap {
            let now = self.common.clock.now();
            for server in self.current.load().servers.values() {
                server.pool.reap(now);
            }
        }
        let state = lock(&self.state);
        let idle = state.as_ref().is_some_and(|state| state.policy.is_idle());
        self.ticking.store(!idle, Ordering::Release);
        !idle
    }
}

/// Whether a request is still there to be sent elsewhere.
fn waiting_is_whole(state: &State, request: handle::Request) -> bool {
    state.waiting.contains_key(&request)
}
