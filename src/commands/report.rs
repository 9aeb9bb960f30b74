//! `report`: reports how services meet their objectives.

use clap::{Args, Subcommand};

use crate::exit;

pub mod burn;

/// Arguments of `report`.
#[derive(Args, Debug)]
pub struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand, Debug)]
enum Command {
    /// Shows how fast services spend their error budgets, and for which causes.
    ///
    /// Shows the burn of each service and its organisations over 5 minutes, 1 hour, 6 hours and
    /// 3 days: a burn of 1 spends exactly the budget that the objective allows, a higher burn
    /// spends it faster. Below, lists the servers, faults and decisions that spent the most.
    ///
    /// Includes the counts of the daemons and their copies of the counts of replaced daemons; with
    /// `--platform` also the counts that replaced daemons have written there.
    Burn(burn::Arguments),
}

impl Arguments {
    /// Runs the subcommand.
    pub async fn run(self) -> exit::Code {
        match self.command {
            Command::Burn(arguments) => arguments.run().await,
        }
    }
}
