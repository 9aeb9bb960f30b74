//! Stand-in of a backend server.

use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record;
use crate::store;

/// Time without a ping after which the store removes the entry of a server: three intervals of 1.5 s.
const ENTRY_LIFETIME: Duration = Duration::from_millis(4500);

/// Requests that wait beyond the slots; further ones are rejected as not executed.
const QUEUE: usize = 24;

/// What a server does with a request.
pub enum Reply {
    /// Answers with this status and body.
    Answer(u16, Vec<u8>),
    /// The process ends.
    Crash,
    /// The handler has dealt with the connection, which is closed.
    Close,
}

/// Decides about a request. It reads the body itself.
pub type Handler =
    Arc<dyn Fn(&Server, &http::Head, &mut http::Connection) -> Reply + Send + Sync + 'static>;

/// What a server is.
#[derive(Clone, Copy)]
pub struct Options {
    pub service: &'static str,
    pub zone: &'static str,
    pub slots: usize,
}

/// A server and its lifetimes.
pub struct Server {
    pub number: usize,
    pub address: SocketAddr,
    pub crashes: AtomicUsize,
    options: Options,
    store: Arc<store::Store>,
    handler: Handler,
    lifetime: AtomicU64,
    in_flight: AtomicUsize,
    connections: Mutex<Vec<TcpStream>>,
}

impl Server {
    pub fn start(
        number: usize,
        address: SocketAddr,
        options: Options,
        store: &Arc<store::Store>,
        handler: &Handler,
    ) -> Arc<Self> {
        let server = Arc::new(Self {
            number,
            address,
            crashes: AtomicUsize::new(0),
            options,
            store: store.clone(),
            handler: handler.clone(),
            lifetime: AtomicU64::new(0),
            in_flight: AtomicUsize::new(0),
            connections: Mutex::default(),
        });
        server.begin();
        server
    }

    /// Id of the current lifetime.
    pub fn id(&self) -> String {
        self.id_of(self.lifetime.load(Ordering::SeqCst))
    }

    fn id_of(&self, lifetime: u64) -> String {
        format!("i-{:04x}{lifetime:04x}", self.number)
    }

    /// Starts a lifetime: listens and writes the entry.
    fn begin(self: &Arc<Self>) {
        let deadline = Instant::now() + Duration::from_secs(5);
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(error) if Instant::now() >= deadline => {
                    panic!("server cannot be bound: {error}")
                }
                Err(_) => thread::sleep(Duration::from_millis(10)),
            }
        };
        listener.set_nonblocking(true).expect("listener is set up");
        let lifetime = self.lifetime.fetch_add(1, Ordering::SeqCst) + 1;
        let server = self.clone();
        thread::spawn(move || {
            while server.lifetime.load(Ordering::SeqCst) == lifetime {
                match listener.accept() {
                    Ok((stream, _)) => server.accept(stream, lifetime),
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        self.write_entry("ready");
    }

    /// Writes the entry of the current lifetime.
    pub fn write_entry(&self, state: &str) -> f64 {
        let entry = format!(
            "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"backend\":\"{}\",\"config_version\":\"v1\",\
             \"zone\":\"{}\",\"max_in_flight\":{}}},\"status\":{{\"state\":\"{state}\",\"sequence\":1,\
             \"warmup_left_s\":0}}}}",
            self.address,
            record::unix_millis(),
            self.options.service,
            self.options.zone,
            self.options.slots
        );
        self.store.put("servers", &self.id(), &entry)
    }

    fn accept(self: &Arc<Self>, stream: TcpStream, lifetime: u64) {
        let _ = stream.set_nonblocking(false);
        if let Ok(clone) = stream.try_clone() {
            let mut connections = self.connections.lock().unwrap();
            connections.retain(|c| c.peer_addr().is_ok());
            connections.push(clone);
        }
        let server = self.clone();
        thread::spawn(move || {
            let mut connection = http::Connection::new(stream);
            server.serve(&mut connection, lifetime);
            let _ = connection.stream().shutdown(Shutdown::Both);
        });
    }

    fn serve(self: &Arc<Self>, connection: &mut http::Connection, lifetime: u64) {
        connection.set_read_timeout(Duration::from_secs(20));
        while let Ok(Some(head)) = connection.read_head() {
            if self.lifetime.load(Ordering::SeqCst) != lifetime {
                return;
            }
            let id = self.id_of(lifetime);
            let attempt = head.header("x-attempt-id").unwrap_or_default().to_owned();
            if head.target() == "/health" {
                let text =
                    format!("HTTP/1.1 200 OK\r\nX-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n");
                if connection.write(text.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let refusal = match head.header("x-expect-instance") {
                Some(expected) if expected != id => Some("421 Misdirected Request"),
                _ if attempt.is_empty() => Some("400 Bad Request"),
                _ if self.in_flight.load(Ordering::SeqCst) >= self.options.slots + QUEUE => {
                    Some("503 Service Unavailable")
                }
                _ => None,
            };
            if let Some(refusal) = refusal {
                if connection.read_body(&head, false).is_err() {
                    return;
                }
                let text = format!(
                    "HTTP/1.1 {refusal}\r\nX-Not-Executed: 1\r\nX-Instance-Id: {id}\r\n\
                     X-Attempt-Id: {attempt}\r\nContent-Length: 0\r\n\r\n"
                );
                if connection.write(text.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            self.in_flight.fetch_add(1, Ordering::SeqCst);
            let reply = (self.handler)(self, &head, connection);
            self.in_flight.fetch_sub(1, Ordering::SeqCst);
            match reply {
                Reply::Answer(status, body) => {
                    let head = answer_head(status, &attempt, body.len() as u64);
                    if connection.write(head.as_bytes()).is_err()
                        || connection.write(&body).is_err()
                    {
                        return;
                    }
                }
                Reply::Crash => return self.crash(lifetime, Duration::from_secs(3)),
                Reply::Close => return,
            }
        }
    }

    /// Ends the lifetime at once. The server is back after `down`, with another id; the store removes
    /// the entry of the old lifetime when its pings have been missing.
    fn crash(self: &Arc<Self>, lifetime: u64, down: Duration) {
        let id = self.id_of(lifetime);
        let ends = |l| (l == lifetime).then_some(l + 1);
        if self
            .lifetime
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, ends)
            .is_err()
        {
            // It has crashed already.
            return;
        }
        self.crashes.fetch_add(1, Ordering::SeqCst);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        record::note(format!("server {id}: crashed"));
        let (server, store) = (self.clone(), self.store.clone());
        thread::spawn(move || {
            thread::sleep(down);
            server.begin();
            record::note(format!("server {id}: back as {}", server.id()));
            thread::sleep(ENTRY_LIFETIME.saturating_sub(down));
            store.delete("servers", &id);
        });
    }
}

/// Head of a server's answer.
pub fn answer_head(status: u16, attempt: &str, length: u64) -> String {
    let reason = if status == 200 { "OK" } else { "Error" };
    format!(
        "HTTP/1.1 {status} {reason}\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: seal-{attempt}\r\n\
         Content-Length: {length}\r\n\r\n"
    )
}
