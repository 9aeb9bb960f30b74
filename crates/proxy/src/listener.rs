//! Accepts connections from callers, and drains them in a planned stop without aborting requests.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::service::TowerToHyperService;
use monsooncart_config::settings;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, sleep, sleep_until, timeout};
use tokio_util::task::TaskTracker;

use crate::{activity, caller, engine, expiry, link, request, socket, tcp};

/// Delay after `accept` fails, for example because of too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Maximum time for which an idle connection stays open while draining.
///
/// It is not zero, so that a request that was already on its way is still answered.
const DRAIN_IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum time to write the response to a connection over the limit.
const REFUSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval at which a connection with requests in flight is checked.
const IN_FLIGHT_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Margin of hyper's buffer above the head limit, so that the request path itself rejects oversized
/// heads.
const HEAD_MARGIN_BYTES: usize = 16 << 10;

/// Maximum concurrent streams per HTTP/2 connection.
const MAX_CONCURRENT_STREAMS: u32 = 256;

/// Flow-control window of an HTTP/2 stream and of an HTTP/2 connection.
const FLOW_WINDOW_BYTES: u32 = 256 << 10;

/// Send buffer of an HTTP/2 stream.
const SEND_BUFFER_BYTES: usize = 256 << 10;

/// Interval of HTTP/2 pings on an idle connection, and the timeout for their acknowledgement.
const PING_INTERVAL: Duration = Duration::from_secs(15);

/// Head of the response to a connection over the limit, without the value of its length.
const REFUSAL_HEAD: &str = "HTTP/1.1 503 Service Unavailable\r\n\
    content-type: application/problem+json\r\n\
    monsooncart-outcome: not-run\r\n\
    retry-after: 1\r\n\
    connection: close\r\n\
    content-length: ";

/// Body of the response to a connection over the limit.
const REFUSAL_BODY: &str = "{\"type\":\"about:blank\",\"title\":\"too-many-connections\",\"status\":503,\
    \"detail\":\"daemon has too many connections\",\"outcome\":\"not-run\"}";

/// Serves a listener until `stop` resolves, then waits until all connections are closed.
pub async fn serve(
    shared: Arc<engine::Shared>,
    listener: TcpListener,
    stop: impl Future<Output = ()>,
) {
    let max_connections = usize::try_from(shared.common.limits().connections).unwrap_or(usize::MAX);
    let permits = Arc::new(Semaphore::new(max_connections.min(Semaphore::MAX_PERMITS)));
    let tracker = TaskTracker::new();
    let mut stop = pin!(stop);
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => spawn_connection(&shared, &permits, &tracker, stream),
                Err(error) => {
                    log::warn!(error:%; "proxy: accepting a connection failed");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            () = stop.as_mut() => break,
        }
    }
    shared.common.drain();
    // Connections in the kernel's accept queue are served too.
    while let Ok(Ok((stream, _))) = timeout(Duration::ZERO, listener.accept()).await {
        spawn_connection(&shared, &permits, &tracker, stream);
    }
    drop(listener);
    tracker.close();
    tracker.wait().await;
    shared.relayed_connections.close();
    shared.relayed_connections.wait().await;
    log::info!("proxy: all connections from callers are closed");
}

fn spawn_connection(
    shared: &Arc<engine::Shared>,
    permits: &Arc<Semaphore>,
    tracker: &TaskTracker,
    stream: TcpStream,
) {
    let shared = shared.clone();
    match permits.clone().try_acquire_owned() {
        Ok(permit) => tracker.spawn(serve_caller(shared, stream, permit)),
        Err(_) => {
            shared.common.metrics.connections_refused.inc();
            tracker.spawn(refuse_connection(stream))
        }
    };
}

async fn refuse_connection(stream: TcpStream) {
    let activity = Arc::new(activity::Activity::new(None));
    let mut caller = caller::Socket::new(stream, activity, REFUSE_TIMEOUT);
    let response = async {
        let refusal = format!("{REFUSAL_HEAD}{}\r\n\r\n{REFUSAL_BODY}", REFUSAL_BODY.len());
        caller.write_all(refusal.as_bytes()).await?;
        caller.shutdown().await
    };
    if let Ok(Err(error)) = timeout(REFUSE_TIMEOUT, response).await {
        log::debug!(error:%; "proxy: refusing a connection over the limit failed");
    }
}

/// Next step for a connection.
enum Step {
    /// Check the connection again at a given time.
    Wait(Instant),
    /// Announce the end of the connection (GOAWAY); requests in flight continue.
    ShutDown,
    /// Close the connection, which has nothing in flight.
    Close,
}

/// Decides when a connection is closed.
struct Monitor<'a> {
    activity: Arc<activity::Activity>,
    limits: &'a settings::Limits,
    /// Whether the end of the connection was announced.
    shutdown_sent: bool,
}

impl Monitor<'_> {
    fn next_step(&mut self, draining: bool) -> Step {
        if draining && self.activity.is_multiplexed() && !self.shutdown_sent {
            self.shutdown_sent = true;
            return Step::ShutDown;
        }
        let now = Instant::now();
        let close_at = self
            .activity
            .close_deadline(self.limits.head_timeout.0, self.idle_timeout(draining));
        let Some(close_at) = close_at else {
            return Step::Wait(now + IN_FLIGHT_POLL_INTERVAL);
        };
        if close_at > now {
            return Step::Wait(close_at);
        }
        if self.activity.is_multiplexed() && !self.shutdown_sent {
            self.shutdown_sent = true;
            return Step::ShutDown;
        }
        Step::Close
    }

    /// Maximum idle time of the connection.
    fn idle_timeout(&self, draining: bool) -> Duration {
        let idle = self.limits.idle_timeout.0;
        if self.shutdown_sent {
            // hyper closes the connection once the caller has read everything; this bounds the
            // wait.
            self.limits.body_timeout.0
        } else if draining {
            idle.min(DRAIN_IDLE_TIMEOUT)
        } else {
            idle
        }
    }
}

async fn serve_caller(
    shared: Arc<engine::Shared>,
    stream: TcpStream,
    permit: OwnedSemaphorePermit,
) {
    let common = shared.common.clone();
    common.metrics.connections.inc();
    if let Err(error) = socket::set_options(&stream, common.limits().body_timeout.0) {
        log::debug!(error:%; "proxy: setting TCP options of a connection failed");
    }
    let stream = tcp::Stream::new(stream);
    let activity = activity::Activity::new(Some(stream.clone()));
    let origin = request::Origin::Caller;
    let discard_unsent = |stream: &tcp::Stream| socket::discard_unsent(stream.socket());
    serve_connection(shared, stream, activity, origin, discard_unsent).await;
    common.metrics.connections.dec();
    drop(permit);
}

/// Serves a connection until it closes. `discard_unsent` is called on its stream if a response that
/// it carries reaches its deadline.
pub async fn serve_connection<S>(
    shared: Arc<engine::Shared>,
    stream: S,
    activity: activity::Activity,
    origin: request::Origin,
    discard_unsent: fn(&S),
) where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let common = shared.common.clone();
    let limits = common.limits();
    let activity = Arc::new(activity);
    let io = caller::Socket::new(stream, activity.clone(), limits.body_timeout.0);
    let io = io.discard_unsent_with(discard_unsent);
    let service = tower::service_fn({
        let (shared, activity) = (shared.clone(), activity.clone());
        move |request| {
            let response = request::handle(shared.clone(), activity.clone(), origin, request);
            async move { Ok::<_, std::convert::Infallible>(response.await) }
        }
    });
    let service = TowerToHyperService::new(service);
    let builder = http_builder(usize::try_from(limits.head.0).unwrap_or(usize::MAX));
    let serving = builder.serve_connection(TokioIo::new(io), service);
    let mut serving = pin!(serving);
    let expiry = Arc::new(expiry::Expiry::default());
    let mut draining = common.draining.subscribe();
    let mut monitor = Monitor {
        activity: activity.clone(),
        limits: &limits,
        shutdown_sent: false,
    };
    loop {
        let check_at = match monitor.next_step(*draining.borrow_and_update()) {
            Step::Wait(check_at) => check_at,
            Step::ShutDown => {
                serving.as_mut().graceful_shutdown();
                continue;
            }
            Step::Close => break,
        };
        tokio::select! {
            result = expiry::scope(expiry.clone(), serving.as_mut()) => {
                if let Err(error) = result {
                    log::debug!(error:%; "proxy: connection from a caller failed");
                }
                break;
            }
            () = expiry.clone().passed() => break,
            () = sleep_until(check_at) => {}
            () = activity.wait_for_head() => {}
            _ = draining.changed() => {}
        }
    }
    if expiry.has_expired() {
        activity.expire();
    }
}

fn http_builder(max_head_bytes: usize) -> auto::Builder<expiry::Executor> {
    let mut builder = auto::Builder::new(expiry::Executor);
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(max_head_bytes.saturating_add(HEAD_MARGIN_BYTES))
        .max_headers(link::MAX_HEADER_LINES)
        .half_close(false);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_CONCURRENT_STREAMS)
        .initial_stream_window_size(FLOW_WINDOW_BYTES)
        .initial_connection_window_size(FLOW_WINDOW_BYTES)
        .max_send_buf_size(SEND_BUFFER_BYTES)
        .max_header_list_size(u32::try_from(max_head_bytes + HEAD_MARGIN_BYTES).unwrap_or(u32::MAX))
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_INTERVAL);
    builder
}
