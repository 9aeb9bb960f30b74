//! Load over a fixed number of connections, which measures the latency of each request.

use std::net;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::{BodyExt as _, Empty};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::Error;

/// Maximum latency that the histograms record; longer ones count as this.
const MAX_LATENCY_MICROS: u64 = 60_000_000;

/// Delay above which a request counts as sent late.
const LATE_THRESHOLD: Duration = Duration::from_millis(100);

/// Significant decimal digits of the latency histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Load on one listener.
#[derive(Clone, Debug)]
pub struct Load {
    /// Address of the listener.
    pub target: net::SocketAddr,
    /// Value of the `host` header.
    pub host: String,
    /// Path of the requests.
    pub path: String,
    /// Value of the `authorization` header.
    pub authorization: String,
    /// Number of connections, each with at most one request in flight.
    pub connections: usize,
    /// Requests per second over all connections; unlimited if absent.
    pub rate: Option<f64>,
    /// Time during which requests are sent.
    pub duration: Duration,
}

/// Results of a load.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Latency to the end of successful responses, in microseconds.
    pub latencies: Histogram<u64>,
    /// Successful responses that ended within the duration of the load.
    pub in_time: u64,
    /// Requests that were sent late because no connection was free.
    pub late: u64,
    /// Requests with neither a successful response nor a refusal as not run.
    pub failed: u64,
    /// Latency from sending to refusals as not run, in microseconds.
    pub refusal_latencies: Histogram<u64>,
    /// Refusals without a `Retry-After` header.
    pub without_retry_after: u64,
}

/// Result of one request.
enum RequestResult {
    Success,
    Failure,
    /// Refused as not run, and whether the response has a `Retry-After` header.
    Refused(bool),
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros())
        .unwrap_or(u64::MAX)
        .max(1)
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS)
        .expect("bounds of the histogram are valid")
}

impl Default for Outcome {
    fn default() -> Self {
        Self {
            latencies: histogram(),
            in_time: 0,
            late: 0,
            failed: 0,
            refusal_latencies: histogram(),
            without_retry_after: 0,
        }
    }
}

impl Outcome {
    /// Adds the results of another load.
    pub fn merge(&mut self, other: &Self) {
        self.in_time += other.in_time;
        self.late += other.late;
        self.failed += other.failed;
        self.without_retry_after += other.without_retry_after;
        // Adding cannot fail, since the bounds are the same.
        let _ = self.latencies.add(&other.latencies);
        let _ = self.refusal_latencies.add(&other.refusal_latencies);
    }

    /// Quantile of the latency of successful responses, in milliseconds.
    pub fn latency_millis(&self, quantile: f64) -> f64 {
        self.latencies.value_at_quantile(quantile) as f64 / 1000.0
    }
}

impl Load {
    /// Sends the requests and returns their results.
    ///
    /// The latency of a request that is due while its connection waits for a response counts from
    /// when it was due.
    pub async fn run(&self) -> Result<Outcome, Error> {
        let mut senders = Vec::new();
        for _ in 0..self.connections {
            senders.push(self.connect().await?);
        }
        let started_at = Instant::now();
        let tasks = senders.into_iter().enumerate().map(|(index, sender)| {
            let load = self.clone();
            tokio::spawn(async move { load.run_connection(index, sender, started_at).await })
        });
        let tasks: Vec<_> = tasks.collect();
        let mut outcome = Outcome::default();
        for task in tasks {
            outcome.merge(&task.await?);
        }
        Ok(outcome)
    }

    async fn connect(&self) -> Result<http1::SendRequest<Empty<Bytes>>, Error> {
        let error = |step| {
            move |reason: String| Error::Load {
                step,
                peer: self.target,
                reason,
            }
        };
        let stream = TcpStream::connect(self.target).await;
        let stream = stream.map_err(|e| error("connect")(e.to_string()))?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|e| error("handshake")(e.to_string()))?;
        tokio::spawn(connection);
        Ok(sender)
    }

    async fn run_connection(
        &self,
        index: usize,
        mut sender: http1::SendRequest<Empty<Bytes>>,
        started_at: Instant,
    ) -> Outcome {
        let mut outcome = Outcome::default();
        let mut number = index;
        while started_at.elapsed() < self.duration {
            let mut measured_from = Instant::now();
            if let Some(rate) = self.rate {
                let due_at = started_at + Duration::from_secs_f64(number as f64 / rate);
                if due_at > started_at + self.duration {
                    break;
                }
                if due_at > measured_from {
                    tokio::time::sleep_until(due_at.into()).await;
                    measured_from = Instant::now();
                } else {
                    outcome.late += u64::from(measured_from - due_at > LATE_THRESHOLD);
                    measured_from = due_at;
                }
            }
            number += self.connections;
            let sent_at = Instant::now();
            match self.send_request(&mut sender).await {
                Some(RequestResult::Success) => {
                    outcome
                        .latencies
                        .saturating_record(micros(measured_from.elapsed()));
                    outcome.in_time += u64::from(started_at.elapsed() <= self.duration);
                }
                Some(RequestResult::Failure) => outcome.failed += 1,
                Some(RequestResult::Refused(has_retry_after)) => {
                    outcome
                        .refusal_latencies
                        .saturating_record(micros(sent_at.elapsed()));
                    outcome.without_retry_after += u64::from(!has_retry_after);
                }
                None => {
                    outcome.failed += 1;
                    match self.connect().await {
                        Ok(new) => sender = new,
                        Err(_) => break,
                    }
                }
            }
        }
        outcome
    }

    /// Sends one request; returns `None` if the connection can no longer be used.
    async fn send_request(
        &self,
        sender: &mut http1::SendRequest<Empty<Bytes>>,
    ) -> Option<RequestResult> {
        sender.ready().await.ok()?;
        let request = Request::get(&self.path)
            .header("host", &self.host)
            .header("authorization", &self.authorization)
            .body(Empty::new())
            .ok()?;
        let response = sender.send_request(request).await.ok()?;
        let outcome = response.headers().get("monsooncart-outcome");
        let not_run = outcome.is_some_and(|outcome| outcome == "not-run");
        let has_retry_after = response.headers().contains_key(http::header::RETRY_AFTER);
        let result = match (response.status().is_success(), not_run) {
            (true, _) => RequestResult::Success,
            (false, true) => RequestResult::Refused(has_retry_after),
            (false, false) => RequestResult::Failure,
        };
        response.into_body().collect().await.ok()?;
        Some(result)
    }
}
