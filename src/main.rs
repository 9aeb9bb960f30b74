//! The command line of the monsooncart proxy fleet.

use std::process;

use clap::Parser;
use monsooncart_daemon::logging;

mod admin;
mod commands;
mod exit;
mod in_force;
mod objects;
mod output;

/// Proxy fleet for backend servers with gray failures.
#[derive(Parser, Debug)]
#[command(name = "monsooncart", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(clap::Subcommand, Debug)]
enum Command {
    /// Runs a daemon until it receives a request to stop.
    Run(commands::run::Arguments),
    /// Checks, compares, applies and shows the configuration of a fleet.
    Config(commands::config::Arguments),
    /// Shows the daemons of a fleet, differences in their configuration, and servers that are not
    /// active.
    Status(commands::status::Arguments),
    /// Shows the evidence behind decisions about servers and requests.
    Explain(commands::explain::Arguments),
    /// Shows the traffic of each organisation to each service: requests, outcomes, bytes.
    Usage(commands::usage::Arguments),
    /// Reports how services meet their objectives.
    Report(commands::report::Arguments),
    /// Starts a planned stop of a daemon, which completes the requests in flight.
    Drain(commands::drain::Arguments),
}

/// Starts logging: to standard output for a daemon, and to standard error for the other commands,
/// whose standard output is their result.
fn start_logging(command: &Command) -> std::io::Result<()> {
    if let Command::Run(_) = command {
        return logging::start();
    }
    let environment = env_logger::Env::default().default_filter_or("info,tarpc=off");
    env_logger::Builder::from_env(environment)
        .try_init()
        .map_err(std::io::Error::other)
}

#[tokio::main]
async fn main() -> process::ExitCode {
    let arguments = Arguments::parse();
    if let Err(error) = start_logging(&arguments.command) {
        eprintln!("logs: {error}");
        return exit::Code::Failure.into();
    }
    let code = match arguments.command {
        Command::Run(arguments) => arguments.run().await,
        Command::Config(arguments) => arguments.run().await,
        Command::Status(arguments) => arguments.run().await,
        Command::Explain(arguments) => arguments.run().await,
        Command::Usage(arguments) => arguments.run().await,
        Command::Report(arguments) => arguments.run().await,
        Command::Drain(arguments) => arguments.run().await,
    };
    logging::flush();
    code.into()
}
