//! The system under test: daemons, servers, the store, and the links between them.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::net::TcpListener;

use super::{Error, Options, caller, daemon, ledger, operator};
use crate::fault::{link, proxy};
use crate::{registry, site, worker};

/// Objects on a page of the store.
const PAGE_OBJECTS: usize = 5;

/// Host number of the store.
const STORE_HOST: u8 = 250;

/// Offset from a daemon's host number to that of its link for peers.
const PEER_HOST_OFFSET: u8 = 60;

/// Host number of the first server.
const FIRST_SERVER_HOST: u8 = 130;

/// Time between two polls of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Consecutive successful responses after which the fleet counts as recovered.
const RECOVERED_RESPONSES: usize = 30;

/// A server behind its link.
#[derive(Clone)]
pub struct Server {
    /// The simulated server.
    pub worker: Arc<worker::Worker>,
    /// Link to the server.
    pub link: Arc<link::Link>,
}

/// The system under test.
pub struct Fleet {
    /// Daemons.
    pub daemons: Vec<daemon::Daemon>,
    /// Store of registrations and configuration.
    pub registry: Arc<registry::Registry>,
    /// Record of requests, faults and violations.
    pub ledger: ledger::Ledger,
    /// Writer of the configuration.
    pub operator: operator::Operator,
    servers: Mutex<Vec<Server>>,
    /// Removed servers, whose executions still count.
    removed: Mutex<Vec<Arc<worker::Worker>>>,
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
        let registry = registry::Registry::new(PAGE_OBJECTS);
        let listener = TcpListener::bind((ip(STORE_HOST), 0)).await;
        let store = registry.serve(listener.map_err(Error::at("store"))?);
        let store = store.map_err(Error::at("store"))?;
        let proxy = proxy::Proxy::new(options.seed);
        let seeds: Vec<SocketAddr> = (1..=options.daemons.min(3))
            .map(|host| (ip(host + PEER_HOST_OFFSET), site::PEERS_PORT).into())
            .collect();
        let mut daemons = Vec::new();
        for host in 1..=options.daemons {
            let name = format!("store-{host}");
            let store_link = proxy.add(&name, (ip(host), 0).into(), Some(store)).await;
            let store_link = store_link.map_err(Error::at("link to the store"))?;
            let own = (ip(host), site::PEERS_PORT).into();
            let name = format!("peers-{host}");
            let peers = (ip(host + PEER_HOST_OFFSET), site::PEERS_PORT).into();
            let peers = proxy.add(&name, peers, Some(own)).await;
            let links = [
                store_link,
                peers.map_err(Error::at("link between daemons"))?,
            ];
            let (folder, program) = (&options.directory, &options.program);
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
            removed: Mutex::default(),
            numbers: AtomicU64::new(0),
            timed: options.timed,
            network,
            proxy,
        });
        fleet.operator.change();
        for _ in 0..options.servers {
            fleet.add_server(site::SERVICE).await?;
        }
        for daemon in &fleet.daemons {
            daemon.start().await?;
        }
        Ok(fleet)
    }

    /// Whether time limits are checked.
    pub fn is_timed(&self) -> bool {
        self.timed
    }

    /// Registered servers.
    pub fn servers(&self) -> Vec<Server> {
        lock(&self.servers).clone()
    }

    /// All servers, including removed ones.
    pub fn workers(&self) -> Vec<Arc<worker::Worker>> {
        let present = self.servers().into_iter().map(|s| s.worker);
        present.chain(lock(&self.removed).iter().cloned()).collect()
    }

    /// Starts a server and writes its registration entry.
    pub async fn add_server(&self, service: &str) -> Result<(), Error> {
        let number = self.numbers.fetch_add(1, Ordering::SeqCst);
        let worker = worker::Worker::new(&format!("i-{number:04}"));
        let host = FIRST_SERVER_HOST + (number % 100) as u8;
        let [a, b, c] = self.network;
        let ip = IpAddr::V4(Ipv4Addr::new(a, b, c, host));
        let listener = TcpListener::bind((ip, 0)).await;
        let target = worker.serve(listener.map_err(Error::at("server"))?);
        let target = target.map_err(Error::at("server"))?;
        let name = format!("server-{number}");
        let link = self.proxy.add(&name, (ip, 0).into(), Some(target)).await;
        let link = link.map_err(Error::at("link to a server"))?;
        let server = Server { worker, link };
        self.register(&server, service, "ready");
        lock(&self.servers).push(server);
        Ok(())
    }

    /// Writes the registration entry of a server.
    pub fn register(&self, server: &Server, service: &str, state: &str) {
        let address = server.link.address();
        let entry = server.worker.entry(service, site::ZONE, address, state);
        self.registry.put("servers", server.worker.id(), &entry);
    }

    /// Makes all servers execute requests that they report as not run.
    pub fn violate_not_run(&self) {
        for server in self.servers() {
            server.worker.set_mode(worker::Mode::Lies);
        }
    }

    /// Removes a server and its entry; its address still accepts connections.
    pub fn remove(&self, server: &Server) {
        let mut servers = lock(&self.servers);
        let is_same = |s: &Server| s.worker.id() == server.worker.id();
        let Some(index) = servers.iter().position(is_same) else {
            return;
        };
        self.registry.delete("servers", server.worker.id());
        lock(&self.removed).push(servers.remove(index).worker);
    }

    /// Registers a server of another service at the address of a removed server.
    pub fn reuse_address(&self, server: &Server) {
        let number = self.numbers.fetch_add(1, Ordering::SeqCst);
        let successor = worker::Worker::new(&format!("i-{number:04}"));
        server.worker.replace_with(successor.id());
        let entry = successor.entry("other", site::ZONE, server.link.address(), "ready");
        self.registry.put("servers", successor.id(), &entry);
    }

    /// Waits until every daemon serves requests.
    ///
    /// # Errors
    ///
    /// Fails if a daemon serves no request within `limit`.
    pub async fn wait_until_ready(&self, limit: Duration) -> Result<(), Error> {
        let serve = async {
            for daemon in &self.daemons {
                while !caller::is_served(daemon, &self.ledger.next_id()).await {
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
            }
        };
        let served = tokio::time::timeout(limit, serve).await;
        served.map_err(|_| Error::Unready(limit))
    }

    /// Clears all faults, and waits until all daemons serve requests again; records a violation if they
    /// do not within `limit`.
    pub async fn recover(&self, limit: Duration) {
        self.registry.set_fault(registry::Fault::None);
        for link in self.proxy.links() {
            link.set_rules(Vec::new());
        }
        for server in self.servers() {
            server.worker.set_mode(worker::Mode::Well);
            server.worker.set_delay(Duration::ZERO);
        }
        let serve = async {
            let mut served = 0;
            while served < RECOVERED_RESPONSES {
                for daemon in &self.daemons {
                    let is_served = caller::is_served(daemon, &self.ledger.next_id()).await;
                    served = if is_served { served + 1 } else { 0 };
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        if tokio::time::timeout(limit, serve).await.is_err() {
            let detail = format!("requests are not served again after {limit:?}");
            self.ledger
                .record_violation(ledger::Guarantee::Recovers, detail);
        }
    }

    /// Kills all daemons.
    pub async fn stop(&self) {
        for daemon in &self.daemons {
            daemon.kill().await;
        }
    }
}
