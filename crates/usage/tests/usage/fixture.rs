use std::collections::BTreeMap;
use std::time::Duration;

use monsooncart_types::{id, instance};
use monsooncart_usage::{book, counter, page, sample, tally, totals};

/// Start of an hour, in seconds since the Unix epoch.
pub const HOUR_START: u64 = 1_700_000_000 / page::PERIOD_SECONDS * page::PERIOD_SECONDS;

pub fn instance(number: u64) -> instance::Instance {
    instance::Instance(number)
}

pub fn book(number: u64) -> book::Book {
    let vm: id::Vm = format!("vm{number}").parse().expect("a name");
    book::Book::new(instance(number), vm)
}

pub fn sample(organisation: u64, bytes: u64) -> sample::Sample {
    sample::Sample {
        organisation: format!("org{organisation}").parse().expect("a name"),
        service: "purse-api".parse().expect("a name"),
        outcome: sample::Outcome::Answered,
        attempts: 1,
        received: bytes,
        sent: 2 * bytes,
        latency: Duration::from_millis(10),
        cause: None,
    }
}

pub fn counted(samples: &[sample::Sample]) -> Vec<(counter::Key, tally::Tally)> {
    let counter = counter::Counter::default();
    for sample in samples {
        counter.record(sample);
    }
    counter.take()
}

/// In-memory platform that stores pages by key and checks write conditions.
#[derive(Default)]
pub struct Platform {
    pages: BTreeMap<String, (u64, page::Page)>,
    version: u64,
}

impl Platform {
    /// Executes a call. A test simulates a lost response by discarding the result.
    pub fn call(&mut self, call: book::Call) -> book::Response {
        match call {
            book::Call::Get(name) => {
                let found = self.pages.get(&name.to_string());
                book::Response::Read(found.map(|(version, page)| (*version, page.sequence)))
            }
            book::Call::Put { page, version } => {
                let key = page.name.to_string();
                if self.pages.get(&key).map(|(version, _)| *version) != version {
                    return book::Response::Conflict;
                }
                self.version += 1;
                self.pages.insert(key, (self.version, page));
                book::Response::Written(self.version)
            }
        }
    }

    /// Executes calls until the book has none left.
    pub fn write_all(&mut self, book: &mut book::Book) {
        while let Some(call) = book.next_call() {
            let response = self.call(call);
            book.record_response(&response);
        }
    }

    pub fn totals(&self) -> totals::Totals {
        let mut totals = totals::Totals::default();
        for (_, page) in self.pages.values() {
            totals.add(page.clone());
        }
        totals
    }

    pub fn request_count(&self) -> u64 {
        let totals = self.totals().by_key();
        totals.values().map(tally::Tally::total).sum()
    }

    pub fn len(&self) -> usize {
        self.pages.len()
    }
}
