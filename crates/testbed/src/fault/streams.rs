//! Connection forwarding of a link.

use std::io;
use std::net;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use super::{link, rule};

/// Maximum size of a chunk read at once.
const MAX_CHUNK_BYTES: usize = 16 << 10;

/// Maximum number of buffered chunks in one direction.
const MAX_BUFFERED_CHUNKS: usize = 64;

/// Retry delay after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);

/// Accepts connections and forwards their bytes.
pub(crate) async fn run(link: Arc<link::Link>, listener: TcpListener) {
    loop {
        let (stream, source) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!(error:%; "fault: accept failed");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
                continue;
            }
        };
        let number = link.counters.connections.fetch_add(1, Ordering::SeqCst) + 1;
        let connection = Connection {
            link: link.clone(),
            number,
            source: source.ip(),
        };
        let stop = link.stop_token();
        tokio::spawn(stop.run_until_cancelled_owned(async move {
            if let Err(error) = connection.serve(stream).await {
                log::debug!(peer:% = source, error:%; "fault: connection failed");
            }
        }));
    }
}

/// An accepted connection.
#[derive(Clone)]
struct Connection {
    link: Arc<link::Link>,
    number: u64,
    source: net::IpAddr,
}

impl Connection {
    fn flow(&self, direction: rule::Direction) -> rule::Flow {
        self.link.flow(direction, self.source)
    }

    /// Returns how the connection is to be terminated, if it is.
    fn termination(&self) -> Option<rule::End> {
        let state = self.link.state.borrow();
        if self.number < state.reset_below {
            return Some(rule::End::Reset);
        }
        if self.number < state.closed_below {
            return Some(rule::End::Close);
        }
        (self.number < state.silent_below).then_some(rule::End::Silence)
    }

    async fn serve(&self, downstream: TcpStream) -> io::Result<()> {
        downstream.set_nodelay(true)?;
        if self.flow(rule::Direction::ToTarget).refuse {
            return reset_on_drop(&downstream);
        }
        let upstream = tokio::select! {
            end = self.wait_for_termination() => return self.terminate(end, &downstream).await,
            upstream = self.connect_when_uncut() => match upstream {
                Ok(upstream) => upstream,
                Err(error) => {
                    reset_on_drop(&downstream)?;
                    return Err(error);
                }
            },
        };
        self.forward_both(&downstream, &upstream).await
    }

    /// Connects to the target once neither direction is cut.
    async fn connect_when_uncut(&self) -> io::Result<TcpStream> {
        let mut state = self.link.state.subscribe();
        loop {
            let directions = [rule::Direction::ToTarget, rule::Direction::FromTarget];
            let is_uncut = directions.into_iter().all(|d| !self.flow(d).cut);
            let target = self.link.target();
            if let (true, Some(target)) = (is_uncut, target) {
                return self.connect(target).await;
            }
            wait_for_change(&mut state).await;
        }
    }

    async fn connect(&self, target: net::SocketAddr) -> io::Result<TcpStream> {
        let socket = match target {
            net::SocketAddr::V4(_) => TcpSocket::new_v4()?,
            net::SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.bind(link::local_address(self.source, target))?;
        let stream = socket.connect(target).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    async fn wait_for_termination(&self) -> rule::End {
        let mut state = self.link.state.subscribe();
        loop {
            if let Some(end) = self.termination() {
                return end;
            }
            wait_for_change(&mut state).await;
        }
    }

    /// Terminates a connection that has no upstream connection yet.
    async fn terminate(&self, end: rule::End, downstream: &TcpStream) -> io::Result<()> {
        match end {
            rule::End::Reset => reset_on_drop(downstream),
            rule::End::Close => Ok(()),
            rule::End::Silence => std::future::pending().await,
        }
    }

    /// Forwards bytes in both directions until both sides have closed or the connection is
    /// terminated.
    async fn forward_both(&self, downstream: &TcpStream, upstream: &TcpStream) -> io::Result<()> {
        let forwarding = async {
            let to_target = self.forward(rule::Direction::ToTarget, downstream, upstream);
            let from_target = self.forward(rule::Direction::FromTarget, upstream, downstream);
            tokio::try_join!(to_target, from_target)
        };
        let stop = tokio::select! {
            end = self.wait_for_termination() => Stop::End(end),
            forwarded = forwarding => match forwarded {
                Ok(_) => return Ok(()),
                Err(stop) => stop,
            },
        };
        match stop {
            Stop::End(rule::End::Close) => Ok(()),
            Stop::End(rule::End::Silence) => std::future::pending().await,
            Stop::End(rule::End::Reset) => {
                reset_on_drop(downstream).and_then(|()| reset_on_drop(upstream))
            }
            Stop::Io(error) => {
                reset_on_drop(downstream)?;
                reset_on_drop(upstream)?;
                Err(error)
            }
        }
    }

    /// Waits while a direction is cut, and returns its current flow.
    async fn wait_until_uncut(&self, direction: rule::Direction) -> rule::Flow {
        let mut state = self.link.state.subscribe();
        loop {
            let flow = self.flow(direction);
            if !flow.cut {
                return flow;
            }
            wait_for_change(&mut state).await;
        }
    }

    async fn forward(
        &self,
        direction: rule::Direction,
        from: &TcpStream,
        to: &TcpStream,
    ) -> Result<(), Stop> {
        let (sender, receiver) = mpsc::channel(MAX_BUFFERED_CHUNKS);
        let read = self.read_chunks(direction, from, sender);
        let write = self.write_chunks(direction, receiver, to);
        let ((), ()) = tokio::try_join!(read, write)?;
        Ok(())
    }

    /// Reads chunks and queues each with the time at which it may be written.
    async fn read_chunks(
        &self,
        direction: rule::Direction,
        from: &TcpStream,
        sender: mpsc::Sender<(Instant, Bytes)>,
    ) -> Result<(), Stop> {
        loop {
            from.readable().await?;
            let flow = self.wait_until_uncut(direction).await;
            let mut chunk = BytesMut::with_capacity(MAX_CHUNK_BYTES);
            let length = match from.try_read_buf(&mut chunk) {
                Ok(length) => length,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => continue,
                Err(error) => return Err(error.into()),
            };
            let send_at = Instant::now() + flow.delay;
            if length == 0 || sender.send((send_at, chunk.freeze())).await.is_err() {
                return Ok(());
            }
        }
    }

    /// Writes the queued chunks, and shuts down the write side after the last.
    async fn write_chunks(
        &self,
        direction: rule::Direction,
        mut receiver: mpsc::Receiver<(Instant, Bytes)>,
        to: &TcpStream,
    ) -> Result<(), Stop> {
        let mut forwarded = 0;
        while let Some((send_at, mut chunk)) = receiver.recv().await {
            tokio::time::sleep_until(send_at).await;
            let flow = self.wait_until_uncut(direction).await;
            let remaining = flow
                .limit
                .map(|(bytes, end)| (bytes.saturating_sub(forwarded), end));
            let reached_limit = remaining.filter(|(remaining, _)| *remaining <= chunk.len() as u64);
            if let Some((remaining, _)) = reached_limit {
                chunk.truncate(usize::try_from(remaining).unwrap_or(usize::MAX));
            }
            write_all(to, &chunk).await?;
            forwarded += chunk.len() as u64;
            let counter = &self.link.counters.bytes[direction as usize];
            counter.fetch_add(chunk.len() as u64, Ordering::SeqCst);
            if let Some((_, end)) = reached_limit {
                return Err(Stop::End(end));
            }
            if let Some(rate) = flow.bytes_per_second {
                let seconds = chunk.len() as f64 / rate as f64;
                tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
            }
        }
        self.wait_until_uncut(direction).await;
        socket2::SockRef::from(to).shutdown(net::Shutdown::Write)?;
        Ok(())
    }
}

/// Why forwarding stopped.
enum Stop {
    End(rule::End),
    Io(io::Error),
}

impl From<io::Error> for Stop {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

async fn write_all(to: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        to.writable().await?;
        match to.try_write(bytes) {
            Ok(written) => bytes = &bytes[written..],
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Makes a stream send a reset when it is dropped.
fn reset_on_drop(stream: &TcpStream) -> io::Result<()> {
    socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO))
}

/// Waits until the state of the link changes.
async fn wait_for_change(state: &mut watch::Receiver<link::State>) {
    if state.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}
