//! Writes usage pages and error budget histories to the platform.

use std::time::Duration;

use bytes::Bytes;
use monsooncart_store::{error, object};
use monsooncart_usage::burn::snapshot;
use monsooncart_usage::{book, page};
use tokio::time::Instant;

use super::Accounts;
use crate::lock::lock;

/// Interval between writes of the usage pages.
const WRITE_INTERVAL: Duration = Duration::from_secs(90);

/// Rounds of page writes per write of the error budget history.
const ROUNDS_PER_HISTORY: u32 = 8;

/// Time after which a planned stop starts no further attempts to write.
const FINISH_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay after a failed write during a planned stop.
const FINISH_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Writes periodically until the task is dropped. The first write is delayed by a random part of
/// the interval, so that daemons started together do not write at the same time.
pub async fn run(accounts: &Accounts) {
    tokio::time::sleep(WRITE_INTERVAL.mul_f64(rand::random())).await;
    let mut round = 0u32;
    loop {
        write_pages(accounts).await;
        if round.is_multiple_of(ROUNDS_PER_HISTORY) {
            let history = lock(&accounts.tracker).snapshot();
            write_history(accounts, &history).await;
        }
        round = round.wrapping_add(1);
        tokio::time::sleep(WRITE_INTERVAL).await;
    }
}

/// Writes everything before the daemon stops; returns whether the platform confirmed it.
pub async fn finish(accounts: &Accounts, history: &[snapshot::Part]) -> bool {
    let deadline = Instant::now() + FINISH_TIMEOUT;
    loop {
        if write_pages(accounts).await && write_history(accounts, history).await {
            return true;
        }
        if Instant::now() >= deadline {
            return false;
        }
        tokio::time::sleep(FINISH_RETRY_DELAY).await;
    }
}

/// Writes all unconfirmed pages; returns whether the platform confirmed them.
async fn write_pages(accounts: &Accounts) -> bool {
    let _guard = accounts.write_lock.lock().await;
    accounts.flush_counter();
    loop {
        let call = lock(&accounts.book).next_call();
        let Some(call) = call else {
            accounts.flush_counter();
            return true;
        };
        let response = execute(accounts, call).await;
        lock(&accounts.book).record_response(&response);
        if response == book::Response::Unavailable {
            return false;
        }
    }
}

async fn execute(accounts: &Accounts, call: book::Call) -> book::Response {
    match call {
        book::Call::Put { page, version } => {
            let condition = condition(version);
            response_from_put(accounts, put_page(accounts, &page, condition).await)
        }
        book::Call::Get(name) => match read_page(accounts, name).await {
            Ok(found) => {
                book::Response::Read(found.map(|(version, page)| (version, page.sequence)))
            }
            Err(error) => failure_response(accounts, &error),
        },
    }
}

fn condition(version: Option<u64>) -> object::Condition {
    version.map_or(object::Condition::Absent, |version| {
        object::Condition::At(object::Version(version))
    })
}

fn response_from_put(
    accounts: &Accounts,
    put: Result<object::Version, error::Error>,
) -> book::Response {
    match put {
        Ok(version) => {
            accounts.metrics.writes.inc();
            book::Response::Written(version.0)
        }
        Err(error::Error::Conflict { .. }) => book::Response::Conflict,
        Err(error) => failure_response(accounts, &error),
    }
}

fn failure_response(accounts: &Accounts, error: &error::Error) -> book::Response {
    accounts.metrics.call_failures.inc();
    log::warn!(error:%; "usage: call of the platform failed");
    match error {
        error::Error::Unknown { .. } => book::Response::Unknown,
        _ => book::Response::Unavailable,
    }
}

/// Writes a usage page.
pub async fn put_page(
    accounts: &Accounts,
    page: &page::Page,
    condition: object::Condition,
) -> Result<object::Version, error::Error> {
    let value = serde_json::to_vec(page).unwrap_or_default();
    let key = page.name.to_string();
    accounts.store.put(&key, value.into(), condition).await
}

/// Reads a usage page and its version; a page that cannot be decoded counts as empty.
pub async fn read_page(
    accounts: &Accounts,
    name: page::Name,
) -> Result<Option<(u64, page::Page)>, error::Error> {
    let key = name.to_string();
    let Some(found) = accounts.store.get(&key).await? else {
        return Ok(None);
    };
    let value = found.value.unwrap_or_default();
    let page = serde_json::from_slice(&value).unwrap_or_else(|error| {
        log::error!(key:% = key, error:%; "usage: stored page could not be decoded");
        page::Page {
            name,
            vm: accounts.core.settings.name.clone(),
            sequence: 0,
            lines: Vec::new(),
        }
    });
    Ok(Some((found.version.0, page)))
}

async fn write_history(accounts: &Accounts, history: &[snapshot::Part]) -> bool {
    for part in history {
        if !put_history_part(accounts, part).await {
            return false;
        }
    }
    true
}

/// Reads a part of an instance's history; `None` if it is missing or cannot be decoded.
pub async fn read_history_part(
    accounts: &Accounts,
    name: snapshot::Name,
) -> Result<Option<snapshot::Part>, error::Error> {
    let found = accounts.store.get(&name.to_string()).await?;
    let value = found.and_then(|object| object.value).unwrap_or_default();
    Ok(serde_json::from_slice(&value).ok())
}

/// Writes a part of an instance's history; returns whether the platform confirmed it. The write is
/// unconditional: if delayed, it can replace a newer version until the next write.
pub async fn put_history_part(accounts: &Accounts, part: &snapshot::Part) -> bool {
    let key = part.name.to_string();
    let value = Bytes::from(serde_json::to_vec(part).unwrap_or_default());
    let always = object::Condition::Always;
    match accounts.store.put(&key, value, always).await {
        Ok(_) => {
            accounts.metrics.writes.inc();
            true
        }
        Err(error) => {
            accounts.metrics.call_failures.inc();
            log::warn!(error:%; "usage: failed to write a history");
            false
        }
    }
}
