//! The cases.

mod hedged;
mod poison;
mod restored;
mod uploads;

use std::io;

use crate::record::Record;

/// Whether the rule was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
}

impl Verdict {
    fn broken_if(broken: bool) -> Self {
        if broken { Self::Broken } else { Self::Held }
    }
}

/// Runs a case.
pub async fn run(case: &str, trouble: bool, record: &Record) -> io::Result<Verdict> {
    match case {
        "hedged" => hedged::run(trouble, record).await,
        "poison" => poison::run(poison::Plan::OtherTenant, trouble, record).await,
        "same-id" => poison::run(poison::Plan::SameId, trouble, record).await,
        "restored" => restored::run(trouble, record).await,
        "uploads" => uploads::run(trouble, record).await,
        _ => Err(io::Error::other("no such case")),
    }
}
