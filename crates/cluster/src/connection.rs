//! Opens connections to peers.

use std::net;
use std::sync::Arc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use monsooncart_types::instance;
use monsooncart_wire::{datagram, frame, hello, peer};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::{call, config, counters, metered, relay, socket, tls};

/// Maximum number of calls in flight on a connection.
const MAX_IN_FLIGHT: usize = 1024;

/// The frames of a connection.
type Frames = Framed<Box<dyn relay::Stream>, LengthDelimitedCodec>;

/// Failure to open a connection, before any part of a call was sent.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{step} failed: {reason}")]
pub(crate) struct Error {
    pub(crate) step: call::Step,
    pub(crate) reason: String,
}

/// Converts an error into an [`Error`] at `step`.
fn error_at<E: ToString>(step: call::Step) -> impl Fn(E) -> Error {
    move |reason| Error {
        step,
        reason: reason.to_string(),
    }
}

/// An open connection to the daemon `instance`.
pub(crate) struct Connection {
    pub(crate) client: peer::PeerClient,
    pub(crate) instance: instance::Instance,
}

/// Opens connections with the identity and credentials of this daemon.
pub(crate) struct Dialler {
    pub(crate) from: net::IpAddr,
    pub(crate) hello: hello::Hello,
    /// Hello of connections that carry relayed requests.
    pub(crate) relay_hello: hello::Hello,
    pub(crate) secret: Option<datagram::Secret>,
    pub(crate) tls: Option<tls::Tls>,
    pub(crate) timeout: Duration,
}

impl Dialler {
    /// Opens a connection and performs the handshake, within the timeout.
    pub(crate) async fn dial(
        &self,
        to: net::SocketAddr,
        counters: &Arc<counters::Counters>,
    ) -> Result<Connection, Error> {
        let opened = tokio::time::timeout(self.timeout, self.open(to, counters)).await;
        opened.unwrap_or_else(|_| {
            Err(Error {
                step: call::Step::Dial,
                reason: format!("no connection within {:?}", self.timeout),
            })
        })
    }

    /// Opens a connection that carries relayed requests; returns the instance of the other daemon.
    pub(crate) async fn dial_relay(
        &self,
        to: net::SocketAddr,
        counters: &Arc<counters::Counters>,
    ) -> Result<(instance::Instance, Box<dyn relay::Stream>), Error> {
        let stream = self.connect(to, counters).await?;
        let (instance, frames) =
            Self::handshake(&self.relay_hello, self.secret.as_ref(), stream).await?;
        // The other daemon sends nothing before the first request, so that no byte is in the buffer.
        Ok((instance, Box::new(frames.into_inner())))
    }

    async fn open(
        &self,
        to: net::SocketAddr,
        counters: &Arc<counters::Counters>,
    ) -> Result<Connection, Error> {
        let stream = self.connect(to, counters).await?;
        let (instance, frames) = Self::handshake(&self.hello, self.secret.as_ref(), stream).await?;
        let mut config = tarpc::client::Config::default();
        config.max_in_flight_requests = MAX_IN_FLIGHT;
        let transport = frame::transport(frames, peer::check_reply);
        let client = peer::PeerClient::new(config, transport).spawn();
        Ok(Connection { client, instance })
    }

    /// Opens a TCP connection, with TLS if there are keys.
    async fn connect(
        &self,
        to: net::SocketAddr,
        counters: &Arc<counters::Counters>,
    ) -> Result<Box<dyn relay::Stream>, Error> {
        let stream = socket::dial(self.from, to).await;
        let stream = stream.map_err(error_at(call::Step::Dial))?;
        let stream = metered::Metered::new(stream, counters.clone());
        let Some(tls) = &self.tls else {
            return Ok(Box::new(stream));
        };
        let name = tokio_rustls::rustls::pki_types::ServerName::try_from(config::CERTIFICATE_NAME);
        let name = name.map_err(error_at(call::Step::Handshake))?;
        let stream = tls.connector.connect(name, stream).await;
        Ok(Box::new(stream.map_err(error_at(call::Step::Handshake))?))
    }

    /// Sends `hello` and waits for the welcome; returns the instance of the other daemon.
    async fn handshake(
        hello: &hello::Hello,
        secret: Option<&datagram::Secret>,
        stream: Box<dyn relay::Stream>,
    ) -> Result<(instance::Instance, Frames), Error> {
        let step = call::Step::Handshake;
        let own = hello.instance;
        let mut frames = frame::framed(stream);
        let hello = frame::encode(hello).map_err(error_at(step))?;
        frames.send(hello).await.map_err(error_at(step))?;
        let answer = frames.next().await;
        let answer = answer.ok_or("connection closed before the answer to the hello");
        let answer = answer.map_err(error_at(step))?.map_err(error_at(step))?;
        match frame::decode(&answer).map_err(error_at(step))? {
            hello::Answer::Refused(refusal) => Err(error_at(step)(refusal)),
            hello::Answer::Welcome { instance, mac } => {
                if !hello::is_authentic_welcome(instance, mac, own, secret) {
                    return Err(error_at(step)(hello::Refusal::Secret));
                }
                Ok((instance, frames))
            }
        }
    }
}
