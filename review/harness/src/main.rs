//! Runs one case of the review: `review-harness CASE FOLDER`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0`
//! the disruption is left out.

mod cases;
mod client;
mod fleet;
mod http;
mod record;
mod server;
mod store;

use std::fs;
use std::path::Path;
use std::process::ExitCode;

/// How a run ended.
pub enum Verdict {
    Held(String),
    Broken(String),
    /// The case could not run.
    Unable(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-harness CASE FOLDER");
        return ExitCode::from(2);
    };
    record::now();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let run = std::panic::catch_unwind(|| cases::run(case, trouble));
    let verdict = run.unwrap_or_else(|_| Verdict::Unable("the case panicked".to_owned()));
    let (code, text) = match verdict {
        Verdict::Held(text) => (0, format!("held: {text}")),
        Verdict::Broken(text) => (1, format!("broken: {text}")),
        Verdict::Unable(text) => (2, format!("could not run: {text}")),
    };
    record::note(&text);
    println!("{text}");
    if let Err(error) = fs::write(Path::new(folder).join("record.txt"), record::text()) {
        eprintln!("record.txt: {error}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
