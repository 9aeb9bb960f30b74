//! `config`: checks, compares, applies and shows the configuration of a fleet.

use clap::{Args, Subcommand};

use crate::exit;

pub mod apply;
pub mod check;
pub mod diff;
mod failure;
pub mod show;

/// Arguments of `config`.
#[derive(Args, Debug)]
pub struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand, Debug)]
enum Command {
    /// Checks files, without a connection to the platform or a daemon.
    ///
    /// Every problem of every file is written to standard error as `file:line:column: field:
    /// problem`, with the value as written and what is expected, and the exit code is then 2.
    /// Warnings do not change the exit code.
    Check(check::Arguments),
    /// Shows what applying a file would change.
    ///
    /// Lists each object of the platform that differs, with its fields, the old value first. The
    /// first line gives the id of the change that the file is compared with: with that id,
    /// `config apply --base` applies the file only if no other change was made since.
    Diff(diff::Arguments),
    /// Applies a fleet file to the platform.
    ///
    /// The change is accepted atomically, by one conditional update. If another change was accepted
    /// first, both sides are shown and nothing is applied. If a response of the platform is lost,
    /// the result of the change is read back. A change that an earlier apply accepted but did not
    /// write completely is completed first.
    ///
    /// Exit codes: 0 applied, or nothing to change; 1 not applied; 2 invalid file; 3 conflict;
    /// 4 result unknown, apply the file again; 5 accepted, but not in force everywhere in time.
    Apply(apply::Arguments),
    /// Shows the fleet stored in the platform, as JSON that `check` accepts.
    ///
    /// Services and organisations are sorted by name, and every field is written, including those
    /// with default values. With `--changes` it shows the latest changes instead.
    Show(show::Arguments),
}

impl Arguments {
    /// Runs the subcommand.
    pub async fn run(self) -> exit::Code {
        match self.command {
            Command::Check(arguments) => arguments.run(),
            Command::Diff(arguments) => arguments.run().await,
            Command::Apply(arguments) => arguments.run().await,
            Command::Show(arguments) => arguments.run().await,
        }
    }
}
