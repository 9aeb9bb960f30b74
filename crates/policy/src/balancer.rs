//! The decisions about one service's requests and servers.
//!
//! [`Balancer`] puts the parts together: [`slots`] choose servers,
//! [`queue`] holds what waits, [`crate::health`] finds sick servers,
//! [`crate::connections`] finds dead connections, [`retry`] bounds
//! added work and [`poison`] stops requests that break servers.
//!
//! Invariants: every request that arrives gets exactly one end, an answered attempt, a refusal or
//! the caller's own departure; no attempt follows a refusal; unrepeatable work has at most one
//! attempt whose end is unknown; a server never has more of this daemon's attempts in flight than
//! it has slots.

mod backend;
mod config;
mod dispatch;
mod evidence;
mod finish;
mod flight;
mod pending;
mod upkeep;

use std::time::Duration;

use monsooncart_types::{map, time};
use rand::rngs::SmallRng;

use crate::health::{baseline, limits, peers, state, tally};
use crate::{action, event, handle, inventory, poison, queue, retry, service, slots};

pub use config::Config;

/// Decides about one service.
pub struct Balancer {
    config: Config,
    rng: SmallRng,
    backends: Vec<backend::Backend>,
    places: map::Map<handle::Server, usize>,
    requests: map::Map<handle::Request, pending::Pending>,
    flights: map::Map<handle::Attempt, flight::Flight>,
    attempts: u64,
    queue: queue::Queue,
    budget: retry::Budget,
    poison: poison::Detector,
    peers: peers::Peers,
    baseline: baseline::Baseline,
    tally: tally::Tally,
    limits: limits::Limits,
    /// Time to the head of an answer that the service promises.
    promise: Duration,
    daemons: u32,
    /// When the queue moved last.
    moved: time::Time,
    /// Running mean of the time that an attempt holds a slot.
    hold: Option<Duration>,
    /// Running mean of the time to the head of an answer.
    head: Option<Duration>,
    /// Whether some server may need errands or upkeep.
    uneasy: bool,
    /// Latest share of bad observations of the middle server.
    recent_share: f64,
    compared: time::Time,
    rotated: time::Time,
    decayed: time::Time,
    configured: bool,
}

impl service::Policy for Balancer {
    fn handle(&mut self, now: time::Time, event: event::Event, actions: &mut Vec<action::Action>) {
        match event {
            event::Event::Inventory(inventory) => self.inventory(now, inventory, actions),
            event::Event::Arrive(arrival) => self.arrive(now, arrival, actions),
            event::Event::CancelRequest(request) => self.withdraw(request, actions),
            event::Event::ResponseHead { attempt, status } => {
                self.head(now, attempt, status, actions);
            }
            event::Event::Finish {
                attempt,
                outcome: end,
                replayable,
                retry_after,
            } => {
                let report = finish::Report {
                    end,
                    replayable,
                    retry_after,
                };
                self.finish(now, attempt, report, actions);
            }
            event::Event::Probe {
                server,
                healthy: well,
            } => self.probed(now, server, well, actions),
            event::Event::Ejection { server, ejection } => {
                self.ejection(now, server, ejection, actions);
            }
            event::Event::Leaving(server) => self.leaving(now, server, actions),
            event::Event::Evidence { from, digests } => self.hear(now, from, digests),
            event::Event::CrashReport {
                fingerprint,
                server,
            } => self.blame(now, fingerprint, server, actions),
            event::Event::Quarantine {
                fingerprint,
                expires_at: until,
            } => {
                self.poison.quarantine(fingerprint, until);
            }
            event::Event::Tick => self.tick(now, actions),
        }
    }

    fn digest(&mut self, now: time::Time) -> Vec<(handle::Server, event::Digest)> {
        let digest = |b: &backend::Backend| b.digest(now, &self.limits);
        let digests = self.backends.iter().map(|b| (b.spec.handle, digest(b)));
        digests.filter(|(_, d)| !backend::silent(d)).collect()
    }

    fn view(&self, now: time::Time) -> Vec<service::View> {
        let view = |b: &backend::Backend| b.view(now, &self.limits);
        self.backends.iter().map(view).collect()
    }
}

impl Balancer {
    fn place(&self, server: handle::Server) -> Option<usize> {
        self.places.get(&server).copied()
    }

    /// Takes a configuration; what is known of a server stays with its handle.
    fn inventory(
        &mut self,
        now: time::Time,
        inventory: inventory::Inventory,
        actions: &mut Vec<action::Action>,
    ) {
        self.limits = inventory.sensitivity.into();
        self.promise = inventory.latency_objective;
        self.daemons = inventory.daemons;
        let mut known: map::Map<_, _> = std::mem::take(&mut self.backends)
            .into_iter()
            .map(|b| (b.spec.handle, b))
            .collect();
        for spec in inventory.servers {
            let backend = match known.remove(&spec.handle) {
                Some(mut backend) => {
                    backend.respecify(spec);
                    backend
                }
                None => backend::Backend::new(spec, self.configured.then_some(now)),
            };
            self.backends.push(backend);
        }
        self.configured = true;
        self.uneasy = true;
        let places = self.backends.iter().enumerate();
        self.places = places.map(|(i, b)| (b.spec.handle, i)).collect();
        self.divide();
        self.sweep(now, actions);
        self.pump(now, actions);
    }

    /// Divides the slots over the daemons that are heard.
    fn divide(&mut self) {
        if self.config.strategy != slots::Strategy::DividedSlots {
            return;
        }
        let peers = self.peers.instances();
        let heard = peers.len() as u32 + 1;
        let unheard = self.daemons.saturating_sub(heard);
        for backend in &mut self.backends {
            backend.load.owned = slots::division::owned(
                self.config.instance,
                &peers,
                unheard,
                &backend.spec.name,
                backend.spec.slots,
            );
        }
    }

    /// Takes news that a server is leaving; nothing takes it back.
    fn leaving(
        &mut self,
        now: time::Time,
        server: handle::Server,
        actions: &mut Vec<action::Action>,
    ) {
        if let Some(at) = self.place(server) {
            self.backends[at].left = true;
            self.sweep(now, actions);
            self.pump(now, actions);
        }
    }

    fn ejection(
        &mut self,
        now: time::Time,
        server: handle::Server,
        ejection: event::Ejection,
        actions: &mut Vec<action::Action>,
    ) {
        let Some(at) = self.place(server) else {
            return;
        };
        self.uneasy = true;
        let jitter = self.jitter();
        let backend = &mut self.backends[at];
        match ejection {
            event::Ejection::Granted => {
                backend.monitor.eject(now, jitter);
                backend.probes = 0;
            }
            event::Ejection::Denied => {
                if backend.monitor.state() == state::State::Suspect {
                    backend.monitor.record_denial(now);
                }
            }
            event::Ejection::Restored => {
                backend.monitor.restore(now);
                backend.load.ramp = Some(now);
                backend.suspicion = 0.0;
            }
        }
        self.sweep(now, actions);
        self.pump(now, actions);
    }
}
