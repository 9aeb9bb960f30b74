//! Accepts connections from other daemons and serves their calls.

use std::net;
use std::sync::Arc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use monsooncart_types::instance;
use monsooncart_wire::peer::Peer;
use monsooncart_wire::{frame, hello, peer};
use tarpc::server::Channel;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

use crate::{metered, relay, server, shared, socket};

/// Maximum number of open connections.
const MAX_CONNECTIONS: usize = 8192;

/// Timeout of the TLS handshake, and of the dialler's hello.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay after a failed accept, whose usual cause is that no file descriptors are left.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);

/// Maximum number of concurrently served calls of a connection.
const MAX_CALLS: usize = 256;

/// Accepts connections until the engine stops.
pub(crate) async fn accept(shared: Arc<shared::Shared>, listener: Arc<TcpListener>) {
    let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(slot) = slots.clone().acquire_owned().await else {
            return;
        };
        let (stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!(error:%; "peers: accepting a connection failed");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
                continue;
            }
        };
        let serving = shared.clone();
        shared.spawn(async move {
            if let Err(error) = serve(serving, stream, from).await {
                log::debug!(peer:% = from, error:%; "peers: connection failed");
            }
            drop(slot);
        });
    }
}

async fn serve(
    shared: Arc<shared::Shared>,
    stream: TcpStream,
    from: net::SocketAddr,
) -> std::io::Result<()> {
    socket::set_options(&stream)?;
    let stream = metered::Metered::new(stream, shared.counters.clone());
    let Some(tls) = &shared.tls else {
        return handshake(shared, stream, from).await;
    };
    let accepted = tokio::time::timeout(HELLO_TIMEOUT, tls.acceptor.accept(stream)).await;
    match accepted.map_err(std::io::Error::from).flatten() {
        Ok(stream) => handshake(shared, stream, from).await,
        Err(error) => {
            shared::increment(&shared.counters.refused);
            log::warn!(peer:% = from, error:%; "peers: refused connection without a valid certificate");
            Ok(())
        }
    }
}

/// Checks whether the daemon that sent `hello` may make calls.
fn check_hello(
    shared: &shared::Shared,
    from: net::SocketAddr,
    hello: &hello::Hello,
) -> Result<(), hello::Refusal> {
    if ![hello::VERSION, hello::RELAY_VERSION].contains(&hello.version) {
        return Err(hello::Refusal::Version {
            theirs: hello.version,
            ours: hello::VERSION,
        });
    }
    if !hello.is_authentic(shared.secret.as_ref(), from.ip()) {
        return Err(hello::Refusal::Secret);
    }
    let admitted = shared.tls.is_some() || shared.admission.admits(from.ip());
    if admitted {
        return Ok(());
    }
    shared.vm_list_requested.notify_one();
    Err(hello::Refusal::Stranger { address: from.ip() })
}

/// Performs the hello handshake, then serves the calls of the connection.
async fn handshake<S>(
    shared: Arc<shared::Shared>,
    stream: S,
    from: net::SocketAddr,
) -> std::io::Result<()>
where
    S: relay::Stream + 'static,
{
    let mut frames = frame::framed(stream);
    let first_frame = tokio::time::timeout(HELLO_TIMEOUT, frames.next()).await?;
    let Some(first_frame) = first_frame else {
        return Ok(());
    };
    let hello: hello::Hello = frame::decode(&first_frame?)?;
    if let Err(refusal) = check_hello(&shared, from, &hello) {
        shared::increment(&shared.counters.refused);
        log::warn!(peer:% = from, vm:% = hello.vm, refusal:%; "peers: refused connection");
        let answer = hello::Answer::Refused(refusal);
        frames.send(frame::encode(&answer)?).await?;
        return frames.get_mut().shutdown().await;
    }
    let instance = shared.local.instance;
    let answer = hello::Answer::welcome(instance, hello.instance, shared.secret.as_ref());
    frames.send(frame::encode(&answer)?).await?;
    if hello.version == hello::RELAY_VERSION {
        // The dialler sends nothing before the welcome, so that no byte is in the buffer.
        let stream = Box::new(frames.into_inner());
        shared.handler.serve_relay(hello.instance, stream).await;
        return Ok(());
    }
    serve_calls(shared, frames, hello.instance).await;
    Ok(())
}

/// Serves the calls of a connection until it closes.
async fn serve_calls<S>(
    shared: Arc<shared::Shared>,
    frames: tokio_util::codec::Framed<S, tokio_util::codec::LengthDelimitedCodec>,
    caller: instance::Instance,
) where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let config = tarpc::server::Config {
        pending_response_buffer: MAX_CALLS,
    };
    let channel =
        tarpc::server::BaseChannel::new(config, frame::transport(frames, peer::check_request));
    let server = server::Server { shared, caller };
    let responses = channel.execute(server.serve());
    responses.for_each_concurrent(MAX_CALLS, |call| call).await;
}
