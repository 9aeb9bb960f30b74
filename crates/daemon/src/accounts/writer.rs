//! Writing to the platform.

use std::time::Duration;

use bytes::Bytes;
use monsooncart_store::{error, object};
use monsooncart_usage::burn::snapshot;
use monsooncart_usage::{book, page};
use tokio::time::Instant;

use super::Accounts;
use crate::lock::lock;

/// Time between two writings of the usage pages.
const INTERVAL: Duration = Duration::from_secs(90);

/// Writings of usage for one of the history.
const HISTORY_EVERY: u32 = 8;

/// Longest time for the last writings of a planned stop.
const FINISH_TIMEOUT: Duration = Duration::from_secs(10);

/// Wait after a failed last writing.
const BACKOFF: Duration = Duration::from_secs(1);

/// Writes at an interval, from a random moment on, so that the daemons of a fleet that starts at
/// once don't write at once.
pub async fn run(accounts: &Accounts) {
    tokio::time::sleep(INTERVAL.mul_f64(rand::random())).await;
    let mut round = 0u32;
    loop {
        flush(accounts).await;
        if round.is_multiple_of(HISTORY_EVERY) {
            let snapshots = lock(&accounts.tracker).snapshots();
            write_history(accounts, &snapshots).await;
        }
        round = round.wrapping_add(1);
        tokio::time::sleep(INTERVAL).await;
    }
}

/// Writes all before the end; whether the platform has confirmed it.
pub async fn finish(accounts: &Accounts, snapshots: &[snapshot::Snapshot]) -> bool {
    let end = Instant::now() + FINISH_TIMEOUT;
    loop {
        if flush(accounts).await && write_history(accounts, snapshots).await {
            return true;
        }
        if Instant::now() >= end {
            return false;
        }
        tokio::time::sleep(BACKOFF).await;
    }
}

/// Writes all pages that are not confirmed; whether the platform has confirmed them.
async fn flush(accounts: &Accounts) -> bool {
    let _turn = accounts.writing.lock().await;
    accounts.collect();
    loop {
        let call = lock(&accounts.book).call();
        let Some(call) = call else {
            accounts.collect();
            return true;
        };
        let answer = carry(accounts, call).await;
        lock(&accounts.book).answered(&answer);
        if answer == book::Answer::Unavailable {
            return false;
        }
    }
}

async fn carry(accounts: &Accounts, call: book::Call) -> book::Answer {
    match call {
        book::Call::Put { page, version } => {
            let condition = condition(version);
            answer(accounts, put(accounts, &page, condition).await)
        }
        book::Call::Get(name) => match read(accounts, name).await {
            Ok(found) => book::Answer::Read(found.map(|(version, page)| (version, page.sequence))),
            Err(error) => failed(accounts, &error),
        },
    }
}

fn condition(version: Option<u64>) -> object::Condition {
    version.map_or(object::Condition::Absent, |version| {
        object::Condition::At(object::Version(version))
    })
}

fn answer(accounts: &Accounts, put: Result<object::Version, error::Error>) -> book::Answer {
    match put {
        Ok(version) => {
            accounts.metrics.written.inc();
            book::Answer::Written(version.0)
        }
        Err(error::Error::Conflict { .. }) => book::Answer::Conflict,
        Err(error) => failed(accounts, &error),
    }
}

fn failed(accounts: &Accounts, error: &error::Error) -> book::Answer {
    accounts.metrics.failed.inc();
    log::warn!(error:%; "usage: call of the platform failed");
    match error {
        error::Error::Unknown { .. } => book::Answer::Unknown,
        _ => book::Answer::Unavailable,
    }
}

/// Writes a page.
pub async fn put(
    accounts: &Accounts,
    page: &page::Page,
    condition: object::Condition,
) -> Result<object::Version, error::Error> {
    let value = serde_json::to_vec(page).unwrap_or_default();
    let key = page.name.to_string();
    accounts.store.put(&key, value.into(), condition).await
}

/// Reads a page and its version; one that is not understood counts as empty.
pub async fn read(
    accounts: &Accounts,
    name: page::Name,
) -> Result<Option<(u64, page::Page)>, error::Error> {
    let key = name.to_string();
    let Some(found) = accounts.store.get(&key).await? else {
        return Ok(None);
    };
    let value = found.value.unwrap_or_default();
    let page = serde_json::from_slice(&value).unwrap_or_else(|error| {
        log::error!(key:% = key, error:%; "usage: page is not understood");
        page::Page {
            name,
            vm: accounts.core.settings.name.clone(),
            sequence: 0,
            lines: Vec::new(),
        }
    });
    Ok(Some((found.version.0, page)))
}

async fn write_history(accounts: &Accounts, snapshots: &[snapshot::Snapshot]) -> bool {
    for snapshot in snapshots {
        if !put_history(accounts, snapshot).await {
            return false;
        }
    }
    true
}

/// Reads a part of a run's history.
pub async fn read_history(
    accounts: &Accounts,
    name: snapshot::Name,
) -> Result<Option<snapshot::Snapshot>, error::Error> {
    let found = accounts.store.get(&name.to_string()).await?;
    let value = found.and_then(|object| object.value).unwrap_or_default();
    Ok(serde_json::from_slice(&value).ok())
}

/// Writes a part of a run's history; whether the platform confirmed it. A write that comes late can
/// put an older history in place until the next one.
pub async fn put_history(accounts: &Accounts, snapshot: &snapshot::Snapshot) -> bool {
    let key = snapshot.name.to_string();
    let value = Bytes::from(serde_json::to_vec(snapshot).unwrap_or_default());
    let always = object::Condition::Always;
    match accounts.store.put(&key, value, always).await {
        Ok(_) => {
            accounts.metrics.written.inc();
            true
        }
        Err(error) => {
            accounts.metrics.failed.inc();
            log::warn!(error:%; "usage: history was not written");
            false
        }
    }
}
