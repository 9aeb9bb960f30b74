//! Daemons as processes of their own.

use std::fs;
use std::net;
use std::path;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use rustix::process::{Pid, Signal};
use tokio::process::{Child, Command};
use tokio::sync::Mutex;

use super::{Error, fleet, ledger};
use crate::fault::link;
use crate::site;

/// Time between two looks at whether processes run.
const LOOK: Duration = Duration::from_millis(100);

/// Time that a stop may take: the grace time of the settings.
const GRACE: Duration = Duration::from_secs(6);

/// One daemon: its process, and the links that its traffic passes.
pub struct Daemon {
    /// Its address.
    pub ip: net::IpAddr,
    /// Its way to the store.
    pub store: Arc<link::Link>,
    /// The way of its peers to it.
    pub peers: Arc<link::Link>,
    /// Held from the end of one process to the start of the next.
    pub turn: Mutex<()>,
    run: AtomicU32,
    /// Whether an end of its process is the soak's doing.
    expected: AtomicBool,
    settings: path::PathBuf,
    program: path::PathBuf,
    child: Mutex<Option<Child>>,
}

impl Daemon {
    /// A daemon that does not run yet.
    pub fn new(
        ip: net::IpAddr,
        links: [Arc<link::Link>; 2],
        seeds: &[net::SocketAddr],
        folder: &path::Path,
        program: &path::Path,
    ) -> Result<Self, Error> {
        let [store, peers] = links;
        let advertised = Some(peers.address());
        let text = site::settings(ip, store.address(), seeds, advertised);
        let settings = folder.join(format!("{ip}.jsonc"));
        fs::write(&settings, text.to_string()).map_err(Error::at("settings"))?;
        Ok(Self {
            ip,
            store,
            peers,
            turn: Mutex::new(()),
            run: AtomicU32::new(0),
            expected: AtomicBool::new(true),
            settings,
            program: program.to_owned(),
            child: Mutex::new(None),
        })
    }

    /// Where callers are served.
    pub fn callers(&self) -> net::SocketAddr {
        (self.ip, site::CALLERS).into()
    }

    /// Where callers ask for addresses.
    pub fn directory(&self) -> net::SocketAddr {
        (self.ip, site::DIRECTORY).into()
    }

    /// Number of its present run.
    pub fn run(&self) -> u32 {
        self.run.load(Ordering::SeqCst)
    }

    /// Starts its process, with a log file of its own.
    pub async fn start(&self) -> Result<(), Error> {
        let mut child = self.child.lock().await;
        let run = self.run.fetch_add(1, Ordering::SeqCst) + 1;
        let log = self.settings.with_extension(format!("{run}.log"));
        let log = fs::File::create(log).map_err(Error::at("log"))?;
        let errors = log.try_clone().map_err(Error::at("log"))?;
        let started = Command::new(&self.program)
            .arg("run")
            .arg(&self.settings)
            .env("RUST_LOG", "info,tarpc=warn")
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .kill_on_drop(true)
            .spawn();
        *child = Some(started.map_err(Error::at("daemon"))?);
        self.expected.store(false, Ordering::SeqCst);
        Ok(())
    }

    /// Sends a signal to its process, where it runs.
    pub async fn signal(&self, signal: Signal) {
        let mut child = self.child.lock().await;
        let Some(child) = child.as_mut() else {
            return;
        };
        if let (Ok(None), Some(id)) = (child.try_wait(), child.id()) {
            let pid = i32::try_from(id).ok().and_then(Pid::from_raw);
            if let Some(Err(error)) = pid.map(|pid| rustix::process::kill_process(pid, signal)) {
                log::warn!(daemon:% = self.ip, error:%; "soak: signal not sent");
            }
        }
    }

    /// Kills its process.
    pub async fn kill(&self) {
        self.expected.store(true, Ordering::SeqCst);
        if let Some(mut child) = self.child.lock().await.take()
            && let Err(error) = child.kill().await
        {
            log::warn!(daemon:% = self.ip, error:%; "soak: process not killed");
        }
    }

    /// Tells its process to stop and waits for its end; says whether it came within the grace time.
    pub async fn stop(&self) -> bool {
        self.expected.store(true, Ordering::SeqCst);
        self.signal(Signal::TERM).await;
        let Some(mut child) = self.child.lock().await.take() else {
            return true;
        };
        let ended = tokio::time::timeout(GRACE, child.wait()).await.is_ok();
        if !ended && let Err(error) = child.kill().await {
            log::warn!(daemon:% = self.ip, error:%; "soak: process not killed");
        }
        ended
    }

    /// Whether its process has ended without being told to.
    async fn has_failed(&self) -> bool {
        let mut child = self.child.lock().await;
        let ended = child
            .as_mut()
            .is_some_and(|c| !matches!(c.try_wait(), Ok(None)));
        if ended {
            *child = None;
        }
        ended && !self.expected.load(Ordering::SeqCst)
    }
}

/// Notes each process that ends by itself, and starts it again.
pub async fn watch(fleet: Arc<fleet::Fleet>) {
    loop {
        tokio::time::sleep(LOOK).await;
        for daemon in &fleet.daemons {
            if !daemon.has_failed().await {
                continue;
            }
            let detail = format!("daemon {} run {} ended by itself", daemon.ip, daemon.run());
            fleet.ledger.broke(ledger::Promise::Runs, detail);
            if let Err(error) = daemon.start().await {
                log::error!(daemon:% = daemon.ip, error:%; "soak: daemon not started again");
            }
        }
    }
}
