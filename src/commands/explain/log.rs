//! `explain log`: shows log lines of daemons about a request or a server, in chronological order.

use std::path;

use clap::Args;

use crate::{exit, output};

/// Arguments of `explain log`.
#[derive(Args, Debug)]
pub struct Arguments {
    /// Show the lines of this request, by its caller's id or by its number.
    #[arg(long, value_name = "ID", required_unless_present = "server")]
    request: Option<String>,
    /// Show the lines of this server, including those of requests with attempts at it.
    #[arg(long, value_name = "NAME")]
    server: Option<String>,
    /// Log files of daemons.
    #[arg(required = true)]
    files: Vec<path::PathBuf>,
}

/// A log line, with the index of its file.
struct Line<'a> {
    time: &'a str,
    file_index: usize,
    text: &'a str,
}

impl Arguments {
    /// Shows the lines.
    pub async fn run(self) -> exit::Code {
        let mut texts = Vec::new();
        for file in &self.files {
            match tokio::fs::read(file).await {
                Ok(bytes) => texts.push(String::from_utf8_lossy(&bytes).into_owned()),
                Err(error) => {
                    output::error(format_args!("explain: file {}: {error}", file.display()));
                    return exit::Code::Input;
                }
            }
        }
        let mut lines: Vec<Line<'_>> = Vec::new();
        for (file_index, text) in texts.iter().enumerate() {
            let matching = text.lines().filter(|line| self.matches(line));
            lines.extend(matching.map(|text| Line {
                time: pair_value(text, "time").unwrap_or_default(),
                file_index,
                text,
            }));
        }
        lines.sort_by_key(|line| line.time);
        for line in &lines {
            let file = self.files[line.file_index].display();
            output::line(format_args!("{file}: {}", line.text));
        }
        if lines.is_empty() {
            output::error(format_args!("explain: no line of the files matches"));
            return exit::Code::Failure;
        }
        exit::Code::Success
    }

    fn matches(&self, line: &str) -> bool {
        let has_pair = |name, wanted: &str| pair_value(line, name) == Some(wanted);
        let is_about_request = |id: &str| has_pair("request", id) || has_pair("number", id);
        let has_attempt_at = |server: &str| {
            pair_value(line, "attempts").is_some_and(|a| a.contains(&format!("{server}@")))
        };
        let is_about_server = |name: &str| has_pair("server", name) || has_attempt_at(name);
        self.request.as_deref().is_none_or(is_about_request)
            && self.server.as_deref().is_none_or(is_about_server)
    }
}

/// Returns the value of a name in a line of `name=value` pairs, without its quotes.
fn pair_value<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let start = line
        .match_indices(name)
        .map(|(start, _)| start)
        .find(|start| {
            let before = line[..*start].chars().next_back();
            before.is_none_or(|c| c == ' ') && line[start + name.len()..].starts_with('=')
        })?;
    let rest = &line[start + name.len() + 1..];
    match rest.strip_prefix('"') {
        Some(quoted) => quoted.split('"').next(),
        None => rest.split(' ').next(),
    }
}
