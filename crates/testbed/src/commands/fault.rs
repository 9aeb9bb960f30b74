//! `fault`: A fault-injecting proxy for TCP and UDP between two parties.

use std::net;
use std::process;
use std::str;

use clap::Args;
use monsooncart_testbed::fault::{control, proxy};

/// Link as given on the command line.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Link {
    name: String,
    listen: net::SocketAddr,
    target: net::SocketAddr,
}

/// Text that is not a valid link.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("link {text:?} is not NAME=LISTEN,TARGET with two addresses such as 127.0.0.1:7000")]
struct Error {
    text: String,
}

impl str::FromStr for Link {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let parse = || {
            let (name, addresses) = text.split_once('=')?;
            let (listen, target) = addresses.split_once(',')?;
            Some(Self {
                name: name.to_owned(),
                listen: listen.parse().ok()?,
                target: target.parse().ok()?,
            })
        };
        parse().ok_or_else(|| Error {
            text: text.to_owned(),
        })
    }
}

/// Arguments of `fault`.
#[derive(Args, Debug)]
pub struct Arguments {
    /// Address of the listener that controls links and their faults (`/v1/links`); port 0 selects a
    /// free port.
    #[arg(long)]
    control: net::SocketAddr,
    /// Link as NAME=LISTEN,TARGET; can be given more than once.
    #[arg(long = "link")]
    links: Vec<Link>,
    /// Seed of all random choices; random if absent. It is printed at the start.
    #[arg(long)]
    seed: Option<u64>,
}

impl Arguments {
    /// Prints a line with all addresses and runs the proxy until the process is terminated.
    pub async fn run(self) -> process::ExitCode {
        match self.serve().await {
            Ok(()) => process::ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("testbed: fault: {error}");
                process::ExitCode::FAILURE
            }
        }
    }

    async fn serve(self) -> std::io::Result<()> {
        let proxy = proxy::Proxy::new(self.seed.unwrap_or_else(rand::random));
        let mut ready = String::from("ready:");
        for link in self.links {
            let added = proxy.add(&link.name, link.listen, Some(link.target));
            ready.push_str(&format!(" {}={}", link.name, added.await?.address()));
        }
        let listener = tokio::net::TcpListener::bind(self.control).await?;
        println!("{ready} control={}", listener.local_addr()?);
        control::serve(proxy, listener).await;
        Ok(())
    }
}
