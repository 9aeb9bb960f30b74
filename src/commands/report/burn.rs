//! `report burn`: reports service-level burn.

use std::collections::BTreeMap;
use std::{net, path};

use clap::Args;
use monsooncart_config::objective;
use monsooncart_daemon::reports;
use monsooncart_store::client;
use monsooncart_types::id;
use monsooncart_usage::burn::{html, report, snapshot};

use crate::{admin, exit, objects, output};

/// Arguments of `report burn`.
#[derive(Args, Debug)]
pub struct Arguments {
    /// Admin addresses of daemons, separated by commas; the members that they know are queried too.
    #[arg(long, value_delimiter = ',', value_name = "ADDRESS", required = true)]
    admin: Vec<net::SocketAddr>,
    /// Address of the platform's object API, for the counts written by replaced daemons.
    #[arg(long, value_name = "ADDRESS")]
    platform: Option<net::SocketAddr>,
    /// Only this service.
    #[arg(long, value_name = "NAME")]
    service: Option<id::Service>,
    /// Write JSON.
    #[arg(long)]
    json: bool,
    /// Write a self-contained HTML page with plots to this file.
    #[arg(long, value_name = "FILE")]
    html: Option<path::PathBuf>,
}

/// Input of a report, collected from the platform and the daemons.
#[derive(Default)]
struct Collected {
    /// Latest time of any daemon's response, in seconds since the Unix epoch.
    seconds: u64,
    objectives: BTreeMap<id::Service, objective::Objective>,
    snapshots: snapshot::Snapshots,
    /// Number of sources that did not respond.
    failures: usize,
    /// Number of daemons that responded.
    daemons: usize,
}

impl Collected {
    fn record_failure(&mut self, error: &impl std::fmt::Display) {
        output::error(format_args!("report: {error}"));
        self.failures += 1;
    }

    async fn add_from_platform(&mut self, address: net::SocketAddr) {
        let client = client::Client::new(address);
        match objects::read(&client, snapshot::PREFIX).await {
            Ok(stored) => stored.into_iter().for_each(|s| self.snapshots.add(s)),
            Err(error) => self.record_failure(&error),
        }
    }

    async fn add_from_daemons(&mut self, admin: &[net::SocketAddr]) {
        let fleet = admin::Fleet::discover(admin).await;
        for error in fleet.failures() {
            self.record_failure(error);
        }
        for (_, response) in fleet.get_from_all::<reports::Burn>("/v1/burn").await {
            match response {
                Ok(burn) => self.add(burn),
                Err(error) => self.record_failure(&error),
            }
        }
    }

    fn add(&mut self, burn: reports::Burn) {
        self.daemons += 1;
        self.seconds = self.seconds.max(burn.seconds);
        self.objectives.extend(burn.objectives);
        for snapshot in burn.snapshots {
            self.snapshots.add(snapshot);
        }
    }
}

impl Arguments {
    /// Prints or writes the report.
    ///
    /// If a source does not respond, the error is printed and the exit code is 1; the report then
    /// covers the other sources.
    pub async fn run(self) -> exit::Code {
        let mut collected = Collected::default();
        if let Some(address) = self.platform {
            collected.add_from_platform(address).await;
        }
        collected.add_from_daemons(&self.admin).await;
        if collected.daemons == 0 {
            output::error("report: no daemon responded, so the objectives are unknown");
            return exit::Code::Failure;
        }
        if let Some(only) = &self.service {
            collected.objectives.retain(|name, _| name == only);
        }
        let seconds = collected.seconds;
        let report = report::Report::new(seconds, &collected.objectives, &collected.snapshots);
        if let Err(error) = self.write(&report) {
            output::error(format_args!("report: {error}"));
            return exit::Code::Failure;
        }
        match collected.failures {
            0 => exit::Code::Success,
            _ => exit::Code::Failure,
        }
    }

    fn write(&self, report: &report::Report) -> Result<(), Error> {
        if let Some(file) = &self.html {
            let page = html::render(report).map_err(Error::Plot)?;
            std::fs::write(file, page).map_err(|source| Error::File {
                file: file.display().to_string(),
                source,
            })?;
        }
        if self.json {
            let json = serde_json::to_string_pretty(report).map_err(Error::Json)?;
            output::line(json);
            return Ok(());
        }
        output::line(report);
        Ok(())
    }
}

/// Failure to write a report.
#[derive(Debug, derive_more::Display, derive_more::Error)]
enum Error {
    /// A plot could not be rendered.
    #[display("{_0}")]
    Plot(html::Error),
    /// The report could not be encoded as JSON.
    #[display("{_0}")]
    Json(serde_json::Error),
    /// The page could not be written.
    #[display("cannot write {file}: {source}")]
    File {
        /// Path of the page.
        file: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
}
