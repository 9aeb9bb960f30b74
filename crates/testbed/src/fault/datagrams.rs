//! Datagram forwarding of a link.

use std::collections::hash_map::Entry;
use std::net;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bytes::Bytes;
use monsooncart_types::map;
use tokio::net::UdpSocket;

use super::{link, rule};

const MAX_DATAGRAM_BYTES: usize = 64 << 10;

/// Time without a datagram after which a session is removed.
const SESSION_IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// Forwarding state of one source address.
struct Session {
    upstream: Arc<UdpSocket>,
    target: net::SocketAddr,
    last_used_at: Instant,
    /// Forwards the datagrams that the target sends to the source.
    receive_task: tokio::task::JoinHandle<()>,
}

impl Drop for Session {
    fn drop(&mut self) {
        self.receive_task.abort();
    }
}

/// Forwards datagrams, with one upstream socket for each source, so that the target can respond to
/// it.
pub(crate) async fn run(link: Arc<link::Link>, socket: UdpSocket) {
    let socket = Arc::new(socket);
    let mut sessions: map::Map<net::SocketAddr, Session> = map::Map::default();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, source)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let bytes = Bytes::copy_from_slice(&buffer[..length]);
        let Some(target) = link.target() else {
            link.counters.datagrams_lost.fetch_add(1, Ordering::SeqCst);
            continue;
        };
        sessions
            .retain(|_, s| s.last_used_at.elapsed() < SESSION_IDLE_TIMEOUT && s.target == target);
        let session = match sessions.entry(source) {
            Entry::Occupied(occupied) => occupied.into_mut(),
            Entry::Vacant(vacant) => match open_session(&link, &socket, source, target).await {
                Ok(session) => vacant.insert(session),
                Err(error) => {
                    log::warn!(peer:% = source, error:%; "fault: could not open upstream socket");
                    continue;
                }
            },
        };
        session.last_used_at = Instant::now();
        let upstream = session.upstream.clone();
        forward_datagram(
            &link,
            rule::Direction::ToTarget,
            source.ip(),
            bytes,
            upstream,
            target,
        );
    }
}

async fn open_session(
    link: &Arc<link::Link>,
    socket: &Arc<UdpSocket>,
    source: net::SocketAddr,
    target: net::SocketAddr,
) -> std::io::Result<Session> {
    let upstream = Arc::new(UdpSocket::bind(link::local_address(source.ip(), target)).await?);
    let (from, to, link) = (upstream.clone(), socket.clone(), link.clone());
    let receive_task = tokio::spawn(async move {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        while let Ok((length, _)) = from.recv_from(&mut buffer).await {
            let bytes = Bytes::copy_from_slice(&buffer[..length]);
            let direction = rule::Direction::FromTarget;
            forward_datagram(&link, direction, source.ip(), bytes, to.clone(), source);
        }
    });
    Ok(Session {
        upstream,
        target,
        last_used_at: Instant::now(),
        receive_task,
    })
}

/// Forwards a datagram, subject to the rules.
fn forward_datagram(
    link: &Arc<link::Link>,
    direction: rule::Direction,
    source: net::IpAddr,
    bytes: Bytes,
    socket: Arc<UdpSocket>,
    to: net::SocketAddr,
) {
    let flow = link.flow(direction, source);
    if flow.cut || link.draw(flow.drop_share) {
        link.counters.datagrams_lost.fetch_add(1, Ordering::SeqCst);
        return;
    }
    link.counters.datagrams[direction as usize].fetch_add(1, Ordering::SeqCst);
    if flow.delay.is_zero() {
        // A datagram that the kernel does not accept counts as lost in the network.
        let _ = socket.try_send_to(&bytes, to);
        return;
    }
    tokio::spawn(async move {
        tokio::time::sleep(flow.delay).await;
        let _ = socket.send_to(&bytes, to).await;
    });
}
