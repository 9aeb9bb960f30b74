//! `experiment`: Measures a fleet and compares it with the naive baseline.

use std::process;

use clap::Args;
use monsooncart_testbed::experiment;

/// Arguments of `experiment`.
#[derive(Args, Debug)]
pub struct Arguments {
    /// Name of the experiment.
    #[arg(value_parser = clap::builder::PossibleValuesParser::new(
        <experiment::Name as strum::VariantNames>::VARIANTS
    ))]
    name: String,
    /// Seed of all random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Factor by which the duration of each measurement is multiplied.
    #[arg(long, default_value_t = 1.0)]
    scale: f64,
    /// Prints JSON instead of a table.
    #[arg(long)]
    json: bool,
}

impl Arguments {
    /// Runs the experiment and prints its report; the exit code does not depend on the results.
    pub async fn run(self) -> process::ExitCode {
        let name = match self.name.parse() {
            Ok(name) => name,
            Err(error) => {
                eprintln!("experiment: {}: {error}", self.name);
                return process::ExitCode::FAILURE;
            }
        };
        let options = experiment::Options {
            seed: self.seed,
            scale: self.scale,
        };
        match experiment::run(name, options).await {
            Ok(report) if self.json => println!("{}", report.json()),
            Ok(report) => print!("{}", report.table()),
            Err(error) => {
                eprintln!("experiment: {name}: {error}");
                return process::ExitCode::FAILURE;
            }
        }
        process::ExitCode::SUCCESS
    }
}
