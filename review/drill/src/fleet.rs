//! Processes of a drill: daemons, started as the deploy file says, and servers.

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{self, BufRead as _, BufReader};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;
use crate::server;
use crate::store::Store;

pub const HOST: &str = "ficu95.example";

/// Data centres, one for each daemon in turn where a drill spreads them.
const ZONES: [&str; 3] = ["scot-central-a", "scot-central-b", "scot-central-c"];

/// Figures of the installation that a drill is played on.
#[derive(Clone, Copy)]
pub struct Site {
    pub grace_s: u32,
    pub budget_slack: u32,
    /// Number of data centres.
    pub zones: usize,
}

/// Ports of every daemon, each at an address of its own.
#[derive(Clone, Copy)]
struct Ports {
    front: u16,
    ready: u16,
    admin: u16,
    registry: u16,
    metrics: u16,
    peers: u16,
}

struct Daemon {
    ip: IpAddr,
    child: Child,
}

/// What a server told.
#[derive(Clone, Debug)]
pub struct Told {
    pub at: Duration,
    pub server: String,
    /// `reach`, `run`, `done`, `lost` or `crash`.
    pub what: String,
    /// Id of the request.
    pub id: String,
}

struct ServerProcess {
    service: String,
    address: SocketAddr,
    child: Child,
    ended_at: Option<Instant>,
}

pub struct Fleet {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    store_address: SocketAddr,
    daemons: Vec<Daemon>,
    folder: PathBuf,
    network: [u8; 2],
    ports: Ports,
    site: Site,
    slots: usize,
    work: Duration,
    servers: HashMap<String, ServerProcess>,
    next_server: u16,
    told: Arc<Mutex<Vec<Told>>>,
}

fn free_base(ip: IpAddr) -> Option<u16> {
    let seed = u16::try_from(std::process::id() % 1000).unwrap_or(0);
    let bases = (0..200).map(|n| 11_000 + ((seed + n) % 1000) * 16);
    bases.into_iter().find(|base| {
        let listeners: Vec<_> = (0..16).map(|n| TcpListener::bind((ip, base + n))).collect();
        listeners.iter().all(Result::is_ok)
    })
}

impl Fleet {
    /// Starts the store and `count` daemons with this configuration.
    pub fn start(
        record: Arc<Record>,
        site: Site,
        count: u8,
        configuration: &str,
        slots: usize,
        work: Duration,
    ) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("drill-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let pid = std::process::id();
        let network = [60 + (pid % 100) as u8, (pid / 100 % 250) as u8];
        let ip = |host: u8| IpAddr::V4(Ipv4Addr::new(127, network[0], network[1], host));
        let base = free_base(ip(1)).ok_or(io::ErrorKind::AddrInUse)?;
        let (store, store_address) = Store::start(ip(250))?;
        store.put("config", "main", configuration);
        let mut fleet = Self {
            record,
            store,
            store_address,
            daemons: Vec::new(),
            folder,
            network,
            ports: Ports {
                front: base,
                ready: base + 1,
                admin: base + 2,
                registry: base + 3,
                metrics: base + 4,
                peers: base + 5,
            },
            site,
            slots,
            work,
            servers: HashMap::new(),
            next_server: 0,
            told: Arc::default(),
        };
        for number in 1..=count {
            let daemon = fleet.start_daemon(number, count.min(3))?;
            fleet.daemons.push(daemon);
        }
        Ok(fleet)
    }

    /// Data centre of the daemon or server with this number.
    fn zone(&self, number: usize) -> &'static str {
        ZONES[(number + self.site.zones - 1) % self.site.zones]
    }

    fn ip(&self, host: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.network[0], self.network[1], host))
    }

    fn start_daemon(&self, number: u8, seeds: u8) -> io::Result<Daemon> {
        let ip = self.ip(number);
        let settings = self.folder.join(format!("daemon-{number}.jsonc"));
        let log = self.folder.join(format!("daemon-{number}.log"));
        fs::write(&settings, self.settings(ip, number, seeds))?;
        let child = spawn_daemon(&settings, &log)?;
        Ok(Daemon { ip, child })
    }

    /// Settings of a daemon, as the template in `deploy/` renders them.
    fn settings(&self, ip: IpAddr, number: u8, seeds: u8) -> String {
        let p = self.ports;
        let zone = self.zone(number.into());
        let seeds = (1..=seeds).map(|n| format!("\"{}:{}\"", self.ip(n), p.admin));
        let seeds: Vec<String> = seeds.collect();
        format!(
            "{{\"name\":\"edge-{zone}-{number}\",\"data_centre\":\"{zone}\",\"region\":\"scot-central\",\
             \"callers\":\"{ip}:{}\",\"admin\":\"{ip}:{}\",\"peers\":\"{ip}:{}\",\
             \"platform\":{{\"address\":\"{}\"}},\"seeds\":[{}],\"entry_lifetime\":\"1s\",\"entry_count\":2,\
             \"gateway\":{{\"directory\":\"{ip}:{}\",\"readiness\":\"{ip}:{}\",\"metrics\":\"{ip}:{}\",\
             \"cores\":0.2,\"link_mbps\":1000.0,\"memory_mb\":260,\"seeds_port\":{},\"grace\":\"{}s\",\
             \"lifetime_max\":\"5s\",\"wait_for_room\":true,\"cover_servers\":true,\
             \"retries\":{{\"share\":0.2,\"slack\":{},\"window\":\"10s\"}}}}}}",
            p.front,
            p.admin,
            p.peers,
            self.store_address,
            seeds.join(","),
            p.registry,
            p.ready,
            p.metrics,
            p.peers,
            self.site.grace_s,
            self.site.budget_slack
        )
    }

    /// Sends SIGTERM to all daemons.
    pub fn terminate_daemons(&self) -> io::Result<()> {
        let pids = self
            .daemons
            .iter()
            .map(|daemon| daemon.child.id().to_string());
        Command::new("kill")
            .arg("-TERM")
            .args(pids)
            .status()
            .map(drop)
    }

    /// Starts a server of a service with a new id and address.
    pub fn start_server(&mut self, service: &str) -> io::Result<String> {
        self.next_server += 1;
        let number = self.next_server;
        let id = format!("i-{number:04x}");
        let ip = self.ip(100 + (number % 100) as u8);
        let options = server::Options {
            id: id.clone(),
            service: service.to_owned(),
            zone: self.zone(number.into()).to_owned(),
            address: SocketAddr::from((ip, 8080 + number / 100)),
            store: self.store_address,
            slots: self.slots,
            work: self.work,
        };
        let address = options.address;
        let mut child = Command::new(std::env::current_exe()?)
            .arg("server")
            .args(options.words())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()?;
        let out = child.stdout.take().expect("stdout is a pipe");
        let (told, record, name) = (self.told.clone(), self.record.clone(), id.clone());
        thread::spawn(move || {
            for line in BufReader::new(out).lines().map_while(Result::ok) {
                let (what, id) = line.split_once(' ').unwrap_or((&line, ""));
                record.line(&format!("server {name}: {line}"));
                told.lock().expect("no holder panics").push(Told {
                    at: record.elapsed(),
                    server: name.clone(),
                    what: what.to_owned(),
                    id: id.to_owned(),
                });
            }
            record.line(&format!("server {name}: ended"));
        });
        let process = ServerProcess {
            service: service.to_owned(),
            address,
            child,
            ended_at: None,
        };
        self.servers.insert(id.clone(), process);
        Ok(id)
    }

    /// Starts a server in place of each one that ended `delay` ago, with a new id.
    pub fn replace_ended_servers(&mut self, delay: Duration) -> io::Result<()> {
        let mut due = Vec::new();
        for (id, server) in &mut self.servers {
            if server.ended_at.is_none() && matches!(server.child.try_wait(), Ok(Some(_))) {
                server.ended_at = Some(Instant::now());
            }
            if server.ended_at.is_some_and(|at| at.elapsed() >= delay) {
                due.push((id.clone(), server.service.clone()));
            }
        }
        for (id, service) in due {
            self.servers.remove(&id);
            self.start_server(&service)?;
        }
        Ok(())
    }

    /// Tells a server what to do.
    pub fn order(&self, server: &str, order: &str) -> io::Result<()> {
        let address = self.servers[server].address;
        let start = format!("GET /control/{order} HTTP/1.1");
        let mut connection = http::Connection::open(address, Duration::from_secs(1))?;
        connection.exchange(&start, &[("Host", "x")], b"").map(drop)
    }

    /// Ends the process of a server.
    pub fn end_server(&mut self, server: &str) -> io::Result<()> {
        let mut process = self.servers.remove(server).expect("server is known");
        process.child.kill()?;
        process.child.wait().map(drop)
    }

    pub fn told(&self) -> Vec<Told> {
        self.told.lock().expect("no holder panics").clone()
    }

    /// Whether all daemons are ready.
    fn is_ready(&self) -> bool {
        self.daemons.iter().all(|daemon| {
            let address = (daemon.ip, self.ports.ready).into();
            let connection = http::Connection::open(address, Duration::from_secs(1));
            let answer = connection
                .and_then(|mut c| c.exchange("GET /api/ready HTTP/1.1", &[("Host", "x")], b""));
            answer.is_ok_and(|answer| answer.status() == 200)
        })
    }

    /// Waits until the daemons are ready; returns whether they are.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let started_at = Instant::now();
        while started_at.elapsed() < limit {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// What clients need to reach the daemons.
    pub fn entry(&self) -> Entry {
        let directories = self.daemons.iter();
        Entry {
            directories: directories
                .map(|d| (d.ip, self.ports.registry).into())
                .collect(),
            zones: self.site.zones,
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let daemons = self.daemons.iter_mut().map(|d| &mut d.child);
        let servers = self.servers.values_mut().map(|s| &mut s.child);
        for child in daemons.chain(servers) {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn spawn_daemon(settings: &Path, log: &Path) -> io::Result<Child> {
    let log = File::options().create(true).append(true).open(log)?;
    Command::new("target/release/monsooncart")
        .arg("run")
        .env_clear()
        .envs(
            std::env::vars().filter(|(name, _)| ["PATH", "HOME", "LANG"].contains(&name.as_str())),
        )
        .env("MONSOONCART_BOOT", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}

/// The directories of the daemons.
#[derive(Clone)]
pub struct Entry {
    directories: Vec<SocketAddr>,
    zones: usize,
}

impl Entry {
    /// Addresses that the first directory that answers names to the consumer with this number.
    pub fn resolve(&self, number: usize) -> Vec<SocketAddr> {
        let zone = ZONES[number % self.zones];
        let start =
            format!("GET /api/resolve?name={HOST}&region=scot-central&zone={zone} HTTP/1.1");
        for directory in &self.directories {
            let connection = http::Connection::open(*directory, Duration::from_secs(1));
            let answer = connection.and_then(|mut c| c.exchange(&start, &[("Host", "x")], b""));
            let Ok(answer) = answer else { continue };
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            let addresses: Vec<SocketAddr> = text
                .split('"')
                .filter_map(|word| word.parse().ok())
                .collect();
            if !addresses.is_empty() {
                return addresses;
            }
        }
        Vec::new()
    }
}
