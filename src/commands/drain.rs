//! `drain`: starts a planned stop of a daemon.

use std::net;
use std::time::Duration;

use clap::Args;
use monsooncart_daemon::status;
use monsooncart_types::span;

use crate::{admin, exit, output};

/// Admin path that starts a planned stop.
const DRAIN_PATH: &str = "/v1/drain";

/// Interval between polls of a draining daemon.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Arguments of `drain`.
#[derive(Args, Debug)]
pub struct Arguments {
    /// Admin address of the daemon. It accepts the request only from its own VM and from the VMs of
    /// live daemons.
    #[arg(long, value_name = "ADDRESS")]
    admin: net::SocketAddr,
    /// Wait until the daemon has stopped.
    #[arg(long)]
    wait: bool,
    /// Longest time to wait. The daemon itself waits for requests in flight without a limit.
    #[arg(long, default_value = "10m", value_name = "DURATION")]
    wait_limit: span::Span,
}

impl Arguments {
    /// Starts the planned stop.
    pub async fn run(self) -> exit::Code {
        let status: status::Status = match admin::post(self.admin, DRAIN_PATH).await {
            Ok(status) => status,
            Err(error) => {
                output::error(format_args!("drain: {error}"));
                return exit::Code::Failure;
            }
        };
        output::line(format_args!(
            "{} drains: {} requests in flight",
            status.vm, status.in_flight
        ));
        if !self.wait {
            return exit::Code::Success;
        }
        self.wait_until_stopped(&status).await
    }

    /// Waits until the daemon whose status was `initial` when it started to drain has stopped.
    async fn wait_until_stopped(&self, initial: &status::Status) -> exit::Code {
        let deadline = tokio::time::Instant::now() + self.wait_limit.0;
        loop {
            let response = admin::get::<status::Status>(self.admin, admin::STATUS).await;
            let has_stopped = match &response {
                Ok(status) => status.instance != initial.instance,
                Err(error) => error.step == admin::Step::Connect,
            };
            if has_stopped {
                output::line(format_args!("{} has stopped", initial.vm));
                return exit::Code::Success;
            }
            if tokio::time::Instant::now() >= deadline {
                let in_flight = response.map_or(0, |status| status.in_flight);
                output::error(format_args!(
                    "drain: {} is still draining at {}: {in_flight} requests in flight",
                    initial.vm, self.admin
                ));
                return exit::Code::Failure;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}
