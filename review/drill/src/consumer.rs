//! Stand-ins for consumers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::fleet::{Entry, HOST};
use crate::http;
use crate::record::Record;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A new id of a consumer attempt.
pub fn new_id(word: &str) -> String {
    let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    format!("{word}{:04x}{number:06x}", std::process::id() & 0xffff)
}

/// One consumer attempt.
pub struct Attempt<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub budget: Duration,
    pub body: &'a [u8],
}

/// End of a consumer attempt: the status, or why there is no answer.
pub type End = Result<(u16, Option<String>), String>;

/// Sends an attempt to `address` on a new connection.
pub fn send(record: &Arc<Record>, address: SocketAddr, attempt: &Attempt<'_>) -> End {
    let millis = attempt.budget.as_millis().to_string();
    let start = format!("{} {} HTTP/1.1", attempt.method, attempt.path);
    let headers = [
        ("Host", HOST),
        ("X-Attempt-Id", attempt.id),
        ("X-Deadline-Ms", millis.as_str()),
    ];
    record.line(&format!(
        "consumer sends {} {} to {address}",
        attempt.id, attempt.path
    ));
    let connection = http::Connection::open(address, attempt.budget);
    let answer = connection.and_then(|mut c| c.exchange(&start, &headers, attempt.body));
    let end = match answer {
        Ok(answer) => Ok((
            answer.status(),
            answer.header("x-server-seal").map(str::to_owned),
        )),
        Err(error) => Err(error.to_string()),
    };
    record.line(&format!("consumer {} ends: {end:?}", attempt.id));
    end
}

/// Sends an attempt to one of the addresses that the directory names.
pub fn send_resolved(
    record: &Arc<Record>,
    entry: &Entry,
    attempt: &Attempt<'_>,
    number: usize,
) -> End {
    let addresses = entry.resolve(number);
    match addresses.get(number / 3 % addresses.len().max(1)) {
        Some(address) => send(record, *address, attempt),
        None => Err("no directory answers".to_owned()),
    }
}
