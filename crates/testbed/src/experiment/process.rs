//! Child processes of an experiment.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::net;
use std::path;
use std::process::Stdio;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt as _, BufReader};
use tokio::process::{Child, Command};

use super::Error;

/// Timeout from the start of a process to its line `ready:`.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Clock ticks per second in `/proc/*/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

/// A running child process, which is killed when dropped.
pub struct Process {
    child: Child,
    addresses: BTreeMap<String, net::SocketAddr>,
}

/// Path of this process's executable.
pub fn testbed_path() -> io::Result<path::PathBuf> {
    std::env::current_exe()
}

/// Path of the `monsooncart` executable, which is built into the same directory as this one.
pub fn monsooncart_path() -> io::Result<path::PathBuf> {
    Ok(testbed_path()?.with_file_name("monsooncart"))
}

impl Process {
    /// Starts a program and waits for its line `ready: NAME=ADDRESS ...` on standard output.
    pub async fn start(program: &path::Path, arguments: &[&str]) -> Result<Self, Error> {
        let error = |source| Error::Process {
            process: format!("{} {}", program.display(), arguments.join(" ")),
            source,
        };
        let mut child = Command::new(program)
            .args(arguments)
            .env("RUST_LOG", "error")
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .map_err(error)?;
        let stdout = child.stdout.take();
        let stdout = stdout.ok_or_else(|| error(io::ErrorKind::BrokenPipe.into()))?;
        let mut lines = BufReader::new(stdout).lines();
        let ready = async {
            while let Some(line) = lines.next_line().await? {
                if let Some(rest) = line.strip_prefix("ready:") {
                    return Ok(parse_addresses(rest));
                }
            }
            Err(io::ErrorKind::UnexpectedEof.into())
        };
        let ready = tokio::time::timeout(START_TIMEOUT, ready).await;
        let ready = ready.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        let addresses = ready.map_err(error)?;
        Ok(Self { child, addresses })
    }

    /// Address with a name in the line `ready:`; the unspecified address if there is none.
    pub fn address(&self, name: &str) -> net::SocketAddr {
        let unspecified = net::SocketAddr::from((net::Ipv4Addr::UNSPECIFIED, 0));
        self.addresses.get(name).copied().unwrap_or(unspecified)
    }

    /// Processor time that the process has used so far.
    pub fn processor_time(&self) -> Duration {
        let pid = self.child.id().unwrap_or_default();
        processor_time(&format!("/proc/{pid}/stat")).unwrap_or_default()
    }
}

/// Processor time that this process has used so far.
pub fn own_processor_time() -> Duration {
    processor_time("/proc/self/stat").unwrap_or_default()
}

fn parse_addresses(line: &str) -> BTreeMap<String, net::SocketAddr> {
    let pairs = line.split_whitespace().filter_map(|p| p.split_once('='));
    let pairs = pairs.filter_map(|(name, a)| Some((name.to_owned(), a.parse().ok()?)));
    pairs.collect()
}

/// Parses the user and system time in a file such as `/proc/self/stat`.
fn processor_time(file: &str) -> Option<Duration> {
    let text = fs::read_to_string(file).ok()?;
    // The name of the program may contain spaces and parentheses; it ends at the last closing one.
    let (_, rest) = text.rsplit_once(") ")?;
    let fields: Vec<_> = rest.split_whitespace().collect();
    let user: f64 = fields.get(11)?.parse().ok()?;
    let system: f64 = fields.get(12)?.parse().ok()?;
    Some(Duration::from_secs_f64((user + system) / TICKS_PER_SECOND))
}
