//! Drills of the review: the product's own daemons among stand-ins, on loopback and the real clock.

mod consumer;
mod fleet;
mod http;
mod leaving;
mod poison;
mod record;
mod server;
mod stop;
mod store;
mod verdict;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    if words.first().is_some_and(|word| word == "server") {
        return match server::Options::parse(&words[1..]).map(server::run) {
            Some(Ok(())) => ExitCode::SUCCESS,
            _ => ExitCode::from(2),
        };
    }
    let [drill, folder] = words.as_slice() else {
        eprintln!("usage: drill NAME FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let path = PathBuf::from(folder).join("record.txt");
    let record = match record::Record::create(&path) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("{}: {error}", path.display());
            return ExitCode::from(2);
        }
    };
    let result = match drill.as_str() {
        "expiry" => poison::Drill {
            daemons: 3,
            route_type: "unsafe",
            services: vec![("huvo11a", 40, 5), ("wuno96b", 30, 5), ("kelo52d", 30, 5)],
            slots: 6,
            work: Duration::from_millis(440),
            others_per_s: 20.0,
            interval: Duration::from_secs(1),
            body_bytes: 300,
            losses: 0,
            length: Duration::from_secs(90),
        }
        .run(&record, trouble),
        "blame" => poison::Drill {
            daemons: 1,
            route_type: "unsafe",
            services: vec![("huvo11a", 100, 6)],
            slots: 6,
            work: Duration::from_millis(440),
            others_per_s: 76.0,
            interval: Duration::from_secs(1),
            body_bytes: 300,
            losses: 0,
            length: Duration::from_secs(45),
        }
        .run(&record, trouble),
        "large" => poison::Drill {
            daemons: 3,
            route_type: "upload",
            services: vec![("huvo11a", 100, 8)],
            slots: 3,
            work: Duration::from_millis(180),
            others_per_s: 10.0,
            interval: Duration::from_secs(2),
            body_bytes: 9 << 20,
            losses: 0,
            length: Duration::from_secs(40),
        }
        .run(&record, trouble),
        "lost" => poison::Drill {
            daemons: 3,
            route_type: "unsafe",
            services: vec![("huvo11a", 100, 25)],
            slots: 6,
            work: Duration::from_millis(150),
            others_per_s: 600.0,
            interval: Duration::from_secs(1),
            body_bytes: 300,
            losses: 6,
            length: Duration::from_secs(25),
        }
        .run(&record, trouble),
        "leave" => leaving::run(&record, trouble),
        "stop" => stop::run(&record, trouble),
        _ => {
            eprintln!("no drill {drill}");
            return ExitCode::from(2);
        }
    };
    match result {
        Ok(verdict) => {
            record.say(&format!("{verdict:?}"));
            ExitCode::from(verdict.code())
        }
        Err(error) => {
            record.say(&format!("could not run: {error}"));
            ExitCode::from(2)
        }
    }
}
