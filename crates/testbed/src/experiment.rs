//! Measurements of a fleet, each compared with the naive baseline in the same run.
//!
//! All randomness of an experiment comes from its seed, and its duration is bounded. The report
//! lists which parts ran as processes and which as library daemons in one process. No experiment
//! decides whether a build is accepted, since the load of a shared machine changes the results.

pub mod added_latency;
pub mod control_cost;
pub mod detection;
pub mod false_ejection;
pub mod overload;
pub mod report;
pub mod rollout;

mod deployment;
mod ejections;
mod fault;
mod load;
pub mod process;

use std::time::Duration;

use crate::local;

/// Name of an experiment.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    strum::Display,
    strum::EnumString,
    strum::VariantNames,
    strum::EnumIter,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Name {
    /// Latency that the fleet adds to a request compared with a direct call.
    AddedLatency,
    /// Cost of the daemons' control plane without traffic.
    ControlCost,
    /// Time during which an unhealthy server continues to receive requests.
    Detection,
    /// Ejections of healthy servers under disturbances.
    FalseEjection,
    /// Goodput and latency when the load exceeds the capacity of the slots.
    Overload,
    /// Time until a configuration change is in force on every daemon.
    Rollout,
}

/// Options of an experiment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Seed of all random choices.
    pub seed: u64,
    /// Factor by which the duration of each measurement is multiplied.
    pub scale: f64,
}

impl Options {
    /// Multiplies a duration by the scale.
    #[must_use]
    pub fn scaled(&self, duration: Duration) -> Duration {
        duration.mul_f64(self.scale)
    }
}

/// Errors of an experiment.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// A fleet failed to start.
    #[display("fleet: {_0}")]
    Fleet(local::Error),
    /// A process failed to start.
    #[display("process {process}: {source}")]
    Process {
        /// Command of the process.
        process: String,
        /// Cause.
        source: std::io::Error,
    },
    /// A connection that sends the load failed.
    #[display("load: {step} at {peer}: {reason}")]
    Load {
        /// Step that failed.
        step: &'static str,
        /// Address of the peer.
        peer: std::net::SocketAddr,
        /// Cause.
        reason: String,
    },
    /// A task panicked or was cancelled.
    #[display("task: {_0}")]
    Task(tokio::task::JoinError),
}

impl From<local::Error> for Error {
    fn from(error: local::Error) -> Self {
        Self::Fleet(error)
    }
}

impl From<tokio::task::JoinError> for Error {
    fn from(error: tokio::task::JoinError) -> Self {
        Self::Task(error)
    }
}

/// Runs an experiment.
///
/// # Errors
///
/// Fails if a fleet, a process or a connection of the experiment fails.
pub async fn run(name: Name, options: Options) -> Result<Box<dyn report::Printable>, Error> {
    match name {
        Name::AddedLatency => Ok(Box::new(added_latency::run(options).await?)),
        Name::ControlCost => Ok(Box::new(control_cost::run(options).await?)),
        Name::Detection => Ok(Box::new(detection::run(options).await?)),
        Name::FalseEjection => Ok(Box::new(false_ejection::run(options).await?)),
        Name::Overload => Ok(Box::new(overload::run(options).await?)),
        Name::Rollout => Ok(Box::new(rollout::run(options).await?)),
    }
}
