//! A complete fleet in one process: an in-memory platform, backend servers and daemons.
//!
//! The quickstart and the experiments use it. Each daemon binds its own listeners on loopback, and
//! all traffic passes through sockets.

pub mod outage;
pub mod plan;

use std::net;
use std::sync::Arc;
use std::time::{Duration, Instant};

use monsooncart_config::{fleet, organisation, settings, zone};
use monsooncart_daemon::{config, embedded, engine, error, policies};
use monsooncart_store::{memory, vms};
use monsooncart_types::span;
use tokio::net::TcpListener;

use crate::backend::server;

/// Bearer key of the first organisation of the fleet.
pub const KEY: &str = "key-of-herald";

/// Bearer key of the second organisation of the fleet, which has the same weight.
pub const OTHER_KEY: &str = "key-of-tribune";

/// Time for which callers may cache the entries that the daemons return.
const ENTRY_LIFETIME: Duration = Duration::from_secs(2);

/// Timeout of the start: by then all daemons must know each other and serve.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which the state of the daemons is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Why a fleet could not start.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub enum Error {
    /// A listener of a backend server cannot be bound.
    #[display("backend server: {_0}")]
    Backend(std::io::Error),
    /// A daemon failed to start.
    #[display("daemon: {_0}")]
    Daemon(error::Error),
    /// A name is invalid.
    #[display("{_0}")]
    Name(monsooncart_types::id::Error),
    /// The daemons did not know each other and serve in time.
    #[display("daemons do not know each other and serve after {START_TIMEOUT:?}")]
    #[from(ignore)]
    NotServing,
}

/// A running fleet.
pub struct Fleet {
    /// Store and VM list of the platform.
    pub memory: Arc<memory::Memory>,
    /// Platform as the daemons reach it, which can simulate an outage.
    pub outage: Arc<outage::Outage>,
    /// Backend servers, in the order of the plan's services.
    pub backends: Vec<server::Server>,
    /// Running daemons.
    pub daemons: Vec<engine::Engine>,
    /// Configuration at the start.
    pub configuration: fleet::Fleet,
}

impl Fleet {
    /// Starts all parts and waits until every daemon knows the others and serves.
    ///
    /// # Errors
    ///
    /// Fails if a part does not start, or the daemons do not serve in time.
    pub async fn start(plan: plan::Plan) -> Result<Self, Error> {
        let memory = Arc::new(memory::Memory::default());
        let mut configuration = base_configuration()?;
        let mut backends = Vec::new();
        for service in &plan.services {
            let mut spec = service.specification()?;
            for number in 0..service.servers {
                let listener = TcpListener::bind("127.0.0.1:0").await?;
                let options = service.options(number);
                let backend = server::Server::start(listener, options)?;
                spec.servers.push(service.server(number, &backend)?);
                backends.push(backend);
            }
            configuration.services.push(spec);
        }
        embedded::store_fleet(&memory, &configuration).await?;
        let mut fleet = Self {
            outage: Arc::new(outage::Outage::new(memory.clone())),
            memory,
            backends,
            daemons: Vec::new(),
            configuration,
        };
        for number in 0..plan.daemons {
            fleet.add_daemon(&plan, number).await?;
        }
        fleet.wait_until_serving().await?;
        Ok(fleet)
    }

    /// Starts another daemon, named after `number`, without waiting until it serves.
    ///
    /// # Errors
    ///
    /// Fails if it does not start.
    pub async fn add_daemon(&mut self, plan: &plan::Plan, number: usize) -> Result<(), Error> {
        self.start_daemon(plan, daemon_settings(plan, number)?)
            .await
    }

    /// Starts another daemon whose settings contain the first daemon as a seed, so that it can join
    /// without the VM list.
    ///
    /// # Errors
    ///
    /// Fails if it does not start.
    pub async fn add_seeded_daemon(
        &mut self,
        plan: &plan::Plan,
        number: usize,
    ) -> Result<(), Error> {
        let mut settings = daemon_settings(plan, number)?;
        settings.seeds = self
            .daemons
            .first()
            .map(engine::Engine::peer_address)
            .into_iter()
            .collect();
        self.start_daemon(plan, settings).await
    }

    async fn start_daemon(
        &mut self,
        plan: &plan::Plan,
        settings: settings::Settings,
    ) -> Result<(), Error> {
        let name = settings.name.clone();
        let data_centre = settings.data_centre.clone();
        let mut config = config::Config::new(settings)
            .platform(self.outage.clone(), self.outage.clone())
            .timings(plan.timings);
        config = match plan.policy {
            plan::Policy::Naive => config.policies(Arc::new(policies::Naive)),
            plan::Policy::Balanced(strategy) => config.strategy(strategy),
        };
        let daemon = config.start().await?;
        self.memory.set_vm(vms::Vm {
            name,
            peers: daemon.peer_address(),
            data_centre,
            state: vms::State::Live,
        });
        self.daemons.push(daemon);
        Ok(())
    }

    async fn wait_until_serving(&self) -> Result<(), Error> {
        let started_at = Instant::now();
        let is_serving = |daemon: &engine::Engine| {
            let cluster = daemon.core().cluster();
            let members = cluster.map_or(0, |c| c.members().len());
            let serves = daemon.phase() == monsooncart_daemon::status::Phase::Serving;
            members == self.daemons.len() && serves
        };
        while !self.daemons.iter().all(is_serving) {
            if started_at.elapsed() > START_TIMEOUT {
                return Err(Error::NotServing);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Addresses of the daemons' listeners for callers.
    #[must_use]
    pub fn caller_addresses(&self) -> Vec<net::SocketAddr> {
        self.daemons
            .iter()
            .map(engine::Engine::caller_address)
            .collect()
    }
}

/// Data centres of the fleet's region, among which daemons and servers are spread.
const DATA_CENTRES: [&str; 3] = ["attica-a", "attica-b", "attica-c"];

const REGION: &str = "attica";

fn base_configuration() -> Result<fleet::Fleet, Error> {
    let mut zones = Vec::new();
    for name in DATA_CENTRES {
        zones.push(zone::Zone {
            data_centre: name.parse()?,
            region: REGION.parse()?,
        });
    }
    let mut organisations = Vec::new();
    for (name, key) in [("athens-herald", KEY), ("corfu-tribune", OTHER_KEY)] {
        organisations.push(organisation::Organisation {
            name: name.parse()?,
            keys: vec![organisation::Digest::of(key.as_bytes())],
            services: Vec::new(),
            weight: 1,
        });
    }
    Ok(fleet::Fleet {
        zones,
        services: Vec::new(),
        organisations,
    })
}

fn daemon_settings(plan: &plan::Plan, number: usize) -> Result<settings::Settings, Error> {
    let any_port = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
    Ok(settings::Settings {
        name: format!("entry-{number:03}").parse()?,
        data_centre: DATA_CENTRES[number % DATA_CENTRES.len()].parse()?,
        region: REGION.parse()?,
        callers: any_port,
        admin: any_port,
        peers: any_port,
        advertise_peers: None,
        platform: settings::Platform::Remote(any_port),
        seeds: Vec::new(),
        keys: None,
        secret: None,
        limits: settings::Limits::default(),
        entry_lifetime: span::Span(ENTRY_LIFETIME),
        entry_count: plan.entry_count,
        gateway: None,
    })
}
