//! `stops`: Stops daemons in a mix of requests and checks that none is lost.

use std::path;
use std::process;
use std::time::Duration;

use clap::Args;
use monsooncart_testbed::experiment;
use monsooncart_testbed::soak::{self, stops};

/// Arguments of `stops`.
#[derive(Args, Debug)]
pub struct Arguments {
    /// Seed of all random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of rounds of stops; two daemons are stopped in every other one.
    #[arg(long, default_value_t = 9, value_parser = clap::value_parser!(u32).range(1..=1000))]
    rounds: u32,
    /// Number of daemons.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u8).range(1..=60))]
    daemons: u8,
    /// Number of servers.
    #[arg(long, default_value_t = 18, value_parser = clap::value_parser!(u8).range(1..=90))]
    servers: u8,
    /// Number of callers.
    #[arg(long, default_value_t = 60)]
    callers: usize,
    /// Stops all daemons at the same time in each round.
    #[arg(long)]
    all: bool,
    /// Sends requests over HTTP/2.
    #[arg(long)]
    http2: bool,
    /// Lets slow readers read at a limited pace into small buffers.
    #[arg(long)]
    paced: bool,
    /// Daemon program; that of the same build if absent.
    #[arg(long)]
    program: Option<path::PathBuf>,
    /// Directory for settings and logs; a new one in the temporary directory if absent.
    #[arg(long)]
    folder: Option<path::PathBuf>,
}

impl Arguments {
    /// Runs the stops; fails if a request is lost.
    pub async fn run(self) -> process::ExitCode {
        let name = format!("monsooncart-stops-{}-{}", self.seed, process::id());
        let directory = self
            .folder
            .unwrap_or_else(|| std::env::temp_dir().join(name));
        let program = match self.program {
            Some(program) => Ok(program),
            None => experiment::process::monsooncart_path(),
        };
        let program = match program.and_then(|p| std::fs::create_dir_all(&directory).map(|()| p)) {
            Ok(program) => program,
            Err(error) => {
                eprintln!("stops: {}: {error}", directory.display());
                return process::ExitCode::FAILURE;
            }
        };
        let options = soak::Options {
            seed: self.seed,
            duration: Duration::ZERO,
            daemons: self.daemons,
            servers: self.servers,
            callers: self.callers,
            check_time_limits: true,
            violate_not_run: false,
            directory: directory.clone(),
            program,
        };
        let plan = stops::Plan {
            rounds: self.rounds,
            all: self.all,
            http2: self.http2,
            paced: self.paced,
        };
        match stops::run(&options, plan).await {
            Ok(report) => {
                println!("stops: seed={} {report}", self.seed);
                if !report.is_violated() {
                    return process::ExitCode::SUCCESS;
                }
                println!("stops: logs in {}", directory.display());
            }
            Err(error) => eprintln!("stops: seed={}: {error}", self.seed),
        }
        process::ExitCode::FAILURE
    }
}
