//! A small deployment: daemons as processes, the platform's store, and what consumers need to reach
//! them.

use std::fs::File;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use monsooncart_testbed::registry::Registry;
use serde_json::{Value, json};
use tokio::net::TcpListener;

use crate::http;
use crate::record::Record;
use crate::template::{self, Field};

pub const HOST: &str = "ficu95.example";
pub const ZONE: &str = "scot-central-a";
const REGION: &str = "scot-central";

const FRONT_PORT: u16 = 8161;
const REGISTRY_PORT: u16 = 8164;
const ADMIN_PORT: u16 = 8166;
const READY_PORT: u16 = 8167;
const INTERNAL_PORT: u16 = 7720;
/// As in the template.
const METRICS_PORT: u16 = 9464;
pub const SERVER_PORT: u16 = 8080;
const STORE_PORT: u16 = 8169;

/// Last bytes of the loopback addresses.
const MAX_DAEMONS: u8 = 3;
pub const FIRST_SERVER: u8 = 100;
const MAX_SERVERS: u8 = 10;
const STORE: u8 = 250;

/// Number of loopback networks that are tried.
const NETWORKS: u32 = 20;

/// Objects on a page of the store.
const PAGE_OBJECTS: usize = 50;

/// Maximum time until the fleet is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// A daemon process, which is killed when it is dropped.
pub struct Daemon {
    pub name: String,
    pub ip: IpAddr,
    log: PathBuf,
    child: Child,
}

impl Daemon {
    fn start(name: &str, ip: IpAddr, settings: &Path, log: PathBuf) -> io::Result<Self> {
        let child = spawn(settings, &log)?;
        Ok(Self {
            name: name.to_owned(),
            ip,
            log,
            child,
        })
    }

    /// Address for consumers.
    pub fn front(&self) -> SocketAddr {
        (self.ip, FRONT_PORT).into()
    }

    /// What it has logged.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    async fn is_ready(&self) -> bool {
        let request = b"GET /api/ready HTTP/1.1\r\nhost: ready\r\nconnection: close\r\n\r\n";
        let address = (self.ip, READY_PORT).into();
        let answer = http::send(address, request, Duration::from_secs(1)).await;
        answer.status() == 200
    }

    /// Addresses that its directory names.
    pub async fn resolve(&self) -> Vec<SocketAddr> {
        let request = format!(
            "GET /api/resolve?name={HOST}&region={REGION}&zone={ZONE} HTTP/1.1\r\nhost: directory\r\nconnection: close\r\n\r\n"
        );
        let address = (self.ip, REGISTRY_PORT).into();
        let answer = http::send(address, request.as_bytes(), Duration::from_secs(1)).await;
        let http::Answer::Whole(message) = answer else {
            return Vec::new();
        };
        let body: Value = serde_json::from_slice(&message.body).unwrap_or_default();
        let addresses = body["addresses"].as_array().cloned().unwrap_or_default();
        let texts = addresses.iter().filter_map(Value::as_str);
        texts.filter_map(|text| text.parse().ok()).collect()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Whether all ports that a run may use are free at the loopback addresses of a network.
fn is_free(network: [u8; 3]) -> bool {
    let [a, b, c] = network;
    let at = |host: u8, port: u16| SocketAddr::from(([a, b, c, host], port));
    let daemon_ports = [
        FRONT_PORT,
        REGISTRY_PORT,
        ADMIN_PORT,
        READY_PORT,
        INTERNAL_PORT,
        METRICS_PORT,
    ];
    let daemons = (1..=MAX_DAEMONS).flat_map(|host| daemon_ports.map(|port| at(host, port)));
    let servers = (0..MAX_SERVERS).map(|number| at(FIRST_SERVER + number, SERVER_PORT));
    let mut streams = daemons.chain(servers).chain([at(STORE, STORE_PORT)]);
    let mut datagrams = (1..=MAX_DAEMONS).map(|host| at(host, INTERNAL_PORT));
    streams.all(|address| std::net::TcpListener::bind(address).is_ok())
        && datagrams.all(|address| std::net::UdpSocket::bind(address).is_ok())
}

/// Starts a daemon with the command of the deploy file.
fn spawn(settings: &Path, log: &Path) -> io::Result<Child> {
    let log = File::options().create(true).append(true).open(log)?;
    let mut command = Command::new("target/release/monsooncart");
    command
        .arg("run")
        .env_clear()
        .env("MONSOONCART_BOOT", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log);
    for name in ["PATH", "HOME", "LANG"] {
        if let Some(value) = std::env::var_os(name) {
            command.env(name, value);
        }
    }
    command.spawn()
}

/// The deployment.
pub struct Fleet {
    pub registry: Arc<Registry>,
    pub daemons: Vec<Daemon>,
    /// First three bytes of the loopback addresses.
    network: [u8; 3],
    folder: PathBuf,
}

impl Fleet {
    /// Starts the store with a configuration. No daemon runs yet.
    pub async fn start(configuration: &Value) -> io::Result<Self> {
        let process = std::process::id();
        let networks = (0..NETWORKS).map(|number| process.wrapping_add(number * 7919));
        let mut networks = networks.map(|n| [127, 60 + (n / 250 % 150) as u8, (n % 250) as u8]);
        let network = networks.find(|network| is_free(*network));
        let network = network.ok_or_else(|| io::Error::other("no network with free ports"))?;
        let folder = std::env::temp_dir().join(format!("monsooncart-rehearsal-{process}"));
        std::fs::create_dir_all(&folder)?;
        let registry = Registry::new(PAGE_OBJECTS);
        registry.put("config", "main", configuration);
        let fleet = Self {
            registry,
            daemons: Vec::new(),
            network,
            folder,
        };
        let listener = TcpListener::bind(fleet.store()).await?;
        fleet.registry.serve(listener)?;
        Ok(fleet)
    }

    /// A loopback address of this run.
    pub fn ip(&self, host: u8) -> IpAddr {
        let [a, b, c] = self.network;
        IpAddr::V4(Ipv4Addr::new(a, b, c, host))
    }

    fn store(&self) -> SocketAddr {
        (self.ip(STORE), STORE_PORT).into()
    }

    /// Starts daemons, and waits until each is ready and the directory names them all.
    pub async fn start_daemons(&mut self, count: u8) -> io::Result<()> {
        let template = std::fs::read_to_string("deploy/settings.jsonc.in")?;
        let text = |text: &str| Field::Text(text.to_owned());
        for number in 1..=count {
            let ip = self.ip(number);
            let name = format!("edge-scot-central-a-{number}");
            let at = |port: u16| Field::Text(SocketAddr::from((ip, port)).to_string());
            let seeds = (1..=count.min(3)).map(|n| SocketAddr::from((self.ip(n), ADMIN_PORT)));
            let fields = template::Fields::from([
                ("node_name", text(&name)),
                ("zone", text(ZONE)),
                ("region", text(REGION)),
                ("ip", text(&ip.to_string())),
                ("listen.front", at(FRONT_PORT)),
                ("listen.admin", at(ADMIN_PORT)),
                ("listen.registry", at(REGISTRY_PORT)),
                ("listen.ready", at(READY_PORT)),
                (
                    "internal_ports",
                    Field::List(vec![INTERNAL_PORT.to_string(), "7735".into()]),
                ),
                ("provider.address", Field::Text(self.store().to_string())),
                (
                    "seeds",
                    Field::List(seeds.map(|seed| seed.to_string()).collect()),
                ),
                ("limits.cpu_share", text("0.5")),
                ("limits.bandwidth_mbps", text("1000.0")),
                ("limits.memory_mb", text("260")),
                ("bounds.grace_s", text("6")),
                ("bounds.ttl_max_s", text("5")),
                ("bounds.floor_share", text("0.7")),
                ("bounds.quota_window_s", text("5")),
                ("bounds.quota_overage", text("0.1")),
                ("bounds.quota_slack", text("20")),
                ("bounds.retry_ratio", text("0.2")),
                ("bounds.budget_slack", text("56")),
                ("bounds.budget_window_s", text("10")),
            ]);
            let settings = self.folder.join(format!("{name}.conf"));
            let log = self.folder.join(format!("{name}.log"));
            std::fs::write(&settings, template::render(&template, &fields))?;
            self.daemons.push(Daemon::start(&name, ip, &settings, log)?);
        }
        let deadline = Instant::now() + READY_TIMEOUT;
        for daemon in &self.daemons {
            while !(daemon.is_ready().await && daemon.resolve().await.len() == usize::from(count)) {
                if Instant::now() >= deadline {
                    let log = daemon.log();
                    let tail: Vec<_> = log.lines().rev().take(5).collect();
                    return Err(io::Error::other(format!(
                        "{} isn't ready: {tail:?}",
                        daemon.name
                    )));
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
        Ok(())
    }

    /// Puts lines of the daemons' logs that contain one of `texts` into the record.
    pub fn record_logs(&self, record: &Record, texts: &[&str]) {
        for daemon in &self.daemons {
            for line in daemon.log().lines() {
                if texts.iter().any(|text| line.contains(text)) {
                    record.add(format!("log of {}: {line}", daemon.name));
                }
            }
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.daemons.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A route to one service.
pub fn route(prefix: &str, kind: &str, service: &str, timeout_s: f64, aim_s: f64) -> Value {
    json!({
        "name": format!("r{}", prefix.replace('/', "-")),
        "route_type": kind,
        "target_latency_s": aim_s,
        "priority": 1,
        "match": {"path_prefix": prefix},
        "action": {"backend": service, "timeout_s": timeout_s, "attempts": 2},
    })
}

/// A configuration with these routes, whose services are `services`.
pub fn configuration(version: u64, rules: &[Value], services: &[&str]) -> Value {
    let cluster =
        |name: &&str| json!({"name": name, "health_path": "/health", "max_connections": 330});
    json!({
        "config_version": version,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4_194_304,
            "header_timeout_s": 5.0,
            "idle_timeout_s": 15.0,
        },
        "listeners": [{"hostname": HOST, "rules": rules}],
        "clusters": services.iter().map(cluster).collect::<Vec<_>>(),
    })
}
