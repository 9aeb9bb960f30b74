//! The system under test: daemons, servers, the store, and the links between them.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde_json::Value;
use tokio::net::TcpListener;

use super::{Error, Options, caller, daemon, ledger, operator};
use crate::fault::{link, proxy};
use crate::{registry, site, worker};

/// Maximum number of objects on a page of the store's lists.
const PAGE_OBJECTS: usize = 5;

/// Host number of the store: the last octet of its address.
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
    /// The server itself.
    pub worker: Arc<worker::Worker>,
    /// Link to the server.
    pub link: Arc<link::Link>,
}

/// A running fleet and what surrounds it.
pub struct Fleet {
    pub daemons: Vec<daemon::Daemon>,
    /// Store of registrations and configuration.
    pub registry: Arc<registry::Registry>,
    /// Record of requests, faults and violations.
    pub ledger: ledger::Ledger,
    /// Writer of the configuration.
    pub operator: operator::Operator,
    servers: Mutex<Vec<Server>>,
    /// Removed servers, whose executions still count.
    removed_servers: Mutex<Vec<Arc<worker::Worker>>>,
    /// Current registration entries, by server id.
    entries: Mutex<BTreeMap<String, Value>>,
    next_server_number: AtomicU64,
    check_time_limits: bool,
    /// First three octets of all addresses, from the process id so that concurrent runs seldom
    /// collide.
    network: [u8; 3],
    proxy: Arc<proxy::Proxy>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Fleet {
    /// Starts the store, the servers and the daemons.
    pub async fn start(options: &Options) -> Result<Arc<Self>, Error> {
        let pid = std::process::id();
        let network = [127, 10 + (pid % 40) as u8, (pid / 40 % 250) as u8];
        let ip = |host: u8| IpAddr::V4(Ipv4Addr::new(network[0], network[1], network[2], host));
        let registry = registry::Registry::new(PAGE_OBJECTS);
        let listener = TcpListener::bind((ip(STORE_HOST), 0)).await;
        let store = registry.serve(listener.map_err(Error::at("start store"))?);
        let store = store.map_err(Error::at("start store"))?;
        let proxy = proxy::Proxy::new(options.seed);
        let seeds: Vec<SocketAddr> = (1..=options.daemons.min(3))
            .map(|host| (ip(host + PEER_HOST_OFFSET), site::PEERS_PORT).into())
            .collect();
        let mut daemons = Vec::new();
        for host in 1..=options.daemons {
            let name = format!("store-{host}");
            let store_link = proxy.add(&name, (ip(host), 0).into(), Some(store)).await;
            let store_link = store_link.map_err(Error::at("start link to the store"))?;
            let target = (ip(host), site::PEERS_PORT).into();
            let name = format!("peers-{host}");
            let listen = (ip(host + PEER_HOST_OFFSET), site::PEERS_PORT).into();
            let peer_link = proxy.add(&name, listen, Some(target)).await;
            let links = [
                store_link,
                peer_link.map_err(Error::at("start link between daemons"))?,
            ];
            let (directory, program) = (&options.directory, &options.program);
            daemons.push(daemon::Daemon::new(
                ip(host),
                links,
                &seeds,
                directory,
                program,
            )?);
        }
        let fleet = Arc::new(Self {
            daemons,
            operator: operator::Operator::new(registry.clone()),
            registry,
            ledger: ledger::Ledger::default(),
            servers: Mutex::default(),
            removed_servers: Mutex::default(),
            entries: Mutex::default(),
            next_server_number: AtomicU64::new(0),
            check_time_limits: options.check_time_limits,
            network,
            proxy,
        });
        fleet.operator.change_configuration();
        for _ in 0..options.servers {
            fleet.add_server(site::SERVICE).await?;
        }
        for daemon in &fleet.daemons {
            daemon.start().await?;
        }
        Ok(fleet)
    }

    /// Whether time limits are checked.
    pub fn checks_time_limits(&self) -> bool {
        self.check_time_limits
    }

    /// Registered servers.
    pub fn servers(&self) -> Vec<Server> {
        lock(&self.servers).clone()
    }

    /// All servers, including removed ones.
    pub fn workers(&self) -> Vec<Arc<worker::Worker>> {
        let registered = self.servers().into_iter().map(|s| s.worker);
        registered
            .chain(lock(&self.removed_servers).iter().cloned())
            .collect()
    }

    /// Starts a server and writes its registration entry.
    pub async fn add_server(&self, service: &str) -> Result<(), Error> {
        let number = self.next_server_number.fetch_add(1, Ordering::SeqCst);
        let worker = worker::Worker::new(&format!("i-{number:04}"));
        let host = FIRST_SERVER_HOST + (number % 100) as u8;
        let [a, b, c] = self.network;
        let ip = IpAddr::V4(Ipv4Addr::new(a, b, c, host));
        let listener = TcpListener::bind((ip, 0)).await;
        let target = worker.serve(listener.map_err(Error::at("start server"))?);
        let target = target.map_err(Error::at("start server"))?;
        let name = format!("server-{number}");
        let link = self.proxy.add(&name, (ip, 0).into(), Some(target)).await;
        let link = link.map_err(Error::at("start link to a server"))?;
        let server = Server { worker, link };
        self.register(&server, service, "ready");
        lock(&self.servers).push(server);
        Ok(())
    }

    /// Writes the registration entry of a server.
    pub fn register(&self, server: &Server, service: &str, state: &str) {
        let address = server.link.address();
        let entry = server.worker.entry(service, site::ZONE, address, state);
        self.put_entry(server.worker.id(), entry);
    }

    fn put_entry(&self, id: &str, entry: Value) {
        let mut entries = lock(&self.entries);
        self.registry.put("servers", id, &entry);
        entries.insert(id.to_owned(), entry);
    }

    /// Writes the configuration and all registration entries again, and removes the entries of servers
    /// that are gone.
    pub fn write_again(&self) {
        self.operator.write_again();
        let entries = lock(&self.entries);
        for (id, entry) in entries.iter() {
            self.registry.put("servers", id, entry);
        }
        for worker in lock(&self.removed_servers).iter() {
            if !entries.contains_key(worker.id()) {
                self.registry.delete("servers", worker.id());
            }
        }
    }

    /// Makes all servers execute requests that they report as not run.
    pub fn violate_not_run(&self) {
        for server in self.servers() {
            server.worker.set_mode(worker::Mode::Lies);
        }
    }

    /// Removes a server and its registration entry; its address still accepts connections.
    pub fn remove_server(&self, server: &Server) {
        let mut servers = lock(&self.servers);
        let is_same = |s: &Server| s.worker.id() == server.worker.id();
        let Some(index) = servers.iter().position(is_same) else {
            return;
        };
        let mut entries = lock(&self.entries);
        entries.remove(server.worker.id());
        self.registry.delete("servers", server.worker.id());
        drop(entries);
        lock(&self.removed_servers).push(servers.remove(index).worker);
    }

    /// Registers a server of another service at the address of a removed server.
    pub fn reuse_address(&self, server: &Server) {
        let number = self.next_server_number.fetch_add(1, Ordering::SeqCst);
        let successor = worker::Worker::new(&format!("i-{number:04}"));
        server.worker.replace_with(successor.id());
        let entry = successor.entry("other", site::ZONE, server.link.address(), "ready");
        self.put_entry(successor.id(), entry);
    }

    /// Waits until every daemon serves requests.
    ///
    /// # Errors
    ///
    /// Fails if a daemon serves no request within `limit`.
    pub async fn wait_until_ready(&self, limit: Duration) -> Result<(), Error> {
        let serving = async {
            for daemon in &self.daemons {
                while !caller::is_served(daemon, &self.ledger.next_id()).await {
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
            }
        };
        let ready = tokio::time::timeout(limit, serving).await;
        ready.map_err(|_| Error::Unready(limit))
    }

    /// Clears all faults and waits until all daemons serve requests again; records a violation if
    /// that takes longer than `limit`.
    pub async fn recover(&self, limit: Duration) {
        self.registry.set_fault(registry::Fault::None);
        for link in self.proxy.links() {
            link.set_rules(Vec::new());
        }
        for server in self.servers() {
            server.worker.set_mode(worker::Mode::Well);
            server.worker.set_delay(Duration::ZERO);
        }
        let recovery = async {
            let mut consecutive = 0;
            while consecutive < RECOVERED_RESPONSES {
                for daemon in &self.daemons {
                    let is_served = caller::is_served(daemon, &self.ledger.next_id()).await;
                    consecutive = if is_served { consecutive + 1 } else { 0 };
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        if tokio::time::timeout(limit, recovery).await.is_err() {
            let detail = format!("requests are not served again after {limit:?}");
            self.ledger
                .record_violation(ledger::Guarantee::Recovers, detail);
        }
    }

    pub async fn kill_daemons(&self) {
        for daemon in &self.daemons {
            daemon.kill().await;
        }
    }
}
