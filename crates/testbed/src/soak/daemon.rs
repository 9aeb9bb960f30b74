//! The daemon processes under test.

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

/// Time between two checks whether the processes are running.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum duration of a planned stop: the grace time of the settings.
pub const GRACE_TIME: Duration = Duration::from_secs(6);

/// A daemon: its process, and the links for its traffic.
pub struct Daemon {
    /// Address of its listeners.
    pub ip: net::IpAddr,
    /// Link from the daemon to the store.
    pub store_link: Arc<link::Link>,
    /// Link from its peers to the daemon.
    pub peer_link: Arc<link::Link>,
    /// Locked from the stop of one process to the start of the next.
    pub restart_lock: Mutex<()>,
    run_number: AtomicU32,
    /// Whether the soak test itself stopped the process.
    stop_expected: AtomicBool,
    settings_path: path::PathBuf,
    program_path: path::PathBuf,
    child: Mutex<Option<Child>>,
}

impl Daemon {
    /// Writes the settings of a daemon to a file in `directory`, without starting its process.
    ///
    /// `links` are the links from the daemon to the store and from its peers to the daemon.
    pub fn new(
        ip: net::IpAddr,
        links: [Arc<link::Link>; 2],
        seeds: &[net::SocketAddr],
        directory: &path::Path,
        program: &path::Path,
    ) -> Result<Self, Error> {
        let [store_link, peer_link] = links;
        let advertised = Some(peer_link.address());
        let settings = site::settings(ip, store_link.address(), seeds, advertised);
        let settings_path = directory.join(format!("{ip}.jsonc"));
        fs::write(&settings_path, settings.to_string())
            .map_err(Error::at("write settings file"))?;
        Ok(Self {
            ip,
            store_link,
            peer_link,
            restart_lock: Mutex::new(()),
            run_number: AtomicU32::new(0),
            stop_expected: AtomicBool::new(true),
            settings_path,
            program_path: program.to_owned(),
            child: Mutex::new(None),
        })
    }

    /// Address of the listener for callers.
    pub fn caller_address(&self) -> net::SocketAddr {
        (self.ip, site::CALLERS_PORT).into()
    }

    /// Address of the directory, where callers resolve daemon addresses.
    pub fn directory_address(&self) -> net::SocketAddr {
        (self.ip, site::DIRECTORY_PORT).into()
    }

    /// Number of the current run, from 1.
    pub fn run_number(&self) -> u32 {
        self.run_number.load(Ordering::SeqCst)
    }

    /// Starts a process with a new log file.
    pub async fn start(&self) -> Result<(), Error> {
        let mut child = self.child.lock().await;
        let run_number = self.run_number.fetch_add(1, Ordering::SeqCst) + 1;
        let log = self
            .settings_path
            .with_extension(format!("{run_number}.log"));
        let log = fs::File::create(log).map_err(Error::at("create log file"))?;
        let errors = log.try_clone().map_err(Error::at("duplicate log file"))?;
        let spawned = Command::new(&self.program_path)
            .arg("run")
            .arg(&self.settings_path)
            .env("RUST_LOG", "info,tarpc=off")
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .kill_on_drop(true)
            .spawn();
        *child = Some(spawned.map_err(Error::at("start daemon"))?);
        self.stop_expected.store(false, Ordering::SeqCst);
        Ok(())
    }

    /// Sends a signal to the process if it is running.
    pub async fn signal(&self, signal: Signal) {
        let mut child = self.child.lock().await;
        let Some(child) = child.as_mut() else {
            return;
        };
        if let (Ok(None), Some(id)) = (child.try_wait(), child.id()) {
            let pid = i32::try_from(id).ok().and_then(Pid::from_raw);
            if let Some(Err(error)) = pid.map(|pid| rustix::process::kill_process(pid, signal)) {
                log::warn!(daemon:% = self.ip, error:%; "soak: could not send signal");
            }
        }
    }

    pub async fn kill(&self) {
        self.stop_expected.store(true, Ordering::SeqCst);
        if let Some(mut child) = self.child.lock().await.take()
            && let Err(error) = child.kill().await
        {
            log::warn!(daemon:% = self.ip, error:%; "soak: could not kill process");
        }
    }

    /// Signals a planned stop, and kills the process if it has not exited after the grace time;
    /// returns whether it exited in time.
    pub async fn stop(&self) -> bool {
        self.stop_expected.store(true, Ordering::SeqCst);
        self.signal(Signal::TERM).await;
        let Some(mut child) = self.child.lock().await.take() else {
            return true;
        };
        let exited = tokio::time::timeout(GRACE_TIME, child.wait()).await.is_ok();
        if !exited && let Err(error) = child.kill().await {
            log::warn!(daemon:% = self.ip, error:%; "soak: could not kill process");
        }
        exited
    }

    /// Returns whether the process has exited unexpectedly; each exit is reported once.
    async fn has_failed(&self) -> bool {
        let mut child = self.child.lock().await;
        let exited = child
            .as_mut()
            .is_some_and(|c| !matches!(c.try_wait(), Ok(None)));
        if exited {
            *child = None;
        }
        exited && !self.stop_expected.load(Ordering::SeqCst)
    }
}

/// Records each unexpected exit of a process, and restarts the process.
pub async fn supervise(fleet: Arc<fleet::Fleet>) {
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        for daemon in &fleet.daemons {
            if !daemon.has_failed().await {
                continue;
            }
            let detail = format!(
                "daemon {} run {} exited unexpectedly",
                daemon.ip,
                daemon.run_number()
            );
            fleet
                .ledger
                .record_violation(ledger::Guarantee::Runs, detail);
            if let Err(error) = daemon.start().await {
                log::error!(daemon:% = daemon.ip, error:%; "soak: could not restart daemon");
            }
        }
    }
}
