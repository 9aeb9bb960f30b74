//! `control-point`: Measures one fleet; started by the experiment `control-cost`.

use std::process;

use clap::Args;
use monsooncart_testbed::experiment::control_cost;
use monsooncart_types::span;

/// Arguments of `control-point`.
#[derive(Args, Debug)]
pub struct Arguments {
    /// Dimension that varies.
    #[arg(long)]
    over: control_cost::Dimension,
    /// Size in that dimension.
    #[arg(long)]
    value: usize,
    /// Uses the naive policy.
    #[arg(long)]
    naive: bool,
    /// Duration of the measurement, such as `6s`.
    #[arg(long)]
    span: span::Span,
}

impl Arguments {
    /// Measures the fleet and prints the results as JSON.
    pub async fn run(self) -> process::ExitCode {
        let point = control_cost::Point {
            dimension: self.over,
            value: self.value,
            naive: self.naive,
            duration: self.span.0,
        };
        let row = match point.measure().await {
            Ok(row) => row,
            Err(error) => {
                eprintln!("control-point: {error}");
                return process::ExitCode::FAILURE;
            }
        };
        match serde_json::to_string(&row) {
            Ok(text) => println!("{text}"),
            Err(error) => {
                eprintln!("control-point: cannot encode results as JSON: {error}");
                return process::ExitCode::FAILURE;
            }
        }
        process::ExitCode::SUCCESS
    }
}
