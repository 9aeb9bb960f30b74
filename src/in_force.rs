//! Asks daemons which versions of the configuration are in force.

use std::collections::BTreeMap;
use std::time::Duration;
use std::{fmt, net};

use monsooncart_store::{configuration, object};

use crate::admin;

/// Time between two questions to a daemon.
const INTERVAL: Duration = Duration::from_millis(200);

/// Objects named of those that a daemon lacks.
const MAX_NAMED: usize = 5;

/// Versions by the key of the object.
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
        let versions = objects.map(|(key, held)| (key.to_string(), held.version));
        Self(versions.collect())
    }
}

impl Versions {
    /// Keys of the objects that are older here than `wanted`, or absent.
    fn lacking(&self, wanted: &Self) -> Vec<String> {
        let wanted = wanted.0.iter();
        let lacking = wanted.filter(|(key, version)| self.0.get(*key) < Some(*version));
        lacking.map(|(key, _)| key.clone()).collect()
    }
}

/// What is used of a daemon's status.
#[derive(Debug, serde::Deserialize)]
struct Status {
    configuration: Versions,
}

/// A daemon in which a change is not in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lack {
    daemon: net::SocketAddr,
    reason: String,
}

impl fmt::Display for Lack {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.daemon, self.reason)
    }
}

/// Waits until `wanted` is in force in all daemons; gives those in which it is not within `limit`.
pub async fn wait(daemons: &[net::SocketAddr], wanted: &Versions, limit: Duration) -> Vec<Lack> {
    let waits = daemons
        .iter()
        .map(|daemon| wait_for(*daemon, wanted, limit));
    let lacks = futures_util::future::join_all(waits).await;
    lacks.into_iter().flatten().collect()
}

async fn wait_for(daemon: net::SocketAddr, wanted: &Versions, limit: Duration) -> Option<Lack> {
    let end = tokio::time::Instant::now() + limit;
    loop {
        let reason = match admin::get::<Status>(daemon, admin::STATUS).await {
            Ok(status) => {
                let lacking = status.configuration.lacking(wanted);
                if lacking.is_empty() {
                    return None;
                }
                named(&lacking)
            }
            Err(error) => error.to_string(),
        };
        if tokio::time::Instant::now() >= end {
            return Some(Lack { daemon, reason });
        }
        tokio::time::sleep(INTERVAL).await;
    }
}

fn named(lacking: &[String]) -> String {
    let mut reason = format!("holds older versions of {}", {
        let first = lacking.iter().take(MAX_NAMED).cloned();
        first.collect::<Vec<_>>().join(", ")
    });
    if lacking.len() > MAX_NAMED {
        reason.push_str(&format!(" and {} more", lacking.len() - MAX_NAMED));
    }
    reason
}
