//! `usage`: shows the traffic of organisations.

use std::net;

use clap::Args;
use monsooncart_daemon::reports;
use monsooncart_store::client;
use monsooncart_types::id;
use monsooncart_usage::{counter, page, sample, tally, totals};
use strum::IntoEnumIterator as _;

use crate::{admin, exit, objects, output};

/// Arguments of `usage`.
#[derive(Args, Debug)]
#[command(group(clap::ArgGroup::new("source").required(true).multiple(true)))]
pub struct Arguments {
    /// Address of the platform's object API, for the counts written by daemons.
    #[arg(long, value_name = "ADDRESS", group = "source")]
    platform: Option<net::SocketAddr>,
    /// Admin addresses of daemons, separated by commas, for the counts that they and the members
    /// that they know have in memory. With `--platform` the totals are current; without it they
    /// lack counts that only the platform has.
    #[arg(long, value_delimiter = ',', value_name = "ADDRESS", group = "source")]
    admin: Vec<net::SocketAddr>,
    /// Only hours that start at this time or later, in seconds since the Unix epoch.
    #[arg(long, value_name = "SECONDS", default_value_t = 0)]
    from: u64,
    /// Only hours that start before this time, in seconds since the Unix epoch.
    #[arg(long, value_name = "SECONDS", default_value_t = u64::MAX)]
    to: u64,
    /// Only this organisation.
    #[arg(long, value_name = "NAME")]
    organisation: Option<id::Organisation>,
    /// Write JSON.
    #[arg(long)]
    json: bool,
}

/// Traffic of an organisation to a service.
#[derive(Debug, serde::Serialize)]
struct Row {
    #[serde(flatten)]
    key: counter::Key,
    total: u64,
    #[serde(flatten)]
    tally: tally::Tally,
}

impl Arguments {
    /// Shows the usage.
    ///
    /// If a source does not respond, the error is printed and the exit code is 1; the totals then
    /// cover the other sources.
    pub async fn run(self) -> exit::Code {
        let mut totals = totals::Totals::default();
        let hours = self.from..self.to;
        let mut code = exit::Code::Success;
        if let Some(address) = self.platform {
            let client = client::Client::new(address);
            match objects::read::<page::Page>(&client, page::PREFIX).await {
                Ok(pages) => add_pages(&mut totals, &hours, pages),
                Err(error) => {
                    output::error(format_args!("usage: {error}"));
                    code = exit::Code::Failure;
                }
            }
        }
        if !self.admin.is_empty() && !add_from_daemons(&mut totals, &hours, &self.admin).await {
            code = exit::Code::Failure;
        }
        let rows = self.rows(&totals);
        if self.json {
            return print_json(&rows, code);
        }
        if code == exit::Code::Success || !rows.is_empty() {
            print_table(&rows);
        }
        code
    }

    fn rows(&self, totals: &totals::Totals) -> Vec<Row> {
        let is_wanted = |key: &counter::Key| {
            let only = self.organisation.as_ref();
            only.is_none_or(|only| *only == key.organisation)
        };
        let all = totals
            .by_key()
            .into_iter()
            .filter(|(key, _)| is_wanted(key));
        let row = |(key, tally): (counter::Key, tally::Tally)| Row {
            key,
            total: tally.total(),
            tally,
        };
        all.map(row).collect()
    }
}

/// Range of start times of hours, in seconds since the Unix epoch.
type Hours = std::ops::Range<u64>;

/// Adds the pages of the given hours.
fn add_pages(totals: &mut totals::Totals, hours: &Hours, pages: Vec<page::Page>) {
    for page in pages {
        let start = page.name.period.0 * page::PERIOD_SECONDS;
        if hours.contains(&start) {
            totals.add(page);
        }
    }
}

/// Adds the pages of all daemons; returns whether all of them responded.
async fn add_from_daemons(
    totals: &mut totals::Totals,
    hours: &Hours,
    admin: &[net::SocketAddr],
) -> bool {
    let fleet = admin::Fleet::discover(admin).await;
    let mut all_responded = true;
    for error in fleet.failures() {
        output::error(format_args!("usage: {error}"));
        all_responded = false;
    }
    for (_, response) in fleet.get_from_all::<reports::Usage>("/v1/usage").await {
        match response {
            Ok(usage) => add_pages(totals, hours, usage.pages),
            Err(error) => {
                output::error(format_args!("usage: {error}"));
                all_responded = false;
            }
        }
    }
    all_responded
}

fn print_json(rows: &[Row], code: exit::Code) -> exit::Code {
    match serde_json::to_string_pretty(rows) {
        Ok(json) => output::line(json),
        Err(error) => {
            output::error(format_args!("usage: {error}"));
            return exit::Code::Failure;
        }
    }
    code
}

fn print_table(rows: &[Row]) {
    let mut header = format!(
        "{:<24} {:<24} {:>10}",
        "organisation", "service", "requests"
    );
    for outcome in sample::Outcome::iter() {
        header.push_str(&format!(" {:>10}", outcome.to_string()));
    }
    output::line(format_args!(
        "{header} {:>10} {:>16} {:>16}",
        "attempts", "received", "sent"
    ));
    for row in rows {
        let counter::Key {
            organisation,
            service,
        } = &row.key;
        let mut line = format!("{organisation:<24} {service:<24} {:>10}", row.total);
        for outcome in sample::Outcome::iter() {
            let count = row
                .tally
                .requests
                .get(&outcome)
                .copied()
                .unwrap_or_default();
            line.push_str(&format!(" {count:>10}"));
        }
        let tally::Tally {
            attempts,
            received,
            sent,
            ..
        } = row.tally;
        output::line(format_args!(
            "{line} {attempts:>10} {received:>16} {sent:>16}"
        ));
    }
}
