//! `caller`: Callers that check that every response belongs to its request.

use std::net;
use std::process;

use bytes::Bytes;
use clap::Args;
use http_body_util::{BodyExt as _, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use monsooncart_testbed::backend::starts;
use monsooncart_testbed::caller::{options, run};
use monsooncart_types::span;
use tokio::net::TcpStream;

/// Arguments of `caller`.
#[derive(Args, Debug)]
pub struct Arguments {
    /// Daemons that the entry addresses are fetched from.
    #[arg(long, required = true, num_args = 1..)]
    daemon: Vec<net::SocketAddr>,
    /// Name of the service.
    #[arg(long)]
    service: String,
    /// Bearer key of the organisation.
    #[arg(long)]
    key: String,
    /// Path of the repeatable requests; the request's id is appended.
    #[arg(long, default_value = "/")]
    get: String,
    /// Path of the unrepeatable requests; the request's id is appended.
    #[arg(long, default_value = "/")]
    post: String,
    /// Fraction of unrepeatable requests, from 0 to 1.
    #[arg(long, default_value_t = 0.0)]
    unrepeatable: f64,
    /// Response size of repeatable requests in bytes; if absent, the response is an echo.
    #[arg(long)]
    bytes: Option<u64>,
    /// Maximum number of requests in flight.
    #[arg(long, default_value_t = 1)]
    workers: usize,
    /// Requests per second over all workers; unlimited if absent.
    #[arg(long)]
    rate: Option<f64>,
    /// Total number of requests; unlimited if absent.
    #[arg(long)]
    count: Option<u64>,
    /// Time during which requests are sent, such as `10s`.
    #[arg(long, default_value = "10s")]
    duration: span::Span,
    /// Maximum number of retries of each request.
    #[arg(long, default_value_t = 5)]
    retries: u32,
    /// Timeout of connecting, of the response head and of each part of the body.
    #[arg(long, default_value = "30s")]
    timeout: span::Span,
    /// Seed of the random choices; also part of every request id.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Control listeners of all backend servers, whose logs are audited.
    #[arg(long, num_args = 1..)]
    control: Vec<net::SocketAddr>,
}

impl Arguments {
    /// Runs the caller and prints its report as JSON; fails if a request was lost, answered with
    /// the response to another one, run twice or falsely reported as not run.
    pub async fn run(self) -> process::ExitCode {
        let controls = self.control.clone();
        let mut report = run::run(self.options()).await;
        if !controls.is_empty() {
            let mut logs = Vec::new();
            for control in controls {
                let Some(log) = fetch_log(control).await else {
                    eprintln!("caller: cannot read the log of the backend server from {control}");
                    return process::ExitCode::FAILURE;
                };
                logs.push(log);
            }
            report.audit(&logs);
        }
        match serde_json::to_string_pretty(&report) {
            Ok(text) => println!("{text}"),
            Err(error) => eprintln!("caller: cannot encode report as JSON: {error}"),
        }
        let audit_failures = report.doubled.unwrap_or(0) + report.falsely_not_run.unwrap_or(0);
        if report.lost + report.wrong + audit_failures == 0 {
            process::ExitCode::SUCCESS
        } else {
            process::ExitCode::FAILURE
        }
    }

    fn options(self) -> options::Options {
        options::Options {
            daemons: self.daemon,
            service: self.service,
            key: self.key,
            get: self.get,
            post: self.post,
            unrepeatable: self.unrepeatable,
            bytes: self.bytes,
            workers: self.workers,
            rate: self.rate,
            count: self.count,
            duration: self.duration.0,
            retries: self.retries,
            timeout: self.timeout.0,
            seed: self.seed,
        }
    }
}

/// Fetches the log of a backend server; `None` if that fails.
async fn fetch_log(control: net::SocketAddr) -> Option<starts::Starts> {
    let stream = TcpStream::connect(control).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    let request = http::Request::get("/control/starts")
        .header("host", control.to_string())
        .body(Full::new(Bytes::new()))
        .ok()?;
    let body = sender.send_request(request).await.ok()?.into_body();
    let bytes = body.collect().await.ok()?.to_bytes();
    serde_json::from_slice(&bytes).ok()
}
