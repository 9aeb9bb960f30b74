//! `backend`: A backend server with gray failure modes and a log of every started request.

use std::io;
use std::net;
use std::process;
use std::time::Duration;

use clap::Args;
use monsooncart_testbed::backend::{control, options, server};
use monsooncart_types::span;
use tokio::net::TcpListener;

/// Arguments of `backend`.
#[derive(Args, Debug)]
pub struct Arguments {
    /// Address of the listener; port 0 selects a free port.
    #[arg(long)]
    listen: net::SocketAddr,
    /// Address of the control listener; none if absent.
    #[arg(long)]
    control: Option<net::SocketAddr>,
    /// Name of the server, which its responses contain.
    #[arg(long, default_value = "backend")]
    name: String,
    /// Name of its service.
    #[arg(long, default_value = "service")]
    service: String,
    /// Maximum number of concurrent requests.
    #[arg(long, default_value_t = 2)]
    slots: usize,
    /// Maximum number of requests that wait for a slot; more are shed.
    #[arg(long, default_value_t = 4)]
    queue: usize,
    /// Mean time that a request takes, such as `20ms`.
    #[arg(long, default_value = "0ms")]
    service_time: span::Span,
    /// Maximum deviation from the service time, as a fraction from 0 to 1.
    #[arg(long, default_value_t = 0.0)]
    noise: f64,
    /// Time after the start during which requests take ten times as long.
    #[arg(long, default_value = "0ms")]
    cold_start: span::Span,
    /// Seed of the noise.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

impl Arguments {
    /// Runs the server until the process is terminated.
    pub async fn run(self) -> process::ExitCode {
        match self.serve().await {
            Ok(()) => process::ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("backend: {error}");
                process::ExitCode::FAILURE
            }
        }
    }

    async fn serve(self) -> io::Result<()> {
        let listener = TcpListener::bind(self.listen).await?;
        let control = match self.control {
            Some(address) => Some(TcpListener::bind(address).await?),
            None => None,
        };
        let options = options::Options {
            name: self.name,
            service: self.service,
            slots: self.slots,
            queue: self.queue,
            service_time: self.service_time.0,
            noise: self.noise,
            cold_start: self.cold_start.0,
            seed: self.seed,
            crash_exits: true,
        };
        let server = server::Server::start(listener, options)?;
        let address = server.address();
        let Some(control) = control else {
            println!("ready: listen={address}");
            loop {
                tokio::time::sleep(Duration::from_secs(3600)).await;
            }
        };
        println!("ready: listen={address} control={}", control.local_addr()?);
        control::serve(server, control).await;
        Ok(())
    }
}
