//! Gray failure modes, set at run time.

use std::time::Duration;

/// Fault mode of a server; no fault by default.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Mode {
    /// Accepts requests and never responds.
    pub stall: bool,
    /// Factor by which the service time is multiplied.
    pub slow: f64,
    /// Share of requests that fail with status 500, from 0 to 1.
    pub errors: f64,
    /// Flapping period in milliseconds: the modes above are active in the second half of each
    /// period; zero means always.
    pub flap_millis: u64,
    /// Number of response body bytes after which the connection is broken.
    pub cut_after: Option<u64>,
    /// Swaps the responses of two concurrent requests.
    pub crossed: bool,
    /// Connections opened before this was set transfer no more bytes.
    pub silent: bool,
    /// Accepts no connections.
    pub refuse: bool,
    /// Rejects all requests as not run.
    pub shed: bool,
    /// Announces on every response that the server is leaving.
    pub leaving: bool,
    /// The health endpoint reports healthy regardless of the other modes.
    pub lying: bool,
    /// Returns the attempt id on responses.
    pub echo: bool,
}

impl Default for Mode {
    fn default() -> Self {
        Self {
            stall: false,
            slow: 1.0,
            errors: 0.0,
            flap_millis: 0,
            cut_after: None,
            crossed: false,
            silent: false,
            refuse: false,
            shed: false,
            leaving: false,
            lying: true,
            echo: true,
        }
    }
}

impl Mode {
    /// Whether the flapping modes are active at `elapsed` after the mode was set.
    #[must_use]
    pub fn is_active(&self, elapsed: Duration) -> bool {
        let Some(half) = self.flap_millis.checked_div(2).filter(|half| *half > 0) else {
            return true;
        };
        let elapsed_millis = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        (elapsed_millis / half) % 2 == 1
    }
}
