//! Brings troubles about, and ends them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::seq::IndexedRandom as _;
use rand::{RngExt as _, SeedableRng as _};
use rustix::process::Signal;
use tokio::task::JoinSet;

use super::{daemon, fleet, ledger, plan};
use crate::fault::rule::{self, Direction, Fault, Rule};
use crate::{registry, site, worker};

/// Time for which a server that leaves goes on serving.
const SERVES_ON: Duration = Duration::from_secs(4);

/// Time after which a leaving server gets no more work.
const DRAINED: Duration = Duration::from_secs(2);

/// Servers below which none leaves.
const SERVERS_MIN: usize = 4;

/// Longest time that a slow server takes, in milliseconds.
const SLOW_MILLIS: u64 = 1500;

/// Sick modes of a server.
const SICK: [worker::Mode; 7] = [
    worker::Mode::Errors,
    worker::Mode::Reset,
    worker::Mode::Sheds,
    worker::Mode::Foreign,
    worker::Mode::Cut,
    worker::Mode::Unframed,
    worker::Mode::Extra,
];

/// Plays a stage: troubles begin in series and may overlap; all have ended when it ends.
pub async fn play(
    fleet: &Arc<fleet::Fleet>,
    stage: plan::Stage,
    length: Duration,
    rng: &mut StdRng,
) {
    println!("soak: stage {stage}");
    if stage == plan::Stage::Planned {
        tokio::time::sleep(ledger::STABILITY).await;
    }
    let end = tokio::time::Instant::now() + length;
    let mut troubles = JoinSet::new();
    while tokio::time::Instant::now() < end {
        tokio::time::sleep(plan::gap(rng)).await;
        let kind = plan::Kind::draw(stage, rng);
        let trouble = Trouble {
            fleet: fleet.clone(),
            kind,
            span: plan::span(rng),
            rng: StdRng::seed_from_u64(rng.random()),
        };
        troubles.spawn(trouble.run());
    }
    while troubles.join_next().await.is_some() {}
}

/// One trouble.
struct Trouble {
    fleet: Arc<fleet::Fleet>,
    kind: plan::Kind,
    span: Duration,
    rng: StdRng,
}

impl Trouble {
    async fn run(mut self) {
        self.fleet.ledger.begins(self.kind);
        self.play().await;
        self.fleet.ledger.ends(self.kind);
    }

    async fn play(&mut self) {
        match self.kind {
            plan::Kind::ServerSick
            | plan::Kind::ServerSlow
            | plan::Kind::ServerSilent
            | plan::Kind::ServerReset
            | plan::Kind::ServerCut
            | plan::Kind::ServerDelay
            | plan::Kind::ServerReplaced => self.server().await,
            plan::Kind::StoreBusy => self.store(registry::Fault::Busy).await,
            plan::Kind::StoreSilent => self.store(registry::Fault::Silent).await,
            plan::Kind::StoreForgets => self.fleet.registry.compact(),
            plan::Kind::StoreCut | plan::Kind::PeersCut | plan::Kind::PeersLossy => {
                self.ways().await;
            }
            plan::Kind::Pause => {
                let span = self.span;
                let daemon = self.daemon();
                daemon.signal(Signal::STOP).await;
                tokio::time::sleep(span).await;
                daemon.signal(Signal::CONT).await;
            }
            plan::Kind::Kill => self.kill(0.0).await,
            plan::Kind::HerdKill => self.kill(0.5).await,
            plan::Kind::Stop => self.stop().await,
            plan::Kind::Reload => self.daemon().signal(Signal::HUP).await,
            plan::Kind::Change => self.fleet.operator.change(),
            plan::Kind::Leave => self.leave().await,
        }
    }

    fn daemon(&mut self) -> &daemon::Daemon {
        let place = self.rng.random_range(0..self.fleet.daemons.len());
        &self.fleet.daemons[place]
    }

    async fn server(&mut self) {
        let servers = self.fleet.servers();
        let Some(server) = servers.choose(&mut self.rng).cloned() else {
            return;
        };
        match self.kind {
            plan::Kind::ServerSick => {
                let mode = SICK.choose(&mut self.rng).copied().unwrap_or_default();
                server.worker.set(mode);
                tokio::time::sleep(self.span).await;
                server.worker.set(worker::Mode::Well);
            }
            plan::Kind::ServerSlow => {
                let millis = self.rng.random_range(200..SLOW_MILLIS);
                server.worker.delay(Duration::from_millis(millis));
                tokio::time::sleep(self.span).await;
                server.worker.delay(Duration::ZERO);
            }
            plan::Kind::ServerSilent => server.link.end(rule::End::Silence),
            plan::Kind::ServerReset => server.link.end(rule::End::Reset),
            plan::Kind::ServerReplaced if servers.len() > SERVERS_MIN => {
                self.fleet.remove(&server);
                self.fleet.reuse(&server);
                self.join().await;
            }
            plan::Kind::ServerCut => {
                let direction = self.direction();
                let cut = vec![Rule::one_way(direction, Fault::Cut)];
                self.ruled(&server.link, cut).await;
            }
            _ => {
                let millis = self.rng.random_range(20..400);
                let delay = vec![Rule::always(Fault::Delay { millis })];
                self.ruled(&server.link, delay).await;
            }
        }
    }

    fn direction(&mut self) -> Direction {
        match self.rng.random() {
            true => Direction::ToTarget,
            false => Direction::FromTarget,
        }
    }

    async fn ruled(&self, link: &crate::fault::link::Link, rules: Vec<Rule>) {
        link.set_rules(rules);
        tokio::time::sleep(self.span).await;
        link.set_rules(Vec::new());
    }

    async fn store(&self, fault: registry::Fault) {
        self.fleet.registry.set(fault);
        tokio::time::sleep(self.span).await;
        self.fleet.registry.set(registry::Fault::None);
    }

    /// Faults of a daemon's ways to the store and from its peers.
    async fn ways(&mut self) {
        let direction = self.direction();
        let share = self.rng.random_range(0.1..0.7);
        let kind = self.kind;
        let daemon = self.daemon();
        let (link, rule) = match kind {
            plan::Kind::StoreCut => (daemon.store.clone(), Rule::always(Fault::Cut)),
            plan::Kind::PeersCut => {
                let cut = Rule::one_way(direction, Fault::Cut);
                (daemon.peers.clone(), cut)
            }
            _ => (daemon.peers.clone(), Rule::always(Fault::Drop { share })),
        };
        self.ruled(&link, vec![rule]).await;
    }

    async fn kill(&mut self, share: f64) {
        let mut killed = plan::some(self.fleet.daemons.len(), share, &mut self.rng);
        // One order of turns for all, so that none waits for another's in a circle.
        killed.sort_unstable();
        let mut turns = Vec::new();
        for place in &killed {
            turns.push(self.fleet.daemons[*place].turn.lock().await);
        }
        for place in &killed {
            self.fleet.daemons[*place].kill().await;
        }
        tokio::time::sleep(self.span / 4).await;
        for place in killed {
            self.start(place).await;
        }
    }

    async fn start(&self, place: usize) {
        let daemon = &self.fleet.daemons[place];
        if let Err(error) = daemon.start().await {
            log::error!(daemon:% = daemon.ip, error:%; "soak: daemon not started");
        }
    }

    async fn stop(&mut self) {
        let place = self.rng.random_range(0..self.fleet.daemons.len());
        let daemon = &self.fleet.daemons[place];
        let _turn = daemon.turn.lock().await;
        let (run, from) = (daemon.run(), Instant::now());
        let ended = daemon.stop().await;
        let calm = self.fleet.ledger.is_calm_since(from);
        if !ended && calm {
            let detail = format!("daemon {} did not stop in its grace time", daemon.ip);
            self.fleet.ledger.broke(ledger::Promise::Graceful, detail);
        }
        self.fleet.ledger.stopped(ledger::Stop {
            daemon: (daemon.ip, run),
            from,
            to: Instant::now(),
            calm,
        });
        self.start(place).await;
    }

    /// A server leaves as planned and another comes.
    async fn leave(&mut self) {
        let servers = self.fleet.servers();
        if servers.len() <= SERVERS_MIN {
            return;
        }
        let Some(server) = servers.choose(&mut self.rng) else {
            return;
        };
        self.join().await;
        let said = Instant::now();
        self.fleet.enter(server, site::SERVICE, "draining");
        tokio::time::sleep(SERVES_ON).await;
        let late = server
            .worker
            .last()
            .map(|last| last.saturating_duration_since(said));
        let late = late.filter(|late| *late > DRAINED);
        if let Some(late) = late
            && self.fleet.ledger.is_calm_since(said)
            && self.fleet.is_timed()
        {
            let detail = format!("{} got work {late:?} after it left", server.worker.id());
            self.fleet.ledger.broke(ledger::Promise::Leaving, detail);
        }
        self.fleet.remove(server);
    }

    async fn join(&self) {
        if let Err(error) = self.fleet.join(site::SERVICE).await {
            log::error!(error:%; "soak: server not started");
        }
    }
}
