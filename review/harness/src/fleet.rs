//! Daemon processes, started as the deploy file says, with settings from its template.

use std::collections::HashMap;
use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt as _;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record;

pub const FRONT: u16 = 8161;
pub const REGISTRY: u16 = 8164;
pub const ADMIN: u16 = 8166;
pub const READY: u16 = 8167;
pub const PEERS: u16 = 7720;
/// Fixed by the template of the settings.
const METRICS: u16 = 9464;

/// Port of the store and of the servers.
pub const STORE: u16 = 8169;
pub const SERVER: u16 = 8080;

pub const SIGTERM: i32 = 15;

const SIGKILL: i32 = 9;
const PR_SET_PDEATHSIG: i32 = 1;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

/// Starts a process that ends with this one, also if this one is killed.
fn spawn_bound(command: &mut Command) -> std::io::Result<Child> {
    let bind = || {
        // SAFETY: the call only sets the signal that the new process gets.
        unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) };
        Ok(())
    };
    // SAFETY: between fork and exec, `bind` makes one system call and allocates nothing.
    unsafe { command.pre_exec(bind) }.spawn()
}

/// A loopback network of which all addresses are free.
#[derive(Clone, Copy)]
pub struct Network([u8; 2]);

impl Network {
    pub fn free() -> Self {
        let seed = u64::from(std::process::id()) * 7919 + record::unix_millis();
        for number in 0..500 {
            let mixed = seed
                .wrapping_add(number)
                .wrapping_mul(0x9e37_79b9_7f4a_7c15)
                >> 40;
            let network = Self([64 + (mixed % 128) as u8, (mixed / 128 % 250) as u8]);
            let is_free = |host, port| TcpListener::bind(network.address(host, port)).is_ok();
            let daemon = [FRONT, REGISTRY, ADMIN, READY, PEERS, METRICS];
            let mut daemons = (1..=3).flat_map(|host| daemon.map(|port| (host, port)));
            let mut servers = (100..120).map(|host| (host, SERVER));
            if daemons.all(|(host, port)| is_free(host, port))
                && servers.all(|(host, port)| is_free(host, port))
                && is_free(250, STORE)
            {
                return network;
            }
        }
        panic!("no free loopback network");
    }

    pub fn ip(self, host: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.0[0], self.0[1], host))
    }

    pub fn address(self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(host), port)
    }
}

/// Fields of the users' platform for one daemon.
struct Fields {
    values: HashMap<String, String>,
    seeds: Vec<String>,
}

impl Fields {
    fn value(&self, name: &str) -> String {
        self.values.get(name).cloned().unwrap_or_default()
    }

    /// Fills in the parts of the template language that the project's template uses.
    fn render(&self, template: &str) -> String {
        let Some((before, rest)) = template.split_once("{{") else {
            return template.to_owned();
        };
        let (tag, rest) = rest.split_once("}}").expect("placeholder is closed");
        let Some(name) = tag.strip_prefix('#') else {
            return format!("{before}{}{}", self.value(tag), self.render(rest));
        };
        let end = format!("{{{{/{name}}}}}");
        let (inner, rest) = rest.split_once(&end).expect("section is closed");
        let section = match name {
            "seeds" => {
                let entries = self.seeds.iter().enumerate().map(|(index, seed)| {
                    let comma = if index + 1 < self.seeds.len() {
                        ","
                    } else {
                        ""
                    };
                    inner.replace("{{.}}", seed).replace("{{,}}", comma)
                });
                entries.collect()
            }
            _ if self.values.contains_key(name) => self.render(inner),
            _ => String::new(),
        };
        format!("{before}{section}{}", self.render(rest))
    }
}

/// A deployment's figures.
#[derive(Clone, Copy)]
pub struct Site {
    pub region: &'static str,
    pub bounds: &'static [(&'static str, &'static str)],
}

/// The daemons of a small deployment.
pub struct Fleet {
    pub network: Network,
    pub zones: Vec<String>,
    children: Vec<Child>,
    folder: PathBuf,
}

impl Fleet {
    /// Starts a daemon in each of `zones`, which may repeat, with the store at `store`.
    pub fn start(network: Network, store: SocketAddr, zones: &[&str], site: Site) -> Self {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("temporary folder can be made");
        let mut fleet = Self {
            network,
            zones: zones.iter().map(|zone| (*zone).to_owned()).collect(),
            children: Vec::new(),
            folder,
        };
        let template = fs::read_to_string("deploy/settings.jsonc.in").expect("template is there");
        for index in 0..zones.len() {
            let path = fleet.write_settings(index, store, site, &template);
            fleet.spawn(index, &path);
        }
        fleet
    }

    fn host(index: usize) -> u8 {
        u8::try_from(index + 1).expect("few daemons")
    }

    pub fn front(&self, index: usize) -> SocketAddr {
        self.network.address(Self::host(index), FRONT)
    }

    pub fn directory(&self, index: usize) -> SocketAddr {
        self.network.address(Self::host(index), REGISTRY)
    }

    pub fn ready(&self, index: usize) -> SocketAddr {
        self.network.address(Self::host(index), READY)
    }

    fn write_settings(
        &self,
        index: usize,
        store: SocketAddr,
        site: Site,
        template: &str,
    ) -> PathBuf {
        let address = |port| self.network.address(Self::host(index), port).to_string();
        let mut values: HashMap<String, String> = [
            ("node_name", format!("edge-{}", index + 1)),
            ("zone", self.zones[index].clone()),
            ("region", site.region.to_owned()),
            ("ip", self.network.ip(Self::host(index)).to_string()),
            ("listen.front", address(FRONT)),
            ("listen.ready", address(READY)),
            ("listen.admin", address(ADMIN)),
            ("listen.registry", address(REGISTRY)),
            ("internal_ports.0", PEERS.to_string()),
            ("provider.address", store.to_string()),
            ("limits.cpu_share", "0.2".to_owned()),
            ("limits.memory_mb", "260".to_owned()),
            ("limits.bandwidth_mbps", "1000.0".to_owned()),
        ]
        .into_iter()
        .map(|(name, value)| (name.to_owned(), value))
        .collect();
        for (name, value) in site.bounds {
            values.insert(format!("bounds.{name}"), (*value).to_owned());
        }
        let seeds = 0..self.zones.len().min(3);
        let seeds = seeds.map(|seed| self.network.address(Self::host(seed), ADMIN).to_string());
        let fields = Fields {
            values,
            seeds: seeds.collect(),
        };
        let path = self.folder.join(format!("edge-{}.jsonc", index + 1));
        fs::write(&path, fields.render(template)).expect("settings can be written");
        path
    }

    fn spawn(&mut self, index: usize, settings: &Path) {
        let log = self.folder.join(format!("edge-{}.log", index + 1));
        let log = fs::File::create(log).expect("log can be made");
        let errors = log.try_clone().expect("log can be shared");
        let mut command = Command::new("target/release/monsooncart");
        command
            .arg("run")
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("HOME", std::env::var("HOME").unwrap_or_default())
            .env("LANG", "C")
            .env("MONSOONCART_BOOT", settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors);
        let child = spawn_bound(&mut command)
            .expect("daemon can be started; build it as the deploy file says");
        record::note(format!("daemon {}: started", index + 1));
        self.children.push(child);
    }

    /// Waits until all daemons are ready and every directory names `listed` of them.
    pub fn wait_until_ready(&self, listed: usize) -> Result<(), String> {
        let deadline = Instant::now() + Duration::from_secs(15);
        while Instant::now() < deadline {
            let is_ready = |index: usize| {
                let ready = http::get(self.ready(index), "/api/ready", Duration::from_secs(1));
                let is_ready = ready.is_ok_and(|(head, _)| head.status() == 200);
                is_ready && self.resolve(index, "").len() >= listed
            };
            if (0..self.zones.len()).all(is_ready) {
                record::note("all daemons are ready");
                return Ok(());
            }
            thread::sleep(Duration::from_millis(200));
        }
        Err("the daemons did not become ready".to_owned())
    }

    /// Addresses that the directory of a daemon names for a zone.
    pub fn resolve(&self, index: usize, zone: &str) -> Vec<SocketAddr> {
        resolve(self.directory(index), zone).map_or_else(|_| Vec::new(), |(addresses, _)| addresses)
    }

    /// Sends a signal to the process of a daemon.
    pub fn signal(&self, index: usize, signal: i32) -> f64 {
        let process = i32::try_from(self.children[index].id()).expect("process id fits");
        // SAFETY: `kill` takes two numbers and touches no memory of this process.
        unsafe { kill(process, signal) };
        record::note(format!("daemon {}: signal {signal}", index + 1))
    }

    /// Stops a daemon as the platform does, with SIGTERM and at the end of `grace` with SIGKILL, and
    /// starts it again. Returns when it was told to stop and when it was started again.
    pub fn roll(&mut self, index: usize, grace: Duration) -> (f64, f64) {
        let term_at = self.signal(index, SIGTERM);
        let deadline = Instant::now() + grace;
        while !self.has_ended(index) && Instant::now() < deadline {
            thread::sleep(Duration::from_millis(20));
        }
        self.kill_and_restart(index);
        (term_at, record::now())
    }

    /// Kills the process of a daemon and starts another one.
    pub fn kill_and_restart(&mut self, index: usize) {
        let _ = self.children[index].kill();
        let _ = self.children[index].wait();
        record::note(format!("daemon {}: has ended", index + 1));
        let path = self.folder.join(format!("edge-{}.jsonc", index + 1));
        self.spawn(index, &path);
        let child = self.children.pop().expect("a process was started");
        self.children[index] = child;
    }

    /// Whether the process of a daemon has ended.
    pub fn has_ended(&mut self, index: usize) -> bool {
        self.children[index]
            .try_wait()
            .is_ok_and(|status| status.is_some())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Asks a directory for the addresses to connect to, and for how long they count.
pub fn resolve(directory: SocketAddr, zone: &str) -> std::io::Result<(Vec<SocketAddr>, f64)> {
    let target = format!("/api/resolve?name=shop.example&region=r&zone={zone}");
    let (head, body) = http::get(directory, &target, Duration::from_secs(1))?;
    let invalid = || std::io::Error::from(std::io::ErrorKind::InvalidData);
    if head.status() != 200 {
        return Err(invalid());
    }
    let body = String::from_utf8_lossy(&body).into_owned();
    let list = body
        .split_once('[')
        .and_then(|(_, rest)| rest.split_once(']'));
    let (list, rest) = list.ok_or_else(invalid)?;
    let addresses = list
        .split(',')
        .filter_map(|a| a.trim().trim_matches('"').parse().ok());
    let ttl = rest.split_once("\"ttl_s\":").map(|(_, ttl)| ttl);
    let ttl = ttl.and_then(|ttl| ttl.trim_end_matches('}').trim().parse().ok());
    Ok((addresses.collect(), ttl.ok_or_else(invalid)?))
}
