//! `explain log`: shows what daemons logged of a request or a server, in order.

use std::path;

use clap::Args;

use crate::{exit, output};

/// Arguments of `explain log`.
#[derive(Args, Debug)]
pub struct Arguments {
    /// Show the lines of this request, by the name that its caller gave it or by its number.
    #[arg(long, value_name = "ID", required_unless_present = "server")]
    request: Option<String>,
    /// Show the lines of this server, those of requests that were sent to it included.
    #[arg(long, value_name = "NAME")]
    server: Option<String>,
    /// Files with the logs of daemons.
    #[arg(required = true)]
    files: Vec<path::PathBuf>,
}

/// A line of a log.
struct Line<'a> {
    time: &'a str,
    file: usize,
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
        for (file, text) in texts.iter().enumerate() {
            let wanted = text.lines().filter(|line| self.wants(line));
            lines.extend(wanted.map(|text| Line {
                time: value(text, "time").unwrap_or_default(),
                file,
                text,
            }));
        }
        lines.sort_by_key(|line| line.time);
        for line in &lines {
            let file = self.files[line.file].display();
            output::line(format_args!("{file}: {}", line.text));
        }
        if lines.is_empty() {
            output::error(format_args!("explain: no line of the files is about it"));
            return exit::Code::Failure;
        }
        exit::Code::Success
    }

    fn wants(&self, line: &str) -> bool {
        let is = |name, wanted: &str| value(line, name) == Some(wanted);
        let request = |id: &str| is("request", id) || is("number", id);
        let attempted = |server: &str| {
            value(line, "attempts").is_some_and(|a| a.contains(&format!("{server}@")))
        };
        let server = |name: &str| is("server", name) || attempted(name);
        self.request.as_deref().is_none_or(request) && self.server.as_deref().is_none_or(server)
    }
}

/// The value of a name in a line of `name=value` pairs, without its quotes.
fn value<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let at = line.match_indices(name).map(|(at, _)| at).find(|at| {
        let before = line[..*at].chars().next_back();
        before.is_none_or(|c| c == ' ') && line[at + name.len()..].starts_with('=')
    })?;
    let rest = &line[at + name.len() + 1..];
    match rest.strip_prefix('"') {
        Some(quoted) => quoted.split('"').next(),
        None => rest.split(' ').next(),
    }
}
