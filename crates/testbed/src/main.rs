//! Command line of the simulated systems and the experiments.

use std::process;

use clap::Parser;

mod commands;

/// Simulated systems around a monsooncart fleet, and experiments on the fleet.
#[derive(Parser, Debug)]
#[command(name = "monsooncart-testbed", version)]
enum Command {
    /// Runs a backend server with gray failure modes.
    Backend(commands::backend::Arguments),
    /// Sends requests to a fleet and checks the responses.
    Caller(commands::caller::Arguments),
    /// Measures one fleet; started by the experiment `control-cost`.
    ControlPoint(commands::control_point::Arguments),
    /// Measures a fleet and compares it with the naive baseline.
    Experiment(commands::experiment::Arguments),
    /// Runs a fault-injecting proxy.
    Fault(commands::fault::Arguments),
    /// Runs a daemon with the naive policy as the baseline of experiments.
    NaiveDaemon(commands::naive_daemon::Arguments),
    /// Runs the platform's object API and VM list.
    Platform(commands::platform::Arguments),
    /// Runs daemons under random faults and checks that their guarantees hold.
    Soak(commands::soak::Arguments),
    /// Stops daemons in a mix of requests and checks that none is lost.
    Stops(commands::stops::Arguments),
}

#[tokio::main]
async fn main() -> process::ExitCode {
    let command = Command::parse();
    // The daemons of an experiment run in its process and would log between its results.
    let filter = match command {
        Command::ControlPoint(_)
        | Command::Experiment(_)
        | Command::Soak(_)
        | Command::Stops(_) => "error",
        _ => "info,tarpc=off",
    };
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or(filter)).init();
    match command {
        Command::Backend(arguments) => arguments.run().await,
        Command::Caller(arguments) => arguments.run().await,
        Command::ControlPoint(arguments) => arguments.run().await,
        Command::Experiment(arguments) => arguments.run().await,
        Command::Fault(arguments) => arguments.run().await,
        Command::NaiveDaemon(arguments) => arguments.run().await,
        Command::Platform(arguments) => arguments.run().await,
        Command::Soak(arguments) => arguments.run().await,
        Command::Stops(arguments) => arguments.run().await,
    }
}
