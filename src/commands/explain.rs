//! `explain`: shows the evidence behind decisions.

use std::net;

use clap::{Args, Subcommand};

use crate::{admin, exit, output};

pub mod ejection;
pub mod log;
pub mod request;
mod responses;
pub mod route;
pub mod server;

/// Arguments of `explain`.
#[derive(Args, Debug)]
pub struct Arguments {
    #[command(subcommand)]
    command: Command,
}

/// Daemons to query, and the output format.
#[derive(Args, Debug)]
pub struct Source {
    /// Admin addresses of daemons, separated by commas; the members that they know are queried too.
    #[arg(long, value_delimiter = ',', value_name = "ADDRESS", required = true)]
    admin: Vec<net::SocketAddr>,
    /// Write JSON.
    #[arg(long)]
    json: bool,
}

#[derive(Subcommand, Debug)]
enum Command {
    /// Shows each daemon's view of a server: state, evidence, recent decisions.
    Server(server::Arguments),
    /// Shows a request's attempts and its outcome, as recorded by the daemon that served it.
    ///
    /// A daemon retains its latest 8,192 requests. The number of a request is in the header
    /// `monsooncart-request` and in the daemon's logs and decisions.
    Request(request::Arguments),
    /// Shows which servers of a service are ejected, why, and what the floor still allows:
    /// evidence, tokens, and alternatives.
    Ejection(ejection::Arguments),
    /// Shows where a request to a host and path would go now, and why, without sending it.
    Route(route::Arguments),
    /// Shows log lines of daemons about a request or a server, in chronological order.
    Log(log::Arguments),
}

impl Arguments {
    /// Runs the subcommand.
    pub async fn run(self) -> exit::Code {
        match self.command {
            Command::Server(arguments) => arguments.run().await,
            Command::Request(arguments) => arguments.run().await,
            Command::Ejection(arguments) => arguments.run().await,
            Command::Route(arguments) => arguments.run().await,
            Command::Log(arguments) => arguments.run().await,
        }
    }
}

impl Source {
    /// Discovers the daemons; reports those that do not respond on standard error.
    async fn discover(&self) -> admin::Fleet {
        let fleet = admin::Fleet::discover(&self.admin).await;
        for error in fleet.failures() {
            output::error(format_args!("explain: {error}"));
        }
        fleet
    }
}

fn print_json(value: &impl serde::Serialize) -> exit::Code {
    match serde_json::to_string_pretty(value) {
        Ok(json) => {
            output::line(json);
            exit::Code::Success
        }
        Err(error) => {
            output::error(format_args!("explain: {error}"));
            exit::Code::Failure
        }
    }
}
