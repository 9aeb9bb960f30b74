//! Takes connections from callers, and ends them in a planned stop without cutting a request.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::service::TowerToHyperService;
use monsooncart_config::settings;
use tokio::io::AsyncWriteExt as _;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, sleep, sleep_until, timeout};
use tokio_util::task::TaskTracker;

use crate::{activity, caller, engine, request, socket};

/// Wait after a failure to accept, such as too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Longest time that a quiet connection is kept open in a planned stop.
///
/// A request that the caller sent when the stop began is answered all the same.
const DRAIN_IDLE: Duration = Duration::from_secs(1);

/// Longest time to write the answer to a connection over the limit.
const REFUSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time between looks at a connection with requests in flight.
const LOOK: Duration = Duration::from_millis(500);

/// Head room of hyper's buffer over the largest head, so that the request path answers itself.
const HEAD_ROOM: usize = 16 << 10;

/// Streams of one HTTP/2 connection at a time.
const STREAMS: u32 = 256;

/// Window of one HTTP/2 stream and of one HTTP/2 connection, in bytes.
const WINDOW: u32 = 256 << 10;

/// Bytes of one HTTP/2 stream that wait to be sent.
const SEND_BUFFER: usize = 256 << 10;

/// Time between HTTP/2 pings on a quiet connection, and the wait for their answer.
const PING: Duration = Duration::from_secs(15);

/// Head of the answer to a connection over the limit, without its length.
const REFUSAL_HEAD: &str = "HTTP/1.1 503 Service Unavailable\r\n\
    content-type: application/problem+json\r\n\
    monsooncart-outcome: not-run\r\n\
    retry-after: 1\r\n\
    connection: close\r\n\
    content-length: ";

/// Body of the answer to a connection over the limit.
const REFUSAL: &str = "{\"type\":\"about:blank\",\"title\":\"too-many-connections\",\"status\":503,\
    \"detail\":\"daemon has too many connections\",\"outcome\":\"not-run\"}";

/// Serves a listener until `stop`, and then what is in flight to its end.
pub async fn serve(
    shared: Arc<engine::Shared>,
    listener: TcpListener,
    stop: impl Future<Output = ()>,
) {
    let limit = usize::try_from(shared.common.limits().connections).unwrap_or(usize::MAX);
    let permits = Arc::new(Semaphore::new(limit.min(Semaphore::MAX_PERMITS)));
    let tracker = TaskTracker::new();
    let mut stop = pin!(stop);
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => take(&shared, &permits, &tracker, stream),
                Err(error) => {
                    log::warn!(error:%; "proxy: connection was not accepted");
                    sleep(ACCEPT_PAUSE).await;
                }
            },
            () = stop.as_mut() => break,
        }
    }
    shared.common.drain();
    // What the kernel accepted already is served as well.
    while let Ok(Ok((stream, _))) = timeout(Duration::ZERO, listener.accept()).await {
        take(&shared, &permits, &tracker, stream);
    }
    drop(listener);
    tracker.close();
    tracker.wait().await;
    log::info!("proxy: all connections from callers ended");
}

fn take(
    shared: &Arc<engine::Shared>,
    permits: &Arc<Semaphore>,
    tracker: &TaskTracker,
    stream: TcpStream,
) {
    let shared = shared.clone();
    match permits.clone().try_acquire_owned() {
        Ok(permit) => tracker.spawn(connection(shared, stream, permit)),
        Err(_) => {
            shared.common.metrics.connections_refused.inc();
            tracker.spawn(refuse(stream))
        }
    };
}

async fn refuse(stream: TcpStream) {
    let activity = Arc::new(activity::Activity::new());
    let mut caller = caller::Caller::new(stream, activity, REFUSE_TIMEOUT);
    let answer = async {
        let refusal = format!("{REFUSAL_HEAD}{}\r\n\r\n{REFUSAL}", REFUSAL.len());
        caller.write_all(refusal.as_bytes()).await?;
        caller.shutdown().await
    };
    if let Ok(Err(error)) = timeout(REFUSE_TIMEOUT, answer).await {
        log::debug!(error:%; "proxy: connection over the limit broke");
    }
}

/// What is to become of a connection.
enum Verdict {
    /// It is looked at again at a time.
    Wait(Instant),
    /// The caller is told that it ends (GOAWAY); what is in flight goes on.
    Tell,
    /// It is closed: nothing is in flight.
    Close,
}

/// Decides when a connection ends.
struct Watch<'a> {
    activity: Arc<activity::Activity>,
    limits: &'a settings::Limits,
    /// Whether the caller was told.
    told: bool,
}

impl Watch<'_> {
    fn verdict(&mut self, draining: bool) -> Verdict {
        if draining && self.activity.is_multiplexed() && !self.told {
            self.told = true;
            return Verdict::Tell;
        }
        let now = Instant::now();
        let limit = self
            .activity
            .limit(self.limits.head_timeout.0, self.idle(draining));
        let Some(limit) = limit else {
            return Verdict::Wait(now + LOOK);
        };
        if limit > now {
            return Verdict::Wait(limit);
        }
        if self.activity.is_multiplexed() && !self.told {
            self.told = true;
            return Verdict::Tell;
        }
        Verdict::Close
    }

    /// Longest time that the connection may be quiet.
    fn idle(&self, draining: bool) -> Duration {
        let idle = self.limits.idle_timeout.0;
        if self.told {
            // hyper ends the connection once the caller has taken all; this bounds the wait.
            self.limits.body_timeout.0
        } else if draining {
            idle.min(DRAIN_IDLE)
        } else {
            idle
        }
    }
}

async fn connection(shared: Arc<engine::Shared>, stream: TcpStream, permit: OwnedSemaphorePermit) {
    let common = shared.common.clone();
    common.metrics.connections.inc();
    let limits = common.limits();
    if let Err(error) = socket::tune(&stream, limits.body_timeout.0) {
        log::debug!(error:%; "proxy: connection has no keepalive");
    }
    let activity = Arc::new(activity::Activity::new());
    let io = caller::Caller::new(stream, activity.clone(), limits.body_timeout.0);
    let service = tower::service_fn({
        let (shared, activity) = (shared.clone(), activity.clone());
        move |request| {
            let answer = request::run(shared.clone(), activity.clone(), request);
            async move { Ok::<_, std::convert::Infallible>(answer.await) }
        }
    });
    let service = TowerToHyperService::new(service);
    let builder = builder(usize::try_from(limits.head.0).unwrap_or(usize::MAX));
    let serving = builder.serve_connection(TokioIo::new(io), service);
    let mut serving = pin!(serving);
    let mut draining = common.draining.subscribe();
    let mut watch = Watch {
        activity: activity.clone(),
        limits: &limits,
        told: false,
    };
    loop {
        let until = match watch.verdict(*draining.borrow_and_update()) {
            Verdict::Wait(until) => until,
            Verdict::Tell => {
                serving.as_mut().graceful_shutdown();
                continue;
            }
            Verdict::Close => break,
        };
        tokio::select! {
            result = serving.as_mut() => {
                if let Err(error) = result {
                    log::debug!(error:%; "proxy: connection from a caller ended");
                }
                break;
            }
            () = sleep_until(until) => {}
            () = activity.head_began() => {}
            _ = draining.changed() => {}
        }
    }
    common.metrics.connections.dec();
    drop(permit);
}

fn builder(head: usize) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(head.saturating_add(HEAD_ROOM))
        .half_close(false);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(STREAMS)
        .initial_stream_window_size(WINDOW)
        .initial_connection_window_size(WINDOW)
        .max_send_buf_size(SEND_BUFFER)
        .max_header_list_size(u32::try_from(head + HEAD_ROOM).unwrap_or(u32::MAX))
        .keep_alive_interval(PING)
        .keep_alive_timeout(PING);
    builder
}
