//! A randomized soak: real daemons as processes of their own, faults from outside them, and the
//! promises checked from what callers, servers and the operator see.
//!
//! The store, the servers and the callers run in this process; between them and the daemons, and
//! between daemons, stand links of the fault-injecting proxy. Stages take turns: in the ones of
//! [`plan::Stage::Trouble`] faults come in series that overlap, in those of [`plan::Stage::Planned`]
//! only stops, reloads, changes and leaving servers, so that what must then hold in time can be
//! judged. All that is drawn comes from one seed, though processes are not in step: a run that is
//! played again meets the same faults at about the same moments.

mod caller;
mod daemon;
mod fleet;
mod ledger;
mod operator;
pub mod plan;
mod trouble;

use std::path;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;

pub use ledger::{Broken, Promise, Report};

/// Time of a stage.
const STAGE: Duration = Duration::from_secs(12);

/// Time after the last fault in which all callers are served again; the users' bound of recovery.
const RECOVERY: Duration = Duration::from_secs(15);

/// Longest such time where bounds in time are not judged, as on a busy machine.
const RECOVERY_UNTIMED: Duration = Duration::from_secs(90);

/// What a soak is run with.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of all that is drawn.
    pub seed: u64,
    /// Time for which troubles come.
    pub length: Duration,
    /// Daemons.
    pub daemons: u8,
    /// Servers at the start.
    pub servers: u8,
    /// Callers.
    pub callers: usize,
    /// Whether promises that are bounds in time are judged.
    pub timed: bool,
    /// Whether servers run what they say they did not run, so that a check must fail.
    pub liars: bool,
    /// Folder for settings and logs.
    pub folder: path::PathBuf,
    /// The daemon's program.
    pub program: path::PathBuf,
}

/// Why a soak does not run.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// A socket is not bound or a file not written.
    #[display("{step}: {source}")]
    Step {
        /// What was done.
        step: &'static str,
        /// Why it failed.
        source: std::io::Error,
    },
    /// The daemons do not serve at the start.
    #[display("daemons serve no caller after {_0:?}")]
    Unready(#[error(not(source))] Duration),
}

impl Error {
    fn at(step: &'static str) -> impl Fn(std::io::Error) -> Self {
        move |source| Self::Step { step, source }
    }
}

/// Runs a soak, and gives what was seen.
///
/// # Errors
///
/// Where it cannot be run.
pub async fn run(options: Options) -> Result<Report, Error> {
    let fleet = fleet::Fleet::start(&options).await?;
    fleet.settle(RECOVERY_UNTIMED).await?;
    if options.liars {
        fleet.lie();
    }
    let callers = caller::start(&fleet, &options);
    let prober = tokio::spawn(operator::probe(fleet.clone()));
    let watch = tokio::spawn(daemon::watch(fleet.clone()));
    let mut rng = StdRng::seed_from_u64(options.seed);
    let end = tokio::time::Instant::now() + options.length;
    for stage in plan::stages() {
        if tokio::time::Instant::now() >= end {
            break;
        }
        let left = end.saturating_duration_since(tokio::time::Instant::now());
        trouble::play(&fleet, stage, STAGE.min(left), &mut rng).await;
    }
    let limit = if options.timed {
        RECOVERY
    } else {
        RECOVERY_UNTIMED
    };
    fleet.recover(limit).await;
    callers.stop().await;
    prober.abort();
    watch.abort();
    fleet.end().await;
    Ok(ledger::audit(&fleet))
}
