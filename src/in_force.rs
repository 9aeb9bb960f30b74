//! Waits until versions of the configuration are in force in all daemons.

use std::collections::BTreeMap;
use std::time::Duration;
use std::{fmt, net};

use monsooncart_store::{configuration, object};

use crate::admin;

/// Interval between polls of a daemon's status.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of outdated objects that a message lists.
const MAX_LISTED: usize = 5;

/// Versions of configuration objects, by key.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Deserialize)]
#[serde(transparent)]
pub struct Versions(BTreeMap<String, object::Version>);

impl From<&[configuration::Written]> for Versions {
    fn from(written: &[configuration::Written]) -> Self {
        let version = |w: &configuration::Written| (w.key.clone(), w.version);
        Self(written.iter().map(version).collect())
    }
}

impl From<&configuration::Current> for Versions {
    fn from(current: &configuration::Current) -> Self {
        let objects = current.objects.iter();
        let versions = objects.map(|(key, object)| (key.to_string(), object.version));
        Self(versions.collect())
    }
}

impl Versions {
    /// Keys of the objects that are absent here or older than in `wanted`.
    fn outdated(&self, wanted: &Self) -> Vec<String> {
        let wanted = wanted.0.iter();
        let outdated = wanted.filter(|(key, version)| self.0.get(*key) < Some(*version));
        outdated.map(|(key, _)| key.clone()).collect()
    }
}

/// The part of a daemon's status that is needed here.
#[derive(Debug, serde::Deserialize)]
struct Status {
    configuration: Versions,
}

/// A daemon in which the versions are not in force, with the reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unconfirmed {
    daemon: net::SocketAddr,
    reason: String,
}

impl fmt::Display for Unconfirmed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.daemon, self.reason)
    }
}

/// Waits until the versions `wanted` are in force in all daemons, for at most `timeout`; returns the
/// daemons in which they are still not in force.
pub async fn wait(
    daemons: &[net::SocketAddr],
    wanted: &Versions,
    timeout: Duration,
) -> Vec<Unconfirmed> {
    let waits = daemons
        .iter()
        .map(|daemon| wait_for_daemon(*daemon, wanted, timeout));
    let results = futures_util::future::join_all(waits).await;
    results.into_iter().flatten().collect()
}

async fn wait_for_daemon(
    daemon: net::SocketAddr,
    wanted: &Versions,
    timeout: Duration,
) -> Option<Unconfirmed> {
    let deadline = tokio::time::Instant::now() + timeout;
    loop {
        let reason = match admin::get::<Status>(daemon, admin::STATUS).await {
            Ok(status) => {
                let outdated = status.configuration.outdated(wanted);
                if outdated.is_empty() {
                    return None;
                }
                outdated_reason(&outdated)
            }
            Err(error) => error.to_string(),
        };
        if tokio::time::Instant::now() >= deadline {
            return Some(Unconfirmed { daemon, reason });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn outdated_reason(outdated: &[String]) -> String {
    let mut reason = format!("has older versions of {}", {
        let first = outdated.iter().take(MAX_LISTED).cloned();
        first.collect::<Vec<_>>().join(", ")
    });
    if outdated.len() > MAX_LISTED {
        reason.push_str(&format!(" and {} more", outdated.len() - MAX_LISTED));
    }
    reason
}
