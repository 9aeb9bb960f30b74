//! A whole fleet inside one process: an in-memory platform, backend servers and daemons.
//!
//! The quickstart and the experiments run on it; each daemon has listeners of its own on loopback,
//! and all traffic passes through sockets.

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

/// Bearer key of the fleet's first organisation.
pub const KEY: &str = "key-of-herald";

/// Bearer key of the fleet's second organisation, of the same weight.
pub const OTHER_KEY: &str = "key-of-tribune";

/// Lifetime of the daemons' entry answers.
const ENTRY_LIFETIME: Duration = Duration::from_secs(2);

/// Longest wait for the daemons to know each other and the configuration.
const SETTLE: Duration = Duration::from_secs(30);

/// Pause between two looks at the daemons.
const PAUSE: Duration = Duration::from_millis(20);

/// Why a fleet does not start.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub enum Error {
    /// A listener of a backend server is not bound.
    #[display("backend server: {_0}")]
    Backend(std::io::Error),
    /// A daemon does not start.
    #[display("daemon: {_0}")]
    Daemon(error::Error),
    /// A name is not one.
    #[display("{_0}")]
    Name(monsooncart_types::id::Error),
    /// The daemons do not find each other.
    #[display("daemons do not know each other after {SETTLE:?}")]
    #[from(ignore)]
    Unsettled,
}

/// A running fleet.
pub struct Fleet {
    /// The platform.
    pub memory: Arc<memory::Memory>,
    /// What stands between the daemons and the platform.
    pub outage: Arc<outage::Outage>,
    /// The backend servers, in the order of the plan.
    pub backends: Vec<server::Server>,
    /// The daemons.
    pub daemons: Vec<engine::Engine>,
    /// The configuration.
    pub configuration: fleet::Fleet,
}

impl Fleet {
    /// Starts all parts and waits until every daemon knows the others and the configuration.
    ///
    /// # Errors
    ///
    /// Where a part does not start.
    pub async fn start(plan: plan::Plan) -> Result<Self, Error> {
        let memory = Arc::new(memory::Memory::default());
        let mut configuration = zones()?;
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
            fleet.add(&plan, number).await?;
        }
        fleet.settle().await?;
        Ok(fleet)
    }

    /// Starts one more daemon, named by its number, without waiting for it.
    ///
    /// # Errors
    ///
    /// Where it does not start.
    pub async fn add(&mut self, plan: &plan::Plan, number: usize) -> Result<(), Error> {
        self.start_daemon(plan, settings(plan, number)?).await
    }

    /// Starts one more daemon, which knows another by its settings and not only by the VM list.
    ///
    /// # Errors
    ///
    /// Where it does not start.
    pub async fn add_seeded(&mut self, plan: &plan::Plan, number: usize) -> Result<(), Error> {
        let mut settings = settings(plan, number)?;
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
        let centre = settings.data_centre.clone();
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
            data_centre: centre,
            state: vms::State::Live,
        });
        self.daemons.push(daemon);
        Ok(())
    }

    async fn settle(&self) -> Result<(), Error> {
        let start = Instant::now();
        let settled = |daemon: &engine::Engine| {
            let cluster = daemon.core().cluster();
            let known = cluster.map_or(0, |c| c.members().len());
            let serving = daemon.phase() == monsooncart_daemon::status::Phase::Serving;
            known == self.daemons.len() && serving
        };
        while !self.daemons.iter().all(settled) {
            if start.elapsed() > SETTLE {
                return Err(Error::Unsettled);
            }
            tokio::time::sleep(PAUSE).await;
        }
        Ok(())
    }

    /// Where the daemons serve callers.
    #[must_use]
    pub fn callers(&self) -> Vec<net::SocketAddr> {
        self.daemons
            .iter()
            .map(engine::Engine::caller_address)
            .collect()
    }
}

/// Data centres of the fleet's region.
const DATA_CENTRES: [&str; 3] = ["attica-a", "attica-b", "attica-c"];

const REGION: &str = "attica";

fn zones() -> Result<fleet::Fleet, Error> {
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

fn settings(plan: &plan::Plan, number: usize) -> Result<settings::Settings, Error> {
    let any = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
    Ok(settings::Settings {
        name: format!("entry-{number:03}").parse()?,
        data_centre: DATA_CENTRES[number % DATA_CENTRES.len()].parse()?,
        region: REGION.parse()?,
        callers: any,
        admin: any,
        peers: any,
        advertise_peers: None,
        platform: settings::Platform::Remote(any),
        seeds: Vec::new(),
        keys: None,
        secret: None,
        limits: settings::Limits::default(),
        entry_lifetime: span::Span(ENTRY_LIFETIME),
        entry_count: plan.entry_count,
        gateway: None,
    })
}
