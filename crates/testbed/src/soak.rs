//! A randomised soak test: daemon processes under injected faults, with guarantees checked against
//! the observations of callers, servers and the operator.
//!
//! The store, the servers and the callers run in this process; links of the fault-injecting proxy
//! connect them to the daemons, and the daemons to each other. Two kinds of stages alternate: in
//! [`plan::Stage::Trouble`] faults overlap; in [`plan::Stage::Planned`] there are only stops,
//! reloads, configuration changes and leaving servers, so that time limits can be checked. All
//! random choices follow from one seed, but processes are not synchronised: a repeated run has the
//! same faults at about the same times.

mod caller;
mod daemon;
mod fleet;
mod ledger;
mod operator;
pub mod plan;
pub mod stops;
mod trouble;

use std::path;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;

pub use ledger::{Guarantee, Report, Violation};

const STAGE_DURATION: Duration = Duration::from_secs(12);

/// Time limit for recovery after the last fault, as the users require.
const RECOVERY_LIMIT: Duration = Duration::from_secs(15);

/// Time limit for the start, and for recovery if time limits are not checked; long enough for a
/// busy machine.
const UNTIMED_RECOVERY_LIMIT: Duration = Duration::from_secs(90);

/// Options of a soak test.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of all random choices.
    pub seed: u64,
    /// Duration of all stages together.
    pub duration: Duration,
    /// Number of daemons.
    pub daemons: u8,
    /// Number of servers at the start.
    pub servers: u8,
    /// Number of callers.
    pub callers: usize,
    /// Whether time limits are checked.
    pub check_time_limits: bool,
    /// Whether servers execute requests that they report as not run, so that a check must fail.
    pub violate_not_run: bool,
    /// Directory for settings and logs.
    pub directory: path::PathBuf,
    /// Path of the daemon program.
    pub program: path::PathBuf,
}

/// Why a soak test could not run.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// A socket could not be bound, or a file or process not created.
    #[display("could not {step}: {source}")]
    Step {
        /// The failed step, as a verb with its object.
        step: &'static str,
        /// Cause of the failure.
        source: std::io::Error,
    },
    /// A daemon served no request after the start.
    #[display("not every daemon served a request within {_0:?} of the start")]
    Unready(#[error(not(source))] Duration),
}

impl Error {
    fn at(step: &'static str) -> impl Fn(std::io::Error) -> Self {
        move |source| Self::Step { step, source }
    }
}

/// Runs a soak test and checks its guarantees.
///
/// # Errors
///
/// Fails if the fleet cannot be started, or a daemon serves no request after the start.
pub async fn run(options: Options) -> Result<Report, Error> {
    let fleet = fleet::Fleet::start(&options).await?;
    fleet.wait_until_ready(UNTIMED_RECOVERY_LIMIT).await?;
    if options.violate_not_run {
        fleet.violate_not_run();
    }
    let callers = caller::start(&fleet, &options);
    let prober = tokio::spawn(operator::probe(fleet.clone()));
    let supervisor = tokio::spawn(daemon::supervise(fleet.clone()));
    let mut rng = StdRng::seed_from_u64(options.seed);
    let end = tokio::time::Instant::now() + options.duration;
    for stage in plan::stages() {
        if tokio::time::Instant::now() >= end {
            break;
        }
        let remaining = end.saturating_duration_since(tokio::time::Instant::now());
        trouble::run_stage(&fleet, stage, STAGE_DURATION.min(remaining), &mut rng).await;
    }
    let limit = if options.check_time_limits {
        RECOVERY_LIMIT
    } else {
        UNTIMED_RECOVERY_LIMIT
    };
    fleet.recover(limit).await;
    callers.stop().await;
    prober.abort();
    supervisor.abort();
    fleet.kill_daemons().await;
    Ok(ledger::audit(&fleet))
}
