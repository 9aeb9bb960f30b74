//! `platform`: The platform's object API and VM list, served over HTTP.

use std::net;
use std::process;
use std::sync::Arc;

use clap::Args;
use monsooncart_store::memory;
use monsooncart_testbed::platform;

/// Arguments of `platform`.
#[derive(Args, Debug)]
pub struct Arguments {
    /// Address of the object API and VM list, such as 127.0.0.1:7000; port 0 selects a free port.
    #[arg(long)]
    listen: net::SocketAddr,
    /// Address of the listener that controls faults and reports calls (`/v1/faults`, `/v1/calls`).
    #[arg(long)]
    control: Option<net::SocketAddr>,
}

impl Arguments {
    /// Prints a line with the addresses and runs the platform until the process is terminated.
    pub async fn run(self) -> process::ExitCode {
        let platform = platform::Platform::new(Arc::new(memory::Memory::default()));
        let Some((listener, address)) = bind("platform", self.listen).await else {
            return process::ExitCode::FAILURE;
        };
        let mut ready = format!("ready: listen={address}");
        if let Some(control) = self.control {
            let Some((listener, address)) = bind("control", control).await else {
                return process::ExitCode::FAILURE;
            };
            ready.push_str(&format!(" control={address}"));
            tokio::spawn(platform.clone().serve_control(listener));
        }
        println!("{ready}");
        platform.serve(listener).await;
        process::ExitCode::SUCCESS
    }
}

async fn bind(
    name: &str,
    address: net::SocketAddr,
) -> Option<(tokio::net::TcpListener, net::SocketAddr)> {
    let bound = tokio::net::TcpListener::bind(address).await;
    let bound = bound.and_then(|listener| {
        let address = listener.local_addr()?;
        Ok((listener, address))
    });
    bound
        .inspect_err(|error| eprintln!("testbed: {name} listener {address}: {error}"))
        .ok()
}
