//! `soak`: Runs daemons under random faults and checks that their guarantees hold.

use std::path;
use std::process;
use std::time::Duration;

use clap::Args;
use monsooncart_testbed::experiment;
use monsooncart_testbed::soak;

/// Arguments of `soak`.
#[derive(Args, Debug)]
pub struct Arguments {
    /// Seed of all random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Duration of the fault injection, in minutes.
    #[arg(long, default_value_t = 1.0)]
    minutes: f64,
    /// Number of daemons.
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u8).range(1..=60))]
    daemons: u8,
    /// Number of servers at the start.
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u8).range(1..=90))]
    servers: u8,
    /// Number of callers.
    #[arg(long, default_value_t = 40)]
    callers: usize,
    /// Does not check time limits; for machines that are busy with other work.
    #[arg(long)]
    untimed: bool,
    /// Makes servers execute requests that they report as not run, which the soak test must detect.
    #[arg(long)]
    liars: bool,
    /// Directory for settings and logs; a new one in the temporary directory if absent.
    #[arg(long)]
    folder: Option<path::PathBuf>,
}

impl Arguments {
    /// Runs the soak test; fails if a guarantee is violated.
    pub async fn run(self) -> process::ExitCode {
        let name = format!("monsooncart-soak-{}-{}", self.seed, process::id());
        let directory = self
            .folder
            .unwrap_or_else(|| std::env::temp_dir().join(name));
        let program = experiment::process::monsooncart_path();
        let program = match program.and_then(|p| std::fs::create_dir_all(&directory).map(|()| p)) {
            Ok(program) => program,
            Err(error) => {
                eprintln!("soak: {}: {error}", directory.display());
                return process::ExitCode::FAILURE;
            }
        };
        let options = soak::Options {
            seed: self.seed,
            duration: Duration::from_secs_f64(self.minutes.max(0.0) * 60.0),
            daemons: self.daemons,
            servers: self.servers,
            callers: self.callers,
            check_time_limits: !self.untimed,
            violate_not_run: self.liars,
            directory: directory.clone(),
            program,
        };
        match soak::run(options).await {
            Ok(report) => {
                println!("soak: seed={} {report}", self.seed);
                if report.violation_count == 0 {
                    return process::ExitCode::SUCCESS;
                }
                println!("soak: logs in {}", directory.display());
            }
            Err(error) => eprintln!("soak: seed={}: {error}", self.seed),
        }
        process::ExitCode::FAILURE
    }
}
