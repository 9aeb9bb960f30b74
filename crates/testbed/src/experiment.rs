//! Measurements of a fleet, each beside the naive baseline in the same run.
//!
//! An experiment draws what it draws at random from its seed, is bounded in time, and says in its
//! report which parts were processes and which were library daemons of one process. None of them
//! decides whether a build is good: a shared machine moves their figures.

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

/// Names an experiment.
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
    /// Time that the fleet adds to a request over a direct call.
    AddedLatency,
    /// What the daemons' control costs without traffic.
    ControlCost,
    /// Time for which a sick server keeps receiving work.
    Detection,
    /// Ejections of healthy servers under disturbances.
    FalseEjection,
    /// Goodput and times when more is asked for than the slots carry.
    Overload,
    /// Time until a configuration change is in force everywhere.
    Rollout,
}

/// How an experiment is run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Seed of all that is drawn at random.
    pub seed: u64,
    /// Factor on the length of each measurement.
    pub scale: f64,
}

impl Options {
    /// A length of time at this scale.
    #[must_use]
    pub fn scaled(&self, span: Duration) -> Duration {
        span.mul_f64(self.scale)
    }
}

/// Why an experiment gives no figures.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// A fleet does not start.
    #[display("fleet: {_0}")]
    Fleet(local::Error),
    /// A process does not start.
    #[display("process {process}: {source}")]
    Process {
        /// What was to run.
        process: String,
        /// Why.
        source: std::io::Error,
    },
    /// A call that the measurement needs fails.
    #[display("load: {step} at {peer}: {reason}")]
    Load {
        /// The step.
        step: &'static str,
        /// The address called.
        peer: std::net::SocketAddr,
        /// Why.
        reason: String,
    },
    /// A task ends early.
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
/// Where it gives no figures.
pub async fn run(name: Name, options: Options) -> Result<Box<dyn report::Printed>, Error> {
    match name {
        Name::AddedLatency => Ok(Box::new(added_latency::run(options).await?)),
        Name::ControlCost => Ok(Box::new(control_cost::run(options).await?)),
        Name::Detection => Ok(Box::new(detection::run(options).await?)),
        Name::FalseEjection => Ok(Box::new(false_ejection::run(options).await?)),
        Name::Overload => Ok(Box::new(overload::run(options).await?)),
        Name::Rollout => Ok(Box::new(rollout::run(options).await?)),
    }
}
