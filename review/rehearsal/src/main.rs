//! Scripts of the third independent review: `rehearsal CASE FOLDER`, started in the repository's root.
//!
//! Each starts daemons with the command of the deploy file, with stand-ins of the store, the servers
//! and the consumers in this process, and writes `record.txt` into the folder. Exit codes: 0 if the
//! rule held, 1 if it was broken, 2 if the script could not run.

mod cases;
mod fleet;
mod http;
mod record;
mod server;
mod template;

use std::io;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use tokio::signal::unix;

/// Maximum length of a run.
const MAX_RUN: Duration = Duration::from_secs(110);

/// Waits for a signal to stop.
async fn stopped() {
    let (Ok(mut terminate), Ok(mut interrupt)) = (
        unix::signal(unix::SignalKind::terminate()),
        unix::signal(unix::SignalKind::interrupt()),
    ) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: rehearsal CASE FOLDER");
        return ExitCode::from(2);
    };
    let folder = PathBuf::from(folder);
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = record::Record::start();
    record.say(format!("case {case}, trouble: {trouble}"));
    let (name, clock) = (case.clone(), record.clone());
    let mut run = tokio::spawn(async move {
        match tokio::time::timeout(MAX_RUN, cases::run(&name, trouble, &clock)).await {
            Ok(result) => result,
            Err(_) => Err(io::Error::other("the run takes too long")),
        }
    });
    // However the run ends, it is dropped, which ends the processes that it started.
    let result = tokio::select! {
        result = &mut run => result.unwrap_or_else(|error| Err(io::Error::other(error))),
        () = stopped() => {
            run.abort();
            let _ = run.await;
            Err(io::Error::other("the run was stopped from outside"))
        }
    };
    let code = match result {
        Ok(cases::Verdict::Held) => {
            record.say("the rule held");
            0
        }
        Ok(cases::Verdict::Broken) => {
            record.say("THE RULE WAS BROKEN");
            1
        }
        Err(error) => {
            record.say(format!("could not run: {error}"));
            2
        }
    };
    if let Err(error) = record.write(&folder.join("record.txt")) {
        eprintln!("record: {error}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
