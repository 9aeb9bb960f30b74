//! `config check`: checks files, without a connection to the platform or a daemon.

use std::path;

use clap::Args;
use monsooncart_config::{error, fleet, settings};

use crate::{exit, output};

/// Arguments of `config check`.
#[derive(Args, Debug)]
pub struct Arguments {
    /// Fleet files, or settings of a daemon with `--settings`, in JSON with comments.
    #[arg(required = true)]
    files: Vec<path::PathBuf>,
    /// Treat the files as settings of a daemon; an embedded fleet file is checked too.
    #[arg(long)]
    settings: bool,
}

impl Arguments {
    /// Checks the files.
    pub fn run(self) -> exit::Code {
        let mut code = exit::Code::Success;
        for file in &self.files {
            let result = match self.settings {
                true => check_settings(file),
                false => check_fleet(file),
            };
            if let Err(errors) = result {
                output::error(errors);
                code = exit::Code::Input;
            }
        }
        code
    }
}

fn check_settings(file: &path::Path) -> Result<(), error::Errors> {
    let settings = settings::Settings::read(file)?;
    if let settings::Platform::Embedded(fleet) = &settings.platform {
        check_fleet(fleet)?;
    }
    output::line(format_args!(
        "{}: settings of {} are correct",
        file.display(),
        settings.name
    ));
    Ok(())
}

fn check_fleet(file: &path::Path) -> Result<(), error::Errors> {
    let fleet = read(file)?;
    output::line(format_args!(
        "{}: {} zones, {} services, {} organisations are correct",
        file.display(),
        fleet.zones.len(),
        fleet.services.len(),
        fleet.organisations.len()
    ));
    Ok(())
}

/// Reads a fleet and writes its warnings to standard error.
pub(super) fn read(file: &path::Path) -> Result<fleet::Fleet, error::Errors> {
    let report = fleet::Fleet::read(file)?;
    for warning in &report.warnings {
        output::error(warning);
    }
    Ok(report.value)
}
