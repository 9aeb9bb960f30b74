//! A link: its listeners, its rules and its traffic counters.

use std::net;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::{datagrams, rule, streams};

/// Maximum number of attempts to find a port that is free for both TCP and UDP, if the system
/// selects it.
const MAX_BIND_ATTEMPTS: usize = 32;

/// What a link does with its traffic, as last set.
#[derive(Clone, Debug, Default)]
pub(crate) struct State {
    pub(crate) target: Option<net::SocketAddr>,
    pub(crate) rules: Vec<rule::Rule>,
    /// Connections with a number below this are closed.
    pub(crate) closed_below: u64,
    /// Connections with a number below this are reset.
    pub(crate) reset_below: u64,
    /// Connections with a number below this are silent.
    pub(crate) silent_below: u64,
}

/// Traffic forwarded by a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Counts {
    /// Connections accepted.
    pub connections: u64,
    /// Bytes of connections forwarded to the target.
    pub bytes_to_target: u64,
    /// Bytes of connections forwarded from the target.
    pub bytes_from_target: u64,
    /// Datagrams forwarded to the target.
    pub datagrams_to_target: u64,
    /// Datagrams forwarded from the target.
    pub datagrams_from_target: u64,
    /// Datagrams dropped.
    pub datagrams_lost: u64,
}

#[derive(Debug, Default)]
pub(crate) struct Counters {
    pub(crate) connections: AtomicU64,
    /// Indexed by direction.
    pub(crate) bytes: [AtomicU64; 2],
    /// Indexed by direction.
    pub(crate) datagrams: [AtomicU64; 2],
    pub(crate) datagrams_lost: AtomicU64,
}

/// A listener whose traffic is forwarded to a target.
pub struct Link {
    name: String,
    address: net::SocketAddr,
    pub(crate) state: watch::Sender<State>,
    pub(crate) counters: Counters,
    rng: Mutex<StdRng>,
    stop: CancellationToken,
}

async fn bind_tcp_and_udp(listen: net::SocketAddr) -> std::io::Result<(TcpListener, UdpSocket)> {
    let mut last_error = None;
    for _ in 0..MAX_BIND_ATTEMPTS {
        let tcp = TcpListener::bind(listen).await?;
        match UdpSocket::bind(tcp.local_addr()?).await {
            Ok(udp) => return Ok((tcp, udp)),
            Err(error) if listen.port() != 0 => return Err(error),
            Err(error) => last_error = Some(error),
        }
    }
    Err(last_error.unwrap_or_else(|| std::io::ErrorKind::AddrInUse.into()))
}

impl Link {
    /// Binds a link on TCP and UDP, and forwards traffic until [`Self::stop`].
    ///
    /// Without a target it accepts connections without forwarding them, and drops datagrams.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(
        name: &str,
        listen: net::SocketAddr,
        target: Option<net::SocketAddr>,
        seed: u64,
    ) -> std::io::Result<Arc<Self>> {
        let (tcp, udp) = bind_tcp_and_udp(listen).await?;
        let state = State {
            target,
            ..State::default()
        };
        let link = Arc::new(Self {
            name: name.to_owned(),
            address: tcp.local_addr()?,
            state: watch::Sender::new(state),
            counters: Counters::default(),
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
            stop: CancellationToken::new(),
        });
        let stop = link.stop.clone();
        tokio::spawn(stop.run_until_cancelled_owned(streams::run(link.clone(), tcp)));
        let stop = link.stop.clone();
        tokio::spawn(stop.run_until_cancelled_owned(datagrams::run(link.clone(), udp)));
        Ok(link)
    }

    /// Name of the link.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Listen address.
    #[must_use]
    pub const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Address to which traffic is forwarded.
    #[must_use]
    pub fn target(&self) -> Option<net::SocketAddr> {
        self.state.borrow().target
    }

    /// Sets the address to which traffic is forwarded.
    pub fn set_target(&self, target: net::SocketAddr) {
        self.state.send_modify(|state| state.target = Some(target));
    }

    /// Active rules.
    #[must_use]
    pub fn rules(&self) -> Vec<rule::Rule> {
        self.state.borrow().rules.clone()
    }

    /// Replaces the rules.
    pub fn set_rules(&self, rules: Vec<rule::Rule>) {
        log::info!(link:% = self.name, rules:? = rules; "fault: rules set");
        self.state.send_modify(|state| state.rules = rules);
    }

    /// Terminates the open connections; with [`rule::End::Silence`] they stay open and forward
    /// nothing more. Connections opened later are not affected.
    pub fn end(&self, end: rule::End) {
        log::info!(link:% = self.name, end:? = end; "fault: connections terminated");
        let next_number = self.counters.connections.load(Ordering::SeqCst) + 1;
        self.state.send_modify(|state| match end {
            rule::End::Close => state.closed_below = next_number,
            rule::End::Reset => state.reset_below = next_number,
            rule::End::Silence => state.silent_below = next_number,
        });
    }

    /// Traffic forwarded so far.
    #[must_use]
    pub fn counts(&self) -> Counts {
        let load = |counter: &AtomicU64| counter.load(Ordering::SeqCst);
        Counts {
            connections: load(&self.counters.connections),
            bytes_to_target: load(&self.counters.bytes[0]),
            bytes_from_target: load(&self.counters.bytes[1]),
            datagrams_to_target: load(&self.counters.datagrams[0]),
            datagrams_from_target: load(&self.counters.datagrams[1]),
            datagrams_lost: load(&self.counters.datagrams_lost),
        }
    }

    /// Stops listening and closes all connections.
    pub fn stop(&self) {
        self.stop.cancel();
    }

    pub(crate) fn stop_token(&self) -> CancellationToken {
        self.stop.clone()
    }

    /// Returns the combined effect of the rules on a direction for a source.
    pub(crate) fn flow(&self, direction: rule::Direction, source: net::IpAddr) -> rule::Flow {
        rule::Flow::new(&self.state.borrow().rules, direction, source)
    }

    /// Draws from the seeded generator; true with probability `share`.
    pub(crate) fn draw(&self, share: f64) -> bool {
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        rng.random_bool(share.clamp(0.0, 1.0))
    }
}

/// Returns the local address from which to connect to a target: the address of the source if it is
/// a loopback address, so that the target can distinguish its peers.
pub(crate) fn local_address(source: net::IpAddr, target: net::SocketAddr) -> net::SocketAddr {
    if source.is_loopback() && source.is_ipv4() == target.is_ipv4() {
        return net::SocketAddr::new(source, 0);
    }
    if target.is_ipv4() {
        net::SocketAddr::from(([0, 0, 0, 0], 0))
    } else {
        net::SocketAddr::from((net::Ipv6Addr::UNSPECIFIED, 0))
    }
}
