//! Output of an experiment: JSON or a table.

use std::fmt::Write as _;
use std::fs;
use std::time::{SystemTime, UNIX_EPOCH};

use super::{Name, Options};

/// A row of results.
pub trait Row: serde::Serialize + Send {
    /// Headings of the columns.
    const HEADINGS: &'static [&'static str];

    /// Returns one cell per heading.
    fn cells(&self) -> Vec<String>;
}

/// State of the machine during a run.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Machine {
    /// Number of cores that the process may use.
    pub cores: usize,
    /// One-minute load average at the start.
    pub load_before: f64,
    /// One-minute load average at the end.
    pub load_after: f64,
}

/// Results of an experiment.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Report<R> {
    /// Name of the experiment.
    pub experiment: String,
    /// Seed of all random choices.
    pub seed: u64,
    /// Factor by which the duration of each measurement was multiplied.
    pub scale: f64,
    /// Start time, in seconds since the Unix epoch.
    pub started: u64,
    /// State of the machine.
    pub machine: Machine,
    /// Which parts ran as processes and which shared one.
    pub parts: String,
    /// Target that the results are compared with.
    pub target: String,
    /// Rows of the table.
    pub rows: Vec<R>,
}

/// A report with any type of row.
pub trait Printable: Send {
    /// Formats the report as JSON.
    fn json(&self) -> String;

    /// Formats the report as a table.
    fn table(&self) -> String;
}

impl<R: Row> Report<R> {
    /// Creates a report without results that starts now.
    #[must_use]
    pub fn new(name: Name, options: Options, parts: &str, target: &str) -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let load = load_average();
        Self {
            experiment: name.to_string(),
            seed: options.seed,
            scale: options.scale,
            started: since.map_or(0, |s| s.as_secs()),
            machine: Machine {
                cores: std::thread::available_parallelism().map_or(0, usize::from),
                load_before: load,
                load_after: load,
            },
            parts: parts.to_owned(),
            target: target.to_owned(),
            rows: Vec::new(),
        }
    }

    /// Adds the results and the load average at the end.
    #[must_use]
    pub fn finish(mut self, rows: Vec<R>) -> Self {
        self.machine.load_after = load_average();
        self.rows = rows;
        self
    }
}

impl<R: Row> Printable for Report<R> {
    fn json(&self) -> String {
        let json = serde_json::to_string_pretty(self);
        json.unwrap_or_else(|error| format!("cannot encode report as JSON: {error}"))
    }

    fn table(&self) -> String {
        let mut text = format!(
            "{}: seed {}, scale {}, {} cores, load {:.1} to {:.1}\n{}\ntarget: {}\n\n",
            self.experiment,
            self.seed,
            self.scale,
            self.machine.cores,
            self.machine.load_before,
            self.machine.load_after,
            self.parts,
            self.target,
        );
        let mut lines = vec![R::HEADINGS.iter().map(|h| (*h).to_owned()).collect()];
        lines.extend(self.rows.iter().map(Row::cells));
        let column_width = |column: usize| {
            lines
                .iter()
                .map(|line: &Vec<String>| line[column].len())
                .max()
        };
        let widths: Vec<_> = (0..R::HEADINGS.len())
            .map(|column| column_width(column).unwrap_or(0))
            .collect();
        for line in &lines {
            let cells = line.iter().zip(&widths);
            let cells: Vec<_> = cells
                .map(|(cell, width)| format!("{cell:<width$}"))
                .collect();
            let _ = writeln!(text, "{}", cells.join("  ").trim_end());
        }
        text
    }
}

/// One-minute load average; zero if the system does not report it.
fn load_average() -> f64 {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let first = text.split_whitespace().next();
    first.and_then(|f| f.parse().ok()).unwrap_or_default()
}

/// Formats a number with `digits` decimals; a dash if it is absent.
pub(super) fn format_number(value: Option<f64>, digits: usize) -> String {
    value.map_or("-".to_owned(), |v| format!("{v:.digits$}"))
}
