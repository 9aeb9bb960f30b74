//! A server of the users' platform, as its pages describe a sound one.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use monsooncart_testbed::registry::Registry;
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt as _;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};

use crate::http;
use crate::record::Record;

/// Size of the queue, as a multiple of the slots.
const QUEUE_RATIO: usize = 4;

/// When a request reached a server, and what became of it.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Attempt id.
    pub id: String,
    pub server: String,
    /// Tenant that the system named.
    pub tenant: String,
    pub target: String,
    /// Local address of the machine that sent it.
    pub from: SocketAddr,
    /// Seconds of the run at which the head was read.
    pub head_at: f64,
    /// Seconds of the run at which the server began to work on it.
    pub run_at: Option<f64>,
}

/// Decides what a server does with a request that it begins to run.
pub type Behaviour = dyn Fn(&http::Message) -> Action + Send + Sync;

/// What a server does with a request.
#[derive(Clone, Debug)]
pub enum Action {
    /// Works for a time and answers 200 with this body.
    Work(Duration, String),
    /// Crashes, and is back after this time.
    Crash(Duration),
}

/// Properties of a server.
#[derive(Clone, Debug)]
pub struct Spec {
    pub service: &'static str,
    pub zone: &'static str,
    pub address: SocketAddr,
    pub slots: usize,
    /// Whether it starts again under the id that it had.
    pub keeps_id: bool,
    /// Seconds between two beats.
    pub beat_s: f64,
}

#[derive(Debug)]
struct Life {
    id: String,
    born: u64,
    /// Cancelled when this lifetime ends.
    ended: watch::Sender<bool>,
}

/// A server, over its lifetimes.
pub struct Server {
    pub spec: Spec,
    registry: Arc<Registry>,
    record: Record,
    behaviour: Box<Behaviour>,
    life: Mutex<Life>,
    lives: AtomicU64,
    number: usize,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    /// Seconds of the run at which it crashed, with the id of the request.
    crashes: Mutex<Vec<(f64, String)>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Server {
    /// Starts a server and registers it.
    pub async fn start(
        number: usize,
        spec: Spec,
        registry: Arc<Registry>,
        record: Record,
        arrivals: Arc<Mutex<Vec<Arrival>>>,
        behaviour: Box<Behaviour>,
    ) -> std::io::Result<Arc<Self>> {
        let server = Arc::new(Self {
            spec,
            registry,
            record,
            behaviour,
            life: Mutex::new(Life {
                id: String::new(),
                born: 0,
                ended: watch::Sender::new(true),
            }),
            lives: AtomicU64::new(0),
            number,
            arrivals,
            crashes: Mutex::default(),
        });
        server.begin().await?;
        Ok(server)
    }

    /// Id of the current lifetime.
    pub fn id(&self) -> String {
        lock(&self.life).id.clone()
    }

    /// Seconds of the run at which it crashed, with the id of the request.
    pub fn crashes(&self) -> Vec<(f64, String)> {
        lock(&self.crashes).clone()
    }

    /// Its entry in the store.
    pub fn entry(&self, state: &str) -> Value {
        let life = lock(&self.life);
        json!({
            "address": self.spec.address.to_string(),
            "born": life.born,
            "info": {
                "backend": self.spec.service,
                "config_version": "v1",
                "max_in_flight": self.spec.slots,
                "zone": self.spec.zone,
            },
            "status": {"sequence": 1, "state": state, "warmup_left_s": 0},
        })
    }

    /// Begins a lifetime, with a new id.
    async fn begin(self: &Arc<Self>) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.spec.address).await?;
        let lives = self.lives.fetch_add(1, Ordering::Relaxed);
        let lives = if self.spec.keeps_id { 0 } else { lives };
        let id = format!("i-{:02}{:02}", self.number, lives);
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis() as u64;
        let ended = watch::Sender::new(false);
        let mut end = ended.subscribe();
        *lock(&self.life) = Life {
            id: id.clone(),
            born,
            ended,
        };
        self.registry.put("servers", &id, &self.entry("ready"));
        let server = self.clone();
        tokio::spawn(async move {
            let lifetime = end.clone();
            let slots = Arc::new(Semaphore::new(server.spec.slots));
            let places = Arc::new(Semaphore::new(server.spec.slots * (1 + QUEUE_RATIO)));
            loop {
                tokio::select! {
                    accepted = listener.accept() => {
                        let Ok((stream, from)) = accepted else { continue };
                        let (server, id) = (server.clone(), id.clone());
                        let (slots, places) = (slots.clone(), places.clone());
                        let mut end = lifetime.clone();
                        tokio::spawn(async move {
                            let socket = socket2::SockRef::from(&stream);
                            // A lifetime that ends resets its connections.
                            let _ = socket.set_linger(Some(Duration::ZERO));
                            let _ = stream.set_nodelay(true);
                            tokio::select! {
                                _ = server.serve(stream, from, &id, &slots, &places) => {}
                                _ = end.wait_for(|ended| *ended) => {}
                            }
                        });
                    }
                    _ = end.wait_for(|ended| *ended) => return,
                }
            }
        });
        Ok(())
    }

    /// Crashes: its connections are reset and its port has no listener; it is back after `down`, and
    /// its old entry lapses after three beats.
    fn crash(self: &Arc<Self>, request: &str, down: Duration) {
        let life = lock(&self.life);
        if life.ended.send_replace(true) {
            return;
        }
        let old = life.id.clone();
        drop(life);
        lock(&self.crashes).push((self.record.now(), request.to_owned()));
        self.record
            .say(format!("server {old} crashed on request {request}"));
        let lapse = Duration::from_secs_f64(self.spec.beat_s * 3.0);
        if !self.spec.keeps_id || down > lapse {
            let (server, id) = (self.clone(), old.clone());
            tokio::spawn(async move {
                tokio::time::sleep(lapse).await;
                server.registry.delete("servers", &id);
            });
        }
        let server = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(down).await;
            while let Err(error) = server.begin().await {
                server.record.say(format!("server does not start: {error}"));
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
        });
    }

    /// Exits for good: its connections are reset and its port has no listener.
    pub fn exit(&self) {
        let life = lock(&self.life);
        if !life.ended.send_replace(true) {
            self.record.say(format!("server {} exits", life.id));
        }
    }

    async fn serve(
        self: &Arc<Self>,
        stream: TcpStream,
        from: SocketAddr,
        id: &str,
        slots: &Semaphore,
        places: &Semaphore,
    ) -> std::io::Result<()> {
        let mut connection = http::Connection::new(stream);
        while let Some(head) = connection.read_head().await? {
            let mut request = http::Message {
                head,
                body: Vec::new(),
            };
            let head_at = self.record.now();
            let attempt = request.header("x-attempt-id").unwrap_or("").to_owned();
            let is_status_check = request.target().1 == "/health";
            let index = if is_status_check {
                None
            } else {
                let mut arrivals = lock(&self.arrivals);
                arrivals.push(Arrival {
                    id: attempt.clone(),
                    server: id.to_owned(),
                    tenant: request.header("x-tenant").unwrap_or("").to_owned(),
                    target: request.target().1.to_owned(),
                    from,
                    head_at,
                    run_at: None,
                });
                Some(arrivals.len() - 1)
            };
            let Some(body) = connection.read_body(&request.head).await? else {
                return Ok(());
            };
            request.body = body;
            let expected = request.header("x-expect-instance");
            if expected.is_some_and(|expected| expected != id) {
                let text = refusal("421 Misdirected Request", &attempt);
                connection.stream.write_all(text.as_bytes()).await?;
                continue;
            }
            let Ok(_place) = places.try_acquire() else {
                let text = refusal("503 Service Unavailable", &attempt);
                connection.stream.write_all(text.as_bytes()).await?;
                continue;
            };
            let slot = tokio::select! {
                slot = slots.acquire() => slot,
                // It drops a request whose connection closes.
                () = connection.closed() => return Ok(()),
            };
            let Ok(_slot) = slot else { return Ok(()) };
            if is_status_check {
                let text =
                    format!("HTTP/1.1 200 OK\r\nx-instance-id: {id}\r\ncontent-length: 0\r\n\r\n");
                connection.stream.write_all(text.as_bytes()).await?;
                continue;
            }
            if let Some(index) = index {
                lock(&self.arrivals)[index].run_at = Some(self.record.now());
            }
            match (self.behaviour)(&request) {
                Action::Crash(down) => {
                    self.crash(&attempt, down);
                    return Ok(());
                }
                Action::Work(work, body) => {
                    tokio::select! {
                        () = tokio::time::sleep(work) => {}
                        () = connection.closed() => return Ok(()),
                    }
                    let text = format!(
                        "HTTP/1.1 200 OK\r\nx-attempt-id: {attempt}\r\nx-server-seal: {id}\r\ncontent-length: {}\r\n\r\n{body}",
                        body.len()
                    );
                    connection.stream.write_all(text.as_bytes()).await?;
                }
            }
        }
        Ok(())
    }
}

fn refusal(status: &str, attempt: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nx-attempt-id: {attempt}\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n"
    )
}
