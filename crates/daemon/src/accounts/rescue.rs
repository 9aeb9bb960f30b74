//! Writing what runs that have ended left here.
//!
//! Several peers may do so for the same page: each reads it first, and writes on the condition of
//! the version that it read.

use std::time::Duration;

use monsooncart_store::{error, object};
use monsooncart_types::instance;
use monsooncart_usage::burn::snapshot;
use monsooncart_usage::page;

use super::{Accounts, histories, writer};
use crate::lock::lock;

/// Time between two looks.
const INTERVAL: Duration = Duration::from_secs(5);

/// Time that histories are kept for, in seconds: the longest window of a report and an hour.
const KEPT_SECONDS: u64 = 73 * 3600;

/// Writes until the task is dropped.
pub async fn run(accounts: &Accounts) {
    loop {
        tokio::time::sleep(INTERVAL).await;
        if let Err(error) = write_pages(accounts).await {
            accounts.metrics.failed.inc();
            log::warn!(error:%; "usage: copy was not written");
            continue;
        }
        write_histories(accounts).await;
        remove_old(accounts).await;
    }
}

/// Removes histories of ended runs that no report reaches back to any more.
async fn remove_old(accounts: &Accounts) {
    let limit = super::seconds().saturating_sub(KEPT_SECONDS);
    let old: Vec<_> = lock(&accounts.histories).older(limit).collect();
    for name in old {
        if !is_ended(accounts, name.instance) {
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

fn is_ended(accounts: &Accounts, instance: instance::Instance) -> bool {
    let cluster = accounts.core.cluster();
    cluster.is_some_and(|cluster| cluster.is_ended(instance))
}

async fn write_pages(accounts: &Accounts) -> Result<(), error::Error> {
    let held: Vec<_> = lock(&accounts.copies).pages().cloned().collect();
    for page in held {
        if !is_ended(accounts, page.name.instance) {
            continue;
        }
        write_page(accounts, &page).await?;
        lock(&accounts.copies).confirm(&page);
        log::info!(vm:% = page.vm, page:% = page.name; "usage: page of an ended daemon is written");
    }
    Ok(())
}

async fn write_page(accounts: &Accounts, page: &page::Page) -> Result<(), error::Error> {
    let found = writer::read(accounts, page.name).await?;
    let condition = match found {
        Some((_, stored)) if stored.covers(page) => return Ok(()),
        Some((version, _)) => object::Condition::At(object::Version(version)),
        None => object::Condition::Absent,
    };
    writer::put(accounts, page, condition).await?;
    accounts.metrics.written.inc();
    Ok(())
}

async fn write_histories(accounts: &Accounts) {
    let held: Vec<_> = lock(&accounts.histories).unstored().cloned().collect();
    for snapshot in held {
        let ended = is_ended(accounts, snapshot.name.instance);
        if ended && write_history(accounts, &snapshot).await {
            lock(&accounts.histories).stored(&snapshot);
        }
    }
}

/// Writes a part of an ended run's history; whether the platform holds it.
async fn write_history(accounts: &Accounts, snapshot: &snapshot::Snapshot) -> bool {
    let found = match writer::read_history(accounts, snapshot.name).await {
        Ok(found) => found,
        Err(_) => return false,
    };
    let whole = match found {
        Some(stored) if stored.sequence >= snapshot.sequence => return true,
        Some(stored) => histories::fill(snapshot.clone(), stored),
        None => snapshot.clone(),
    };
    writer::put_history(accounts, &whole).await
}
