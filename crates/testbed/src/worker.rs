//! Simulation of a server of the users' platform, in its published protocol.
//!
//! It responds on raw connections, so that it can produce any framing fault.

use std::collections::BTreeMap;
use std::io;
use std::net;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

/// Body of a successful response.
pub const BODY: &str = "the server's bytes";

/// Time after which a server that crashed is back.
pub const DOWN_TIME: Duration = Duration::from_millis(50);

/// Maximum size of a request.
const MAX_REQUEST_BYTES: usize = 16 << 20;

/// Fault mode of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Mode {
    /// Responds correctly.
    #[default]
    Well,
    /// Responds with status 500.
    Errors,
    /// Executes the request and resets the connection.
    Reset,
    /// Rejects the request as not run.
    Sheds,
    /// Responds that another server has the address.
    Misdirected,
    /// Executes the request and responds with the id of another one.
    Foreign,
    /// Executes the request and closes the connection in the middle of the response.
    Cut,
    /// Responds without a length, and closes the connection.
    Unframed,
    /// Responds correctly, and repeats the response when the next request arrives.
    Extra,
    /// Executes the request and rejects it as not run, in violation of the protocol.
    Lies,
}

#[derive(Debug, Default)]
struct State {
    mode: Mode,
    delay: Duration,
    executions: BTreeMap<String, u32>,
    /// Executions of requests that state their work.
    timed_executions: Vec<(String, Execution)>,
    heads: Vec<String>,
    /// When the last execution of a request started.
    last_execution_started_at: Option<Instant>,
    /// Requests per second that its responses announce as the maximum for all daemons together.
    rate_limit: Option<f64>,
    /// Seconds for which it asks to be sent nothing when it rejects a request.
    retry_after: Option<f64>,
    /// Whether its responses announce that it is leaving.
    announces_leaving: bool,
    /// When each request arrived.
    arrivals: Vec<Instant>,
    /// Id of the server that replaced it at its address.
    successor: Option<String>,
    /// Text in a request that makes the server crash.
    poison: Option<String>,
    /// When the server is back after its latest crash.
    down_until: Option<Instant>,
}

/// The work that a request states in its query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display("work={}&bytes={response_bytes}&pieces={pieces}", time.as_millis())]
pub struct Work {
    /// Time to the response.
    pub time: Duration,
    /// Size of the response body.
    pub response_bytes: u64,
    /// Number of pieces in which the response body is written.
    pub pieces: u32,
}

impl Work {
    /// Pause before each further piece of a response.
    const PIECE_PAUSE: Duration = Duration::from_millis(30);

    /// Reads the work from a request head.
    fn parse(head: &str) -> Option<Self> {
        let target = head.split(' ').nth(1)?;
        let (_, query) = target.split_once('?')?;
        let field = |name: &str| {
            let mut fields = query.split('&').filter_map(|field| field.split_once('='));
            fields.find(|(n, _)| *n == name)?.1.parse::<u64>().ok()
        };
        Some(Self {
            time: Duration::from_millis(field("work")?),
            response_bytes: field("bytes")?,
            pieces: u32::try_from(field("pieces")?).ok()?.max(1),
        })
    }

    /// Time from the start to the last piece of the response.
    fn duration(&self) -> Duration {
        self.time + Self::PIECE_PAUSE * (self.pieces - 1)
    }
}

/// One execution of a request that states its work.
#[derive(Clone, Copy, Debug)]
pub struct Execution {
    /// When it started.
    pub started_at: Instant,
    /// When the server has the whole response.
    pub ends_at: Instant,
}

impl State {
    /// Header lines by which its responses announce its state.
    fn announcements(&self) -> String {
        let mut lines = String::new();
        if let Some(limit) = self.rate_limit {
            lines += &format!("server-limit: {limit}\r\n");
        }
        if self.announces_leaving {
            lines += "server-leaving: 1\r\n";
        }
        lines
    }
}

/// The simulated server.
#[derive(Debug)]
pub struct Worker {
    id: String,
    state: Mutex<State>,
}

/// The parts of a request that the server reads.
struct Request {
    head: String,
    body: String,
    id: String,
}

impl Request {
    fn contains(&self, text: &str) -> bool {
        self.head.contains(text) || self.body.contains(text)
    }
}

impl Worker {
    /// Creates a server that responds correctly.
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

    /// Instance id.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Sets the fault mode.
    pub fn set_mode(&self, mode: Mode) {
        self.state().mode = mode;
    }

    /// Sets the time from the start of each execution to its response.
    pub fn set_delay(&self, delay: Duration) {
        self.state().delay = delay;
    }

    /// Sets the rate limit, in requests per second, that its responses announce.
    pub fn set_rate_limit(&self, requests_per_second: Option<f64>) {
        self.state().rate_limit = requests_per_second;
    }

    /// Sets the seconds for which it asks to be sent nothing when it rejects a request.
    pub fn set_retry_after(&self, seconds: Option<f64>) {
        self.state().retry_after = seconds;
    }

    /// Makes it crash on requests that contain this text: it resets the connection, and all others that
    /// are used while it is down.
    pub fn set_poison(&self, text: &str) {
        self.state().poison = Some(text.to_owned());
    }

    /// Makes its responses announce that it is leaving.
    pub fn announce_leaving(&self) {
        self.state().announces_leaving = true;
    }

    /// Returns when each request arrived.
    #[must_use]
    pub fn arrivals(&self) -> Vec<Instant> {
        self.state().arrivals.clone()
    }

    /// Returns the number of executions of each request by its id.
    #[must_use]
    pub fn executions(&self) -> BTreeMap<String, u32> {
        self.state().executions.clone()
    }

    /// Returns the executions of requests that state their work, by request id.
    #[must_use]
    pub fn timed_executions(&self) -> Vec<(String, Execution)> {
        self.state().timed_executions.clone()
    }

    /// Returns when the last execution of a request started.
    #[must_use]
    pub fn last_execution_started_at(&self) -> Option<Instant> {
        self.state().last_execution_started_at
    }

    /// Marks the server as replaced: from now on it rejects requests as misdirected.
    pub fn replace_with(&self, successor: &str) {
        self.state().successor = Some(successor.to_owned());
    }

    /// Returns the heads of all received requests.
    #[must_use]
    pub fn heads(&self) -> Vec<String> {
        self.state().heads.clone()
    }

    /// Returns its registration entry for the store.
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
    /// Fails if the listener has no local address.
    pub fn serve(self: &Arc<Self>, listener: TcpListener) -> io::Result<net::SocketAddr> {
        let address = listener.local_addr()?;
        let worker = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let worker = worker.clone();
                tokio::spawn(async move {
                    if let Err(error) = worker.serve_connection(stream).await {
                        log::debug!(error:%; "worker: connection failed");
                    }
                });
            }
        });
        Ok(address)
    }

    async fn serve_connection(&self, mut stream: TcpStream) -> io::Result<()> {
        // Id of the request whose response is repeated.
        let mut extra_id: Option<String> = None;
        while let Some(request) = read_request(&mut stream).await? {
            let (mode, delay, announcements, retry_after) = {
                let mut state = self.state();
                if state.down_until.is_some_and(|at| Instant::now() < at) {
                    return Err(io::ErrorKind::ConnectionReset.into());
                }
                state.heads.push(request.head.clone());
                state.arrivals.push(Instant::now());
                let poison = state.poison.as_ref();
                let is_poison = poison.is_some_and(|text| request.contains(text));
                if is_poison {
                    state.down_until = Some(Instant::now() + DOWN_TIME);
                }
                match state.successor {
                    Some(_) => (Mode::Misdirected, Duration::ZERO, String::new(), None),
                    None => (
                        if is_poison { Mode::Reset } else { state.mode },
                        state.delay,
                        state.announcements(),
                        state.retry_after,
                    ),
                }
            };
            if let Some(id) = extra_id.take() {
                stream
                    .write_all(format_response("200 OK", &id, BODY).as_bytes())
                    .await?;
            }
            let rejection = match mode {
                Mode::Sheds => {
                    let retry_after = retry_after
                        .map_or_else(String::new, |seconds| format!("retry-after: {seconds}\r\n"));
                    let headers = format!("x-not-executed: 1\r\n{retry_after}");
                    Some(("503 Service Unavailable", headers))
                }
                Mode::Misdirected => Some((
                    "421 Misdirected Request",
                    "x-instance-id: other\r\n".to_owned(),
                )),
                _ => None,
            };
            if let Some((status, header_line)) = rejection {
                let id = &request.id;
                let text = format!(
                    "HTTP/1.1 {status}\r\nx-attempt-id: {id}\r\n{announcements}{header_line}content-length: 0\r\n\r\n"
                );
                stream.write_all(text.as_bytes()).await?;
                continue;
            }
            let work = Work::parse(&request.head);
            {
                let mut state = self.state();
                if let Some(work) = &work {
                    let started_at = Instant::now();
                    let ends_at = started_at + work.duration();
                    let execution = Execution {
                        started_at,
                        ends_at,
                    };
                    state.timed_executions.push((request.id.clone(), execution));
                }
                *state.executions.entry(request.id.clone()).or_default() += 1;
                state.last_execution_started_at = Some(Instant::now());
            }
            if let Some(work) = work {
                write_in_pieces(&mut stream, &request.id, work).await?;
                continue;
            }
            tokio::time::sleep(delay).await;
            let text = match mode {
                Mode::Errors => format_response("500 Internal Server Error", &request.id, "failed"),
                Mode::Foreign => format_response("200 OK", "another", BODY),
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
                    let complete = format_response("200 OK", &request.id, BODY);
                    complete[..complete.len() - BODY.len() / 2].to_owned()
                }
                Mode::Unframed => {
                    let id = &request.id;
                    format!(
                        "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-server-seal: s\r\n\r\n{BODY}"
                    )
                }
                _ => format_response("200 OK", &request.id, BODY),
            };
            let text = text.replacen("\r\n", &format!("\r\n{announcements}"), 1);
            stream.write_all(text.as_bytes()).await?;
            match mode {
                Mode::Cut | Mode::Unframed => return stream.shutdown().await,
                Mode::Extra => extra_id = Some(request.id),
                _ => {}
            }
        }
        Ok(())
    }
}

/// Executes stated work and writes its response.
async fn write_in_pieces(stream: &mut TcpStream, id: &str, work: Work) -> io::Result<()> {
    tokio::time::sleep(work.time).await;
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-server-seal: s\r\ncontent-length: {}\r\n\r\n",
        work.response_bytes
    );
    stream.write_all(head.as_bytes()).await?;
    let mut left = work.response_bytes;
    for piece in 0..work.pieces {
        if piece > 0 {
            tokio::time::sleep(Work::PIECE_PAUSE).await;
        }
        let count = match piece + 1 == work.pieces {
            true => left,
            false => work.response_bytes / u64::from(work.pieces),
        };
        left -= count;
        stream.write_all(&vec![b'r'; count as usize]).await?;
    }
    Ok(())
}

fn format_response(status: &str, id: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nx-attempt-id: {id}\r\nx-server-seal: s\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Reads a complete request; `None` if the connection was closed or the request is too large.
async fn read_request(stream: &mut TcpStream) -> io::Result<Option<Request>> {
    let mut bytes = Vec::new();
    let mut chunk = vec![0; 64 << 10];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = header(head, "content-length").and_then(|l| l.parse().ok());
            let is_whole = match header(head, "transfer-encoding") {
                Some(_) => body.ends_with("0\r\n\r\n"),
                None => body.len() >= length.unwrap_or(0),
            };
            if is_whole {
                let id = header(head, "x-attempt-id").unwrap_or_default();
                let (head, body) = (head.to_owned(), body.to_owned());
                return Ok(Some(Request { head, body, id }));
            }
        }
        let count = stream.read(&mut chunk).await?;
        if count == 0 || bytes.len() > MAX_REQUEST_BYTES {
            return Ok(None);
        }
        bytes.extend_from_slice(&chunk[..count]);
    }
}

/// Returns the value of a header of a request head.
fn header(head: &str, name: &str) -> Option<String> {
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    let found = lines.find(|(n, _)| n.eq_ignore_ascii_case(name))?;
    Some(found.1.trim().to_owned())
}
