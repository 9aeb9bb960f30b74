//! All parts of a soak: daemons, servers, the store, and what stands between them.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::net::TcpListener;

use super::{Error, Options, caller, daemon, ledger, operator};
use crate::fault::{link, proxy};
use crate::{registry, site, worker};

/// Objects on a page of the store.
const PAGE: usize = 5;

/// Host number of the store.
const STORE: u8 = 250;

/// Distance from a daemon's host number to that of its link for peers.
const PEERS: u8 = 60;

/// Host number of the first server.
const SERVERS: u8 = 130;

/// Time between two looks at a condition.
const LOOK: Duration = Duration::from_millis(50);

/// Answers in a row by which all are served again.
const SERVED: usize = 30;

/// A server behind its link.
#[derive(Clone)]
pub struct Server {
    /// What answers.
    pub worker: Arc<worker::Worker>,
    /// The way to it.
    pub link: Arc<link::Link>,
}

/// All parts.
pub struct Fleet {
    /// The daemons.
    pub daemons: Vec<daemon::Daemon>,
    /// The store.
    pub registry: Arc<registry::Registry>,
    /// What was seen.
    pub ledger: ledger::Ledger,
    /// What the operator wrote last.
    pub operator: operator::Operator,
    servers: Mutex<Vec<Server>>,
    /// Servers that have gone, whose work still counts.
    gone: Mutex<Vec<Arc<worker::Worker>>>,
    numbers: AtomicU64,
    timed: bool,
    network: [u8; 3],
    proxy: Arc<proxy::Proxy>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Fleet {
    /// Starts the store, the servers and the daemons.
    pub async fn start(options: &Options) -> Result<Arc<Self>, Error> {
        let process = std::process::id();
        let network = [127, 10 + (process % 40) as u8, (process / 40 % 250) as u8];
        let ip = |host: u8| IpAddr::V4(Ipv4Addr::new(network[0], network[1], network[2], host));
        let registry = registry::Registry::new(PAGE);
        let listener = TcpListener::bind((ip(STORE), 0)).await;
        let store = registry.serve(listener.map_err(Error::at("store"))?);
        let store = store.map_err(Error::at("store"))?;
        let proxy = proxy::Proxy::new(options.seed);
        let seeds: Vec<SocketAddr> = (1..=options.daemons.min(3))
            .map(|host| (ip(host + PEERS), site::PEERS).into())
            .collect();
        let mut daemons = Vec::new();
        for host in 1..=options.daemons {
            let name = format!("store-{host}");
            let way = proxy.add(&name, (ip(host), 0).into(), Some(store)).await;
            let way = way.map_err(Error::at("link to the store"))?;
            let own = (ip(host), site::PEERS).into();
            let name = format!("peers-{host}");
            let peers = (ip(host + PEERS), site::PEERS).into();
            let peers = proxy.add(&name, peers, Some(own)).await;
            let links = [way, peers.map_err(Error::at("link between daemons"))?];
            let (folder, program) = (&options.folder, &options.program);
            daemons.push(daemon::Daemon::new(
                ip(host),
                links,
                &seeds,
                folder,
                program,
            )?);
        }
        let fleet = Arc::new(Self {
            daemons,
            operator: operator::Operator::new(registry.clone()),
            registry,
            ledger: ledger::Ledger::default(),
            servers: Mutex::default(),
            gone: Mutex::default(),
            numbers: AtomicU64::new(0),
            timed: options.timed,
            network,
            proxy,
        });
        fleet.operator.change();
        for _ in 0..options.servers {
            fleet.join(site::SERVICE).await?;
        }
        for daemon in &fleet.daemons {
            daemon.start().await?;
        }
        Ok(fleet)
    }

    /// Whether promises that are bounds in time are judged.
    pub fn is_timed(&self) -> bool {
        self.timed
    }

    /// The servers that are there.
    pub fn servers(&self) -> Vec<Server> {
        lock(&self.servers).clone()
    }

    /// Every server that ever was.
    pub fn workers(&self) -> Vec<Arc<worker::Worker>> {
        let present = self.servers().into_iter().map(|s| s.worker);
        present.chain(lock(&self.gone).iter().cloned()).collect()
    }

    /// Adds a server, and writes its entry.
    pub async fn join(&self, service: &str) -> Result<(), Error> {
        let number = self.numbers.fetch_add(1, Ordering::SeqCst);
        let worker = worker::Worker::new(&format!("i-{number:04}"));
        let host = SERVERS + (number % 100) as u8;
        let [a, b, c] = self.network;
        let ip = IpAddr::V4(Ipv4Addr::new(a, b, c, host));
        let listener = TcpListener::bind((ip, 0)).await;
        let target = worker.serve(listener.map_err(Error::at("server"))?);
        let target = target.map_err(Error::at("server"))?;
        let name = format!("server-{number}");
        let link = self.proxy.add(&name, (ip, 0).into(), Some(target)).await;
        let link = link.map_err(Error::at("link to a server"))?;
        let server = Server { worker, link };
        self.enter(&server, service, "ready");
        lock(&self.servers).push(server);
        Ok(())
    }

    /// Writes the entry of a server.
    pub fn enter(&self, server: &Server, service: &str, state: &str) {
        let address = server.link.address();
        let entry = server.worker.entry(service, site::ZONE, address, state);
        self.registry.put("servers", server.worker.id(), &entry);
    }

    /// Has all servers run what they say they did not run.
    pub fn lie(&self) {
        for server in self.servers() {
            server.worker.set(worker::Mode::Lies);
        }
    }

    /// Takes a server away with its entry; its address still answers.
    pub fn remove(&self, server: &Server) {
        let mut servers = lock(&self.servers);
        let is_it = |s: &Server| s.worker.id() == server.worker.id();
        let Some(place) = servers.iter().position(is_it) else {
            return;
        };
        self.registry.delete("servers", server.worker.id());
        lock(&self.gone).push(servers.remove(place).worker);
    }

    /// Gives the address of a server that is gone to another service.
    pub fn reuse(&self, server: &Server) {
        let number = self.numbers.fetch_add(1, Ordering::SeqCst);
        let heir = worker::Worker::new(&format!("i-{number:04}"));
        server.worker.succeeded(heir.id());
        let entry = heir.entry("other", site::ZONE, server.link.address(), "ready");
        self.registry.put("servers", heir.id(), &entry);
    }

    /// Waits until every daemon serves.
    pub async fn settle(&self, limit: Duration) -> Result<(), Error> {
        let serve = async {
            for daemon in &self.daemons {
                while !caller::try_once(daemon, &self.ledger.next()).await {
                    tokio::time::sleep(LOOK).await;
                }
            }
        };
        let served = tokio::time::timeout(limit, serve).await;
        served.map_err(|_| Error::Unready(limit))
    }

    /// Ends all faults, and waits until callers are served again by all daemons.
    pub async fn recover(&self, limit: Duration) {
        self.registry.set(registry::Fault::None);
        for link in self.proxy.links() {
            link.set_rules(Vec::new());
        }
        for server in self.servers() {
            server.worker.set(worker::Mode::Well);
            server.worker.delay(Duration::ZERO);
        }
        let serve = async {
            let mut served = 0;
            while served < SERVED {
                for daemon in &self.daemons {
                    let good = caller::try_once(daemon, &self.ledger.next()).await;
                    served = if good { served + 1 } else { 0 };
                }
                tokio::time::sleep(LOOK).await;
            }
        };
        if tokio::time::timeout(limit, serve).await.is_err() {
            let detail = format!("callers are not served again after {limit:?}");
            self.ledger.broke(ledger::Promise::Recovers, detail);
        }
    }

    /// Ends all daemons.
    pub async fn end(&self) {
        for daemon in &self.daemons {
            daemon.kill().await;
        }
    }
}
