//! The disturbances of a stage: injects faults and clears them again, and performs planned
//! operations.

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

/// Time for which a draining server keeps serving.
const DRAIN_TIME: Duration = Duration::from_secs(4);

/// Time after which a draining server must receive no new work.
const DRAIN_GRACE: Duration = Duration::from_secs(2);

/// Time for which the store is away before it is restored.
const STORE_AWAY_TIME: Duration = Duration::from_millis(300);

/// Time until the operator and the servers write again what the backup lacks.
const REWRITE_DELAY: Duration = Duration::from_secs(1);

/// Bounds of the time for which a server that rejects requests asks to be sent nothing, in seconds.
const RETRY_AFTER_SECONDS: [f64; 2] = [0.1, 3.0];

/// Minimum number of registered servers; with no more, none is removed or replaced.
const MIN_SERVERS: usize = 4;

/// Maximum delay of a slow server, in milliseconds.
const MAX_SLOW_MILLIS: u64 = 1500;

/// Fault modes of a server.
const FAULT_MODES: [worker::Mode; 7] = [
    worker::Mode::Errors,
    worker::Mode::Reset,
    worker::Mode::Sheds,
    worker::Mode::Foreign,
    worker::Mode::Cut,
    worker::Mode::Unframed,
    worker::Mode::Extra,
];

/// Runs a stage: disturbances start one after another and may overlap; all have ended when this
/// returns.
pub async fn run_stage(
    fleet: &Arc<fleet::Fleet>,
    stage: plan::Stage,
    duration: Duration,
    rng: &mut StdRng,
) {
    println!("soak: stage {stage}");
    if stage == plan::Stage::Planned {
        tokio::time::sleep(ledger::STABILITY_TIME).await;
    }
    let end = tokio::time::Instant::now() + duration;
    let mut disturbances = JoinSet::new();
    while tokio::time::Instant::now() < end {
        tokio::time::sleep(plan::draw_interval(rng)).await;
        let kind = plan::Kind::draw(stage, rng);
        let disturbance = Disturbance {
            fleet: fleet.clone(),
            kind,
            duration: plan::draw_duration(rng),
            rng: StdRng::seed_from_u64(rng.random()),
        };
        disturbances.spawn(disturbance.run());
    }
    while disturbances.join_next().await.is_some() {}
}

/// A fault or a planned operation.
struct Disturbance {
    fleet: Arc<fleet::Fleet>,
    kind: plan::Kind,
    duration: Duration,
    rng: StdRng,
}

impl Disturbance {
    async fn run(mut self) {
        self.fleet.ledger.record_disturbance_start(self.kind);
        self.apply().await;
        self.fleet.ledger.record_disturbance_end(self.kind);
    }

    async fn apply(&mut self) {
        match self.kind {
            plan::Kind::ServerSick
            | plan::Kind::ServerSlow
            | plan::Kind::ServerSilent
            | plan::Kind::ServerReset
            | plan::Kind::ServerCut
            | plan::Kind::ServerDelay
            | plan::Kind::ServerReplaced => self.disturb_server().await,
            plan::Kind::StoreBusy => self.apply_store_fault(registry::Fault::Busy).await,
            plan::Kind::StoreSilent => self.apply_store_fault(registry::Fault::Silent).await,
            plan::Kind::StoreForgets => self.fleet.registry.compact(),
            plan::Kind::StoreRestored => self.restore_store().await,
            plan::Kind::StoreCut | plan::Kind::PeersCut | plan::Kind::PeersLossy => {
                self.disturb_daemon_links().await;
            }
            plan::Kind::PathsCut => self.partition_from_servers(Fault::Cut).await,
            plan::Kind::PathsReset => self.partition_from_servers(Fault::Refuse).await,
            plan::Kind::Pause => {
                let duration = self.duration;
                let daemon = self.choose_daemon();
                daemon.signal(Signal::STOP).await;
                tokio::time::sleep(duration).await;
                daemon.signal(Signal::CONT).await;
            }
            plan::Kind::Kill => self.kill_daemons(0.0).await,
            plan::Kind::HerdKill => self.kill_daemons(0.5).await,
            plan::Kind::Stop => self.stop_daemon().await,
            plan::Kind::Reload => self.choose_daemon().signal(Signal::HUP).await,
            plan::Kind::Change => self.fleet.operator.change_configuration(),
            plan::Kind::Leave => self.replace_server().await,
        }
    }

    fn choose_daemon(&mut self) -> &daemon::Daemon {
        let index = self.rng.random_range(0..self.fleet.daemons.len());
        &self.fleet.daemons[index]
    }

    async fn disturb_server(&mut self) {
        let servers = self.fleet.servers();
        let Some(server) = servers.choose(&mut self.rng).cloned() else {
            return;
        };
        match self.kind {
            plan::Kind::ServerSick => {
                let mode = FAULT_MODES
                    .choose(&mut self.rng)
                    .copied()
                    .unwrap_or_default();
                let [min, max] = RETRY_AFTER_SECONDS;
                let retry_after = self.rng.random_range(min..max);
                server.worker.set_retry_after(Some(retry_after));
                server.worker.set_mode(mode);
                tokio::time::sleep(self.duration).await;
                server.worker.set_mode(worker::Mode::Well);
            }
            plan::Kind::ServerSlow => {
                let millis = self.rng.random_range(200..MAX_SLOW_MILLIS);
                server.worker.set_delay(Duration::from_millis(millis));
                tokio::time::sleep(self.duration).await;
                server.worker.set_delay(Duration::ZERO);
            }
            plan::Kind::ServerSilent => server.link.end(rule::End::Silence),
            plan::Kind::ServerReset => server.link.end(rule::End::Reset),
            plan::Kind::ServerReplaced if servers.len() > MIN_SERVERS => {
                self.fleet.remove_server(&server);
                self.fleet.reuse_address(&server);
                self.add_server().await;
            }
            plan::Kind::ServerCut => {
                let direction = self.choose_direction();
                let cut = vec![Rule::one_way(direction, Fault::Cut)];
                self.apply_rules(&server.link, cut).await;
            }
            // `ServerDelay`, or `ServerReplaced` with too few servers.
            _ => {
                let millis = self.rng.random_range(20..400);
                let delay = vec![Rule::both_ways(Fault::Delay { millis })];
                self.apply_rules(&server.link, delay).await;
            }
        }
    }

    fn choose_direction(&mut self) -> Direction {
        match self.rng.random() {
            true => Direction::ToTarget,
            false => Direction::FromTarget,
        }
    }

    async fn apply_rules(&self, link: &crate::fault::link::Link, rules: Vec<Rule>) {
        link.set_rules(rules);
        tokio::time::sleep(self.duration).await;
        link.set_rules(Vec::new());
    }

    async fn apply_store_fault(&self, fault: registry::Fault) {
        self.fleet.registry.set_fault(fault);
        tokio::time::sleep(self.duration).await;
        self.fleet.registry.set_fault(registry::Fault::None);
    }

    /// Restores the store from a backup that is as old as the disturbance is long.
    async fn restore_store(&self) {
        let backup = self.fleet.registry.back_up();
        tokio::time::sleep(self.duration).await;
        self.fleet.registry.set_fault(registry::Fault::Silent);
        tokio::time::sleep(STORE_AWAY_TIME).await;
        self.fleet.registry.restore(&backup);
        self.fleet.registry.set_fault(registry::Fault::None);
        tokio::time::sleep(REWRITE_DELAY).await;
        self.fleet.write_again();
    }

    /// Injects a fault into a daemon's link to the store or from its peers.
    async fn disturb_daemon_links(&mut self) {
        let direction = self.choose_direction();
        let share = self.rng.random_range(0.1..0.7);
        let kind = self.kind;
        let daemon = self.choose_daemon();
        let (link, rule) = match kind {
            plan::Kind::StoreCut => (daemon.store_link.clone(), Rule::both_ways(Fault::Cut)),
            plan::Kind::PeersCut => {
                let cut = Rule::one_way(direction, Fault::Cut);
                (daemon.peer_link.clone(), cut)
            }
            _ => (
                daemon.peer_link.clone(),
                Rule::both_ways(Fault::Drop { share }),
            ),
        };
        self.apply_rules(&link, vec![rule]).await;
    }

    /// Applies a fault to the traffic between some daemons and all servers.
    async fn partition_from_servers(&mut self, fault: Fault) {
        let share = self.rng.random_range(0.1..0.9);
        let indices = plan::sample_indices(self.fleet.daemons.len(), share, &mut self.rng);
        let sources = indices.iter().map(|index| self.fleet.daemons[*index].ip);
        let rules: Vec<_> = sources
            .map(|source| Rule::both_ways(fault).for_source(source))
            .collect();
        let links: Vec<_> = self.fleet.servers().into_iter().map(|s| s.link).collect();
        for link in &links {
            link.set_rules(rules.clone());
        }
        tokio::time::sleep(self.duration).await;
        for link in &links {
            link.set_rules(Vec::new());
        }
    }

    async fn kill_daemons(&mut self, share: f64) {
        let mut killed = plan::sample_indices(self.fleet.daemons.len(), share, &mut self.rng);
        // All tasks lock in the same order, so that they cannot deadlock.
        killed.sort_unstable();
        let mut restart_locks = Vec::new();
        for index in &killed {
            restart_locks.push(self.fleet.daemons[*index].restart_lock.lock().await);
        }
        for index in &killed {
            self.fleet.daemons[*index].kill().await;
        }
        tokio::time::sleep(self.duration / 4).await;
        for index in killed {
            self.start_daemon(index).await;
        }
    }

    async fn start_daemon(&self, index: usize) {
        let daemon = &self.fleet.daemons[index];
        if let Err(error) = daemon.start().await {
            log::error!(daemon:% = daemon.ip, error:%; "soak: could not start daemon");
        }
    }

    async fn stop_daemon(&mut self) {
        let index = self.rng.random_range(0..self.fleet.daemons.len());
        let daemon = &self.fleet.daemons[index];
        let _restart_lock = daemon.restart_lock.lock().await;
        let (run_number, started_at) = (daemon.run_number(), Instant::now());
        let exited = daemon.stop().await;
        let undisturbed = self.fleet.ledger.is_undisturbed_since(started_at);
        if !exited && undisturbed {
            let detail = format!("daemon {} did not stop within its grace time", daemon.ip);
            self.fleet
                .ledger
                .record_violation(ledger::Guarantee::Graceful, detail);
        }
        self.fleet.ledger.record_stop(ledger::Stop {
            daemon: (daemon.ip, run_number),
            started_at,
            completed_at: Instant::now(),
            undisturbed,
        });
        self.start_daemon(index).await;
    }

    /// Drains and removes a server, and adds another one.
    async fn replace_server(&mut self) {
        let servers = self.fleet.servers();
        if servers.len() <= MIN_SERVERS {
            return;
        }
        let Some(server) = servers.choose(&mut self.rng) else {
            return;
        };
        self.add_server().await;
        let drain_started_at = Instant::now();
        self.fleet.register(server, site::SERVICE, "draining");
        server.worker.announce_leaving();
        tokio::time::sleep(DRAIN_TIME).await;
        let since_drain = server
            .worker
            .last_execution_started_at()
            .map(|started_at| started_at.saturating_duration_since(drain_started_at));
        let late_start = since_drain.filter(|since_drain| *since_drain > DRAIN_GRACE);
        if let Some(since_drain) = late_start
            && self.fleet.ledger.is_undisturbed_since(drain_started_at)
            && self.fleet.checks_time_limits()
        {
            let detail = format!(
                "server {} received work {since_drain:?} after it started draining",
                server.worker.id()
            );
            self.fleet
                .ledger
                .record_violation(ledger::Guarantee::Leaving, detail);
        }
        self.fleet.remove_server(server);
    }

    async fn add_server(&self) {
        if let Err(error) = self.fleet.add_server(site::SERVICE).await {
            log::error!(error:%; "soak: could not start server");
        }
    }
}
