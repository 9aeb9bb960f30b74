//! `report burn`: tells service-level burn.

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
    /// Admin addresses of daemons, separated by commas; the members that they know are asked too.
    #[arg(long, value_delimiter = ',', value_name = "ADDRESS", required = true)]
    admin: Vec<net::SocketAddr>,
    /// Address of the platform's object API, for what replaced daemons have written.
    #[arg(long, value_name = "ADDRESS")]
    platform: Option<net::SocketAddr>,
    /// Only this service.
    #[arg(long, value_name = "NAME")]
    service: Option<id::Service>,
    /// Write JSON.
    #[arg(long)]
    json: bool,
    /// Write one page with plots to this file, which needs no other file.
    #[arg(long, value_name = "FILE")]
    html: Option<path::PathBuf>,
}

/// What was gathered for a report.
#[derive(Default)]
struct Gathered {
    seconds: u64,
    objectives: BTreeMap<id::Service, objective::Objective>,
    snapshots: snapshot::Snapshots,
    /// Sources that did not answer.
    missing: usize,
    /// Daemons that answered.
    daemons: usize,
}

impl Gathered {
    fn miss(&mut self, error: &impl std::fmt::Display) {
        output::error(format_args!("report: {error}"));
        self.missing += 1;
    }

    async fn add_stored(&mut self, address: net::SocketAddr) {
        let client = client::Client::new(address);
        match objects::read(&client, snapshot::PREFIX).await {
            Ok(stored) => stored.into_iter().for_each(|s| self.snapshots.add(s)),
            Err(error) => self.miss(&error),
        }
    }

    async fn add_held(&mut self, admin: &[net::SocketAddr]) {
        let fleet = admin::Fleet::find(admin).await;
        for error in fleet.failures() {
            self.miss(error);
        }
        for (_, answer) in fleet.ask::<reports::Burn>("/v1/burn").await {
            match answer {
                Ok(burn) => self.add(burn),
                Err(error) => self.miss(&error),
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
    /// Makes the report.
    ///
    /// A source that does not answer is named, and the exit code is then 1: the report is that of
    /// the rest.
    pub async fn run(self) -> exit::Code {
        let mut gathered = Gathered::default();
        if let Some(address) = self.platform {
            gathered.add_stored(address).await;
        }
        gathered.add_held(&self.admin).await;
        if gathered.daemons == 0 {
            output::error("report: no daemon answered, so the objectives are not known");
            return exit::Code::Failure;
        }
        if let Some(only) = &self.service {
            gathered.objectives.retain(|name, _| name == only);
        }
        let seconds = gathered.seconds;
        let report = report::Report::new(seconds, &gathered.objectives, &gathered.snapshots);
        if let Err(error) = self.write(&report) {
            output::error(format_args!("report: {error}"));
            return exit::Code::Failure;
        }
        match gathered.missing {
            0 => exit::Code::Success,
            _ => exit::Code::Failure,
        }
    }

    fn write(&self, report: &report::Report) -> Result<(), Error> {
        if let Some(file) = &self.html {
            let page = html::page(report).map_err(Error::Plot)?;
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

/// A report that was not written.
#[derive(Debug, derive_more::Display, derive_more::Error)]
enum Error {
    /// A plot was not drawn.
    #[display("{_0}")]
    Plot(html::Error),
    /// The report is no JSON.
    #[display("{_0}")]
    Json(serde_json::Error),
    /// The page was not written.
    #[display("write of {file}: {source}")]
    File {
        /// The file.
        file: String,
        /// Why.
        source: std::io::Error,
    },
}
