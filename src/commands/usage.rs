//! `usage`: tells what organisations used.

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
    /// Address of the platform's object API: what daemons have written.
    #[arg(long, value_name = "ADDRESS", group = "source")]
    platform: Option<net::SocketAddr>,
    /// Admin addresses of daemons, separated by commas: what they and the members that they know
    /// hold. With `--platform` the totals are those of this moment; without it they lack what only
    /// the platform holds.
    #[arg(long, value_delimiter = ',', value_name = "ADDRESS", group = "source")]
    admin: Vec<net::SocketAddr>,
    /// Only hours that begin at this time or later, in seconds since 1970.
    #[arg(long, value_name = "SECONDS", default_value_t = 0)]
    from: u64,
    /// Only hours that begin before this time, in seconds since 1970.
    #[arg(long, value_name = "SECONDS", default_value_t = u64::MAX)]
    to: u64,
    /// Only this organisation.
    #[arg(long, value_name = "NAME")]
    organisation: Option<id::Organisation>,
    /// Write JSON.
    #[arg(long)]
    json: bool,
}

/// What an organisation used of a service.
#[derive(Debug, serde::Serialize)]
struct Row {
    #[serde(flatten)]
    key: counter::Key,
    total: u64,
    #[serde(flatten)]
    tally: tally::Tally,
}

impl Arguments {
    /// Tells the usage.
    ///
    /// A part of the sources that does not answer is named, and the exit code is then 1: the totals
    /// are those of the rest.
    pub async fn run(self) -> exit::Code {
        let mut totals = totals::Totals::default();
        let hours = self.from..self.to;
        let mut code = exit::Code::Success;
        if let Some(address) = self.platform {
            let client = client::Client::new(address);
            match objects::read::<page::Page>(&client, page::PREFIX).await {
                Ok(pages) => add(&mut totals, &hours, pages),
                Err(error) => {
                    output::error(format_args!("usage: {error}"));
                    code = exit::Code::Failure;
                }
            }
        }
        if !self.admin.is_empty() && !add_held(&mut totals, &hours, &self.admin).await {
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
        let wanted = |key: &counter::Key| {
            let only = self.organisation.as_ref();
            only.is_none_or(|only| *only == key.organisation)
        };
        let all = totals.by_key().into_iter().filter(|(key, _)| wanted(key));
        let row = |(key, tally): (counter::Key, tally::Tally)| Row {
            key,
            total: tally.total(),
            tally,
        };
        all.map(row).collect()
    }
}

/// Begins of hours, in seconds of the Unix epoch.
type Hours = std::ops::Range<u64>;

/// Adds the pages of some hours.
fn add(totals: &mut totals::Totals, hours: &Hours, pages: Vec<page::Page>) {
    for page in pages {
        let begin = page.name.period.0 * page::PERIOD_SECONDS;
        if hours.contains(&begin) {
            totals.add(page);
        }
    }
}

/// Adds what daemons hold; whether all of them answered.
async fn add_held(totals: &mut totals::Totals, hours: &Hours, admin: &[net::SocketAddr]) -> bool {
    let fleet = admin::Fleet::find(admin).await;
    let mut whole = true;
    for error in fleet.failures() {
        output::error(format_args!("usage: {error}"));
        whole = false;
    }
    for (_, answer) in fleet.ask::<reports::Usage>("/v1/usage").await {
        match answer {
            Ok(held) => add(totals, hours, held.pages),
            Err(error) => {
                output::error(format_args!("usage: {error}"));
                whole = false;
            }
        }
    }
    whole
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
    let mut head = format!(
        "{:<24} {:<24} {:>10}",
        "organisation", "service", "requests"
    );
    for outcome in sample::Outcome::iter() {
        head.push_str(&format!(" {:>10}", outcome.to_string()));
    }
    output::line(format_args!(
        "{head} {:>10} {:>16} {:>16}",
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
