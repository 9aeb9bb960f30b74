//! A stand-in for a server of the users' platform, in its published protocol.
//!
//! It answers on raw connections, so that it can show every fault of framing.

use std::collections::BTreeMap;
use std::io;
use std::net;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

/// Body of a good answer.
pub const BODY: &str = "the server's bytes";

/// Largest request that is taken.
const MAX_REQUEST: usize = 1 << 20;

/// How a server treats requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Mode {
    /// It answers well.
    #[default]
    Well,
    /// It answers 500.
    Errors,
    /// It runs the request and resets the connection.
    Reset,
    /// It refuses the request as not run.
    Sheds,
    /// It says that another server has the address.
    Misdirected,
    /// It runs the request and answers with the id of another one.
    Foreign,
    /// It runs the request and ends the connection within its answer.
    Cut,
    /// It answers without a length, and ends the connection.
    Unframed,
    /// It answers well and sends a second answer with the next request.
    Extra,
    /// It runs the request and refuses it as not run, against its contract.
    Lies,
}

#[derive(Debug, Default)]
struct State {
    mode: Mode,
    delay: Duration,
    runs: BTreeMap<String, u32>,
    heads: Vec<String>,
    /// When it began to run a request last.
    last: Option<Instant>,
    /// The server that has its address now.
    heir: Option<String>,
}

/// The server.
#[derive(Debug)]
pub struct Worker {
    id: String,
    state: Mutex<State>,
}

/// A request, as far as the server reads it.
struct Request {
    head: String,
    id: String,
}

impl Worker {
    /// A server that answers well.
    #[must_use]
    pub fn new(id: &str) -> Arc<Self> {
        Arc::new(Self {
            id: id.to_owned(),
            state: Mutex::default(),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Its id.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Sets how it treats requests.
    pub fn set(&self, mode: Mode) {
        self.state().mode = mode;
    }

    /// Sets the time that a request takes.
    pub fn delay(&self, delay: Duration) {
        self.state().delay = delay;
    }

    /// How often each request was run, by its id.
    #[must_use]
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.state().runs.clone()
    }

    /// When it began to run a request last.
    #[must_use]
    pub fn last(&self) -> Option<Instant> {
        self.state().last
    }

    /// Ends it: another server answers at its address from now on.
    pub fn succeeded(&self, heir: &str) {
        self.state().heir = Some(heir.to_owned());
    }

    /// Heads of the requests that arrived.
    #[must_use]
    pub fn heads(&self) -> Vec<String> {
        self.state().heads.clone()
    }

    /// What it says of itself in the store.
    #[must_use]
    pub fn entry(&self, service: &str, zone: &str, address: net::SocketAddr, state: &str) -> Value {
        json!({
            "address": address.to_string(),
            "born": 1_700_000_000_000_u64,
            "info": {
                "backend": service,
                "config_version": "v1",
                "max_in_flight": 2,
                "zone": zone,
            },
            "status": {"sequence": 1, "state": state, "warmup_left_s": 0},
        })
    }

    /// Serves a bound listener in the background.
    ///
    /// # Errors
    ///
    /// Where the listener has no address.
    pub fn serve(self: &Arc<Self>, listener: TcpListener) -> io::Result<net::SocketAddr> {
        let address = listener.local_addr()?;
        let worker = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let worker = worker.clone();
                tokio::spawn(async move {
                    if let Err(error) = worker.connection(stream).await {
                        log::debug!(error:%; "worker: connection ended");
                    }
                });
            }
        });
        Ok(address)
    }

    async fn connection(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut extra: Option<String> = None;
        while let Some(request) = read(&mut stream).await? {
            let (mode, delay) = {
                let mut state = self.state();
                state.heads.push(request.head.clone());
                match state.heir {
                    Some(_) => (Mode::Misdirected, Duration::ZERO),
                    None => (state.mode, state.delay),
                }
            };
            if let Some(extra) = extra.take() {
                stream
                    .write_all(answer("200 OK", &extra, BODY).as_bytes())
                    .await?;
            }
            let refusal = match mode {
                Mode::Sheds => Some(("503 Service Unavailable", "x-not-executed: 1\r\n")),
                Mode::Misdirected => Some(("421 Misdirected Request", "x-instance-id: other\r\n")),
                _ => None,
            };
            if let Some((status, mark)) = refusal {
                let id = &request.id;
                let text = format!(
                    "HTTP/1.1 {status}\r\nx-attempt-id: {id}\r\n{mark}content-length: 0\r\n\r\n"
                );
                stream.write_all(text.as_bytes()).await?;
                continue;
            }
            {
                let mut state = self.state();
                *state.runs.entry(request.id.clone()).or_default() += 1;
                state.last = Some(Instant::now());
            }
            tokio::time::sleep(delay).await;
            let text = match mode {
                Mode::Errors => answer("500 Internal Server Error", &request.id, "failed"),
                Mode::Foreign => answer("200 OK", "another", BODY),
                Mode::Lies => {
                    let id = &request.id;
                    format!(
                        "HTTP/1.1 503 Service Unavailable\r\nx-attempt-id: {id}\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n"
                    )
                }
                Mode::Reset => {
                    let socket = socket2::SockRef::from(&stream);
                    socket.set_linger(Some(Duration::ZERO))?;
                    return Ok(());
                }
                Mode::Cut => {
                    let whole = answer("200 OK", &request.id, BODY);
                    whole[..whole.len() - BODY.len() / 2].to_owned()
                }
                Mode::Unframed => {
                    let id = &request.id;
                    format!(
                        "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-server-seal: s\r\n\r\n{BODY}"
                    )
                }
                _ => answer("200 OK", &request.id, BODY),
            };
            stream.write_all(text.as_bytes()).await?;
            match mode {
                Mode::Cut | Mode::Unframed => return stream.shutdown().await,
                Mode::Extra => extra = Some(request.id),
                _ => {}
            }
        }
        Ok(())
    }
}

fn answer(status: &str, id: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nx-attempt-id: {id}\r\nx-server-seal: s\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Reads a whole request; `None` at the end of the connection.
async fn read(stream: &mut TcpStream) -> io::Result<Option<Request>> {
    let mut bytes = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = header(head, "content-length").and_then(|l| l.parse().ok());
            if body.len() >= length.unwrap_or(0) {
                let id = header(head, "x-attempt-id").unwrap_or_default();
                let head = head.to_owned();
                return Ok(Some(Request { head, id }));
            }
        }
        let count = stream.read(&mut chunk).await?;
        if count == 0 || bytes.len() > MAX_REQUEST {
            return Ok(None);
        }
        bytes.extend_from_slice(&chunk[..count]);
    }
}

/// A header of a head.
fn header(head: &str, name: &str) -> Option<String> {
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    let found = lines.find(|(n, _)| n.eq_ignore_ascii_case(name))?;
    Some(found.1.trim().to_owned())
}
