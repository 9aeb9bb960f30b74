//! Gray failures that experiments inject.

use std::time::Duration;

use crate::backend::mode;

/// Period of flapping; the server is healthy in the first half of each period.
const FLAP_PERIOD: Duration = Duration::from_secs(2);

/// Factor by which the service time of a slow server is multiplied.
const SLOW_FACTOR: f64 = 10.0;

/// A gray failure of a backend server, whose health endpoint still reports it as healthy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, strum::Display, strum::EnumIter)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    /// Accepts requests and never responds.
    Stall,
    /// Takes ten times the service time.
    Slow,
    /// Responds to all requests with an error.
    Error,
    /// Responds with errors during one second out of two.
    Flap,
}

impl Fault {
    /// Mode of a backend server with this fault.
    pub fn mode(self) -> mode::Mode {
        let healthy = mode::Mode::default();
        match self {
            Self::Stall => mode::Mode {
                stall: true,
                ..healthy
            },
            Self::Slow => mode::Mode {
                slow: SLOW_FACTOR,
                ..healthy
            },
            Self::Error => mode::Mode {
                errors: 1.0,
                ..healthy
            },
            Self::Flap => mode::Mode {
                errors: 1.0,
                flap_millis: u64::try_from(FLAP_PERIOD.as_millis()).unwrap_or_default(),
                ..healthy
            },
        }
    }

    /// Time from the change of mode until the server first fails.
    pub fn onset(self) -> Duration {
        match self {
            Self::Flap => FLAP_PERIOD / 2,
            _ => Duration::ZERO,
        }
    }
}
