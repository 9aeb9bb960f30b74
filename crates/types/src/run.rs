//! A run of a backend server, as daemons name it to each other.
//!
//! The text is an identifier like that of a server: daemons of earlier builds, which expect the name of a
//! server there, take each run for a server of its own.

use std::fmt;
use std::str;

use crate::id;

/// Stands between the name of the server and the start of the run.
const SEPARATOR: &str = ".r";

/// A run of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Run {
    /// The server.
    pub server: id::Server,
    /// Start of the run, in milliseconds since 1970; 0 if it is unknown.
    pub started_millis: u64,
}

impl fmt::Display for Run {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let start = format!("{SEPARATOR}{}", self.started_millis);
        // A name that looks like a run's would be taken for one.
        let is_ambiguous = || split(self.server.as_str()).is_some();
        let is_named = self.started_millis != 0 || is_ambiguous();
        if is_named && self.server.as_str().len() + start.len() <= id::MAX_BYTES {
            write!(f, "{}{start}", self.server)
        } else {
            write!(f, "{}", self.server)
        }
    }
}

/// Splits the name of a run into its server and its start, if it has both.
fn split(text: &str) -> Option<(id::Server, u64)> {
    let (server, start) = text.rsplit_once(SEPARATOR)?;
    Some((server.parse().ok()?, start.parse().ok()?))
}

impl str::FromStr for Run {
    type Err = id::Error;

    fn from_str(text: &str) -> Result<Self, id::Error> {
        if let Some((server, started_millis)) = split(text) {
            return Ok(Self {
                server,
                started_millis,
            });
        }
        Ok(Self {
            server: text.parse()?,
            started_millis: 0,
        })
    }
}

impl serde::Serialize for Run {
    fn serialize<S: serde::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}

impl<'de> serde::Deserialize<'de> for Run {
    fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let text = <String as serde::Deserialize>::deserialize(d)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
