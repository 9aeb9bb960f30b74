//! A server that follows a script of reads and writes on every connection.

use std::net;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::fixture;

/// One step of a server's script.
#[derive(Clone, Debug)]
pub enum Step {
    /// Reads a number of bytes.
    Read(usize),
    /// Reads until the end of a head.
    ReadHead,
    /// Writes bytes.
    Write(Vec<u8>),
    /// Writes the same bytes again and again until the peer closes the connection.
    WriteEndlessly(Vec<u8>),
    /// Waits for [`ScriptedServer::resume`].
    Wait,
    /// Waits for a time.
    Pause(Duration),
    /// Reads until the peer closes the connection.
    ReadEnd,
    /// Closes the connection with a reset.
    Reset,
}

#[derive(Default)]
struct Log {
    connections: AtomicU64,
    received_bytes: AtomicU64,
    written_bytes: AtomicU64,
    heads: AtomicU64,
    closed: AtomicU64,
    bytes: Mutex<Vec<u8>>,
}

/// A scripted server; every connection follows the same script.
pub struct ScriptedServer {
    pub address: net::SocketAddr,
    log: Arc<Log>,
    resume: watch::Sender<bool>,
}

impl ScriptedServer {
    pub async fn start(script: Vec<Step>) -> Self {
        let listener = fixture::bind_listener().await;
        let address = listener.local_addr().unwrap();
        let log = Arc::new(Log::default());
        let (resume, resumed) = watch::channel(false);
        tokio::spawn({
            let log = log.clone();
            async move {
                while let Ok((stream, _)) = listener.accept().await {
                    log.connections.fetch_add(1, Ordering::SeqCst);
                    tokio::spawn(run(stream, script.clone(), log.clone(), resumed.clone()));
                }
            }
        });
        Self {
            address,
            log,
            resume,
        }
    }

    /// Ends [`Step::Wait`] on all connections.
    pub fn resume(&self) {
        self.resume.send_replace(true);
    }

    /// Number of bytes received on all connections.
    pub fn received_bytes(&self) -> u64 {
        self.log.received_bytes.load(Ordering::SeqCst)
    }

    /// Number of request heads received completely; each one starts work.
    pub fn heads(&self) -> u64 {
        self.log.heads.load(Ordering::SeqCst)
    }

    pub fn connections(&self) -> u64 {
        self.log.connections.load(Ordering::SeqCst)
    }

    /// Number of bytes written by [`Step::WriteEndlessly`] on all connections.
    pub fn written_bytes(&self) -> u64 {
        self.log.written_bytes.load(Ordering::SeqCst)
    }

    /// Number of connections that the peer closed at [`Step::ReadEnd`] or
    /// [`Step::WriteEndlessly`].
    pub fn closed(&self) -> u64 {
        self.log.closed.load(Ordering::SeqCst)
    }

    /// Returns everything that was received, as text.
    pub fn received_text(&self) -> String {
        let bytes = self.log.bytes.lock();
        let bytes = bytes.unwrap_or_else(PoisonError::into_inner);
        String::from_utf8_lossy(&bytes).into_owned()
    }
}

impl Log {
    fn record(&self, bytes: &[u8]) {
        self.received_bytes
            .fetch_add(bytes.len() as u64, Ordering::SeqCst);
        let mut bytes_received = self.bytes.lock().unwrap_or_else(PoisonError::into_inner);
        bytes_received.extend_from_slice(bytes);
    }
}

async fn run(
    mut stream: TcpStream,
    script: Vec<Step>,
    log: Arc<Log>,
    mut resumed: watch::Receiver<bool>,
) {
    for step in script {
        match step {
            Step::Read(count) => {
                let mut left = count;
                let mut buffer = vec![0; 8192];
                while left > 0 {
                    let limit = left.min(buffer.len());
                    match stream.read(&mut buffer[..limit]).await {
                        Ok(0) | Err(_) => return,
                        Ok(n) => {
                            left -= n;
                            log.record(&buffer[..n]);
                        }
                    }
                }
            }
            Step::ReadHead => {
                let mut head = Vec::new();
                while !head.ends_with(b"\r\n\r\n") {
                    let mut byte = [0];
                    match stream.read(&mut byte).await {
                        Ok(0) | Err(_) => return,
                        Ok(_) => {
                            head.push(byte[0]);
                            log.record(&byte);
                        }
                    }
                }
                log.heads.fetch_add(1, Ordering::SeqCst);
            }
            Step::Write(bytes) => {
                if stream.write_all(&bytes).await.is_err() {
                    return;
                }
            }
            Step::WriteEndlessly(bytes) => {
                while let Ok(written) = stream.write(&bytes).await {
                    log.written_bytes
                        .fetch_add(written as u64, Ordering::SeqCst);
                }
                log.closed.fetch_add(1, Ordering::SeqCst);
            }
            Step::Wait => {
                let _ = resumed.wait_for(|resume| *resume).await;
            }
            Step::Pause(time) => tokio::time::sleep(time).await,
            Step::ReadEnd => {
                let mut buffer = vec![0; 8192];
                loop {
                    match stream.read(&mut buffer).await {
                        Ok(0) | Err(_) => break,
                        Ok(n) => log.record(&buffer[..n]),
                    }
                }
                log.closed.fetch_add(1, Ordering::SeqCst);
            }
            Step::Reset => {
                let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                return;
            }
        }
    }
}

/// A step that writes a complete response.
pub fn response(body: &str) -> Step {
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    Step::Write([head.as_bytes(), body.as_bytes()].concat())
}

/// A script that answers one request with host routing with this status, these further header lines
/// and no body.
pub fn host_response(status: &str, headers: &str) -> Vec<Step> {
    let text = format!(
        "HTTP/1.1 {status}\r\nx-request: 1\r\nconnection: close\r\n{headers}content-length: 0\r\n\r\n"
    );
    vec![Step::ReadHead, Step::Write(text.into_bytes())]
}
