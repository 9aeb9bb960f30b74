//! Writes the stored copies of terminated instances to the platform.
//!
//! Several peers may write the same page, so each reads it first and makes its write conditional on
//! the version it read.

use std::time::Duration;

use monsooncart_store::{error, object};
use monsooncart_types::instance;
use monsooncart_usage::burn::snapshot;
use monsooncart_usage::page;

use super::{Accounts, histories, writer};
use crate::lock::lock;

/// Interval between checks for terminated instances.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Retention of error budget histories, in seconds: the longest window of a report plus one hour.
const RETENTION_SECONDS: u64 = 73 * 3600;

/// Writes copies of terminated instances until the task is dropped.
pub async fn run(accounts: &Accounts) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if let Err(error) = write_pages(accounts).await {
            accounts.metrics.call_failures.inc();
            log::warn!(error:%; "usage: failed to write a copy");
            continue;
        }
        write_histories(accounts).await;
        remove_expired_histories(accounts).await;
    }
}

/// Removes histories older than the retention period, for terminated instances also from the
/// platform.
async fn remove_expired_histories(accounts: &Accounts) {
    let retained_since = super::unix_seconds().saturating_sub(RETENTION_SECONDS);
    let expired: Vec<_> = lock(&accounts.histories)
        .older_than(retained_since)
        .collect();
    for name in expired {
        if !is_terminated(accounts, name.instance) {
            lock(&accounts.histories).remove(name);
            continue;
        }
        let key = name.to_string();
        let always = object::Condition::Always;
        if accounts.store.delete(&key, always).await.is_ok() {
            lock(&accounts.histories).remove(name);
        }
    }
}

fn is_terminated(accounts: &Accounts, instance: instance::Instance) -> bool {
    let cluster = accounts.core.cluster();
    cluster.is_some_and(|cluster| cluster.is_terminated(instance))
}

async fn write_pages(accounts: &Accounts) -> Result<(), error::Error> {
    let copies: Vec<_> = lock(&accounts.copies).pages().cloned().collect();
    for page in copies {
        if !is_terminated(accounts, page.name.instance) {
            continue;
        }
        write_page(accounts, &page).await?;
        lock(&accounts.copies).confirm(&page);
        log::info!(vm:% = page.vm, page:% = page.name; "usage: wrote a page of a terminated daemon");
    }
    Ok(())
}

async fn write_page(accounts: &Accounts, page: &page::Page) -> Result<(), error::Error> {
    let existing = writer::read_page(accounts, page.name).await?;
    let condition = match existing {
        Some((_, stored)) if stored.covers(page) => return Ok(()),
        Some((version, _)) => object::Condition::At(object::Version(version)),
        None => object::Condition::Absent,
    };
    writer::put_page(accounts, page, condition).await?;
    accounts.metrics.writes.inc();
    Ok(())
}

async fn write_histories(accounts: &Accounts) {
    let unconfirmed: Vec<_> = lock(&accounts.histories).unconfirmed().cloned().collect();
    for part in unconfirmed {
        let is_terminated = is_terminated(accounts, part.name.instance);
        if is_terminated && write_history_part(accounts, &part).await {
            lock(&accounts.histories).confirm(&part);
        }
    }
}

/// Writes a part of a terminated instance's history; returns whether the platform has it.
async fn write_history_part(accounts: &Accounts, part: &snapshot::Part) -> bool {
    let existing = match writer::read_history_part(accounts, part.name).await {
        Ok(existing) => existing,
        Err(_) => return false,
    };
    let complete = match existing {
        Some(stored) if stored.sequence >= part.sequence => return true,
        Some(stored) => histories::restore_lines(part.clone(), stored),
        None => part.clone(),
    };
    writer::put_history_part(accounts, &complete).await
}
