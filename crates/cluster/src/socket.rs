//! Sockets of the peer listener and of connections to peers.

use std::io;
use std::net;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};

/// Maximum number of ports tried if the system chooses the TCP port and the same UDP port is taken.
const MAX_BIND_ATTEMPTS: usize = 32;

/// Time without an acknowledgement after which the kernel closes a connection.
const USER_TIMEOUT: Duration = Duration::from_secs(5);

/// Idle time before the first TCP keepalive probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);

/// Binds TCP and UDP to the same address; port 0 lets the system choose one for both.
pub(crate) async fn bind(address: net::SocketAddr) -> io::Result<(TcpListener, UdpSocket)> {
    let mut last_error = None;
    for _ in 0..MAX_BIND_ATTEMPTS {
        let tcp = TcpListener::bind(address).await?;
        match UdpSocket::bind(tcp.local_addr()?).await {
            Ok(udp) => return Ok((tcp, udp)),
            Err(error) if address.port() != 0 => return Err(error),
            Err(error) => last_error = Some(error),
        }
    }
    Err(last_error.unwrap_or_else(|| io::Error::from(io::ErrorKind::AddrInUse)))
}

/// Connects to `to` from the IP address `from`, so that the peer sees the address of a member.
pub(crate) async fn dial(from: net::IpAddr, to: net::SocketAddr) -> io::Result<TcpStream> {
    let socket = match to {
        net::SocketAddr::V4(_) => TcpSocket::new_v4()?,
        net::SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    if !from.is_unspecified() && from.is_ipv4() == to.is_ipv4() {
        socket.bind(net::SocketAddr::new(from, 0))?;
    }
    let stream = socket.connect(to).await?;
    set_options(&stream)?;
    Ok(stream)
}

/// Sets TCP options by which the kernel detects an unresponsive connection; disables Nagle's
/// algorithm.
pub(crate) fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}
