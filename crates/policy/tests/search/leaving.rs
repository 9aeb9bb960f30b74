//! One server and one daemon, which learns that a run of the server is leaving from a response, from
//! a peer or from the platform, in any order and also late, while entries of any run are listed,
//! removed and listed again.

use monsooncart_policy::leaving;
use monsooncart_types::id;

use crate::bfs;

/// Start times of the server's runs.
const RUNS: [u64; 3] = [1, 2, 3];

struct Model {
    /// Whether the daemon remembers leaving runs, beside the entry that the platform listed last.
    remembers_runs: bool,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct State {
    /// The listed entry: its run, and whether it is leaving.
    entry: Option<(u64, bool)>,
    /// Latest leaving run that the daemon knows.
    recorded: u64,
    /// Latest run that the daemon was told of as leaving.
    told: u64,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// A response or a report of a peer says that a run is leaving.
    Announce {
        run: u64,
    },
    /// The platform lists an entry, which may be older than what was announced.
    List {
        run: u64,
        leaving: bool,
    },
    Remove,
}

fn server() -> id::Server {
    "i-1".parse().expect("a name")
}

fn runs(recorded: u64) -> leaving::Runs {
    let mut runs = leaving::Runs::default();
    runs.record(&server(), recorded);
    runs
}

impl Model {
    fn record(&self, state: &mut State, run: u64) {
        state.told = run.max(state.told);
        if !self.remembers_runs {
            return;
        }
        let mut runs = runs(state.recorded);
        runs.record(&server(), run);
        let latest = RUNS.iter().filter(|run| runs.contains(&server(), **run));
        state.recorded = latest.max().copied().unwrap_or(0);
    }

    /// The run that requests are sent to.
    fn usable_run(&self, state: &State) -> Option<u64> {
        let (run, leaving) = state.entry?;
        let known = runs(state.recorded).contains(&server(), run);
        (!leaving && !known).then_some(run)
    }
}

impl bfs::Model for Model {
    type State = State;
    type Step = Step;

    fn initial(&self) -> State {
        State {
            entry: Some((RUNS[0], false)),
            recorded: 0,
            told: 0,
        }
    }

    fn steps(&self, _: &State) -> Vec<Step> {
        let list = |run| [false, true].map(|leaving| Step::List { run, leaving });
        let announce = RUNS.map(|run| Step::Announce { run });
        let mut steps: Vec<_> = RUNS.into_iter().flat_map(list).collect();
        steps.extend(announce);
        steps.push(Step::Remove);
        steps
    }

    fn apply(&self, state: &mut State, step: &Step) {
        match *step {
            Step::Announce { run } => self.record(state, run),
            Step::List { run, leaving } => {
                state.entry = Some((run, leaving));
                if leaving {
                    self.record(state, run);
                }
            }
            Step::Remove => state.entry = None,
        }
    }

    fn check(&self, state: &State) -> Result<(), String> {
        match (self.usable_run(state), state.entry) {
            (Some(run), _) if run <= state.told => {
                Err(format!("run {run} is used; run {} is leaving", state.told))
            }
            (None, Some((run, false))) if run > state.told => Err(format!(
                "run {run} is not used; run {} is leaving",
                state.told
            )),
            _ => Ok(()),
        }
    }
}

#[test]
fn a_leaving_run_is_never_used_again_and_a_later_run_is() {
    let outcome = bfs::search(&Model {
        remembers_runs: true,
    });

    outcome.assert_safe("leaving");
}

#[test]
fn relying_on_the_listed_entry_uses_a_leaving_run() {
    let outcome = bfs::search(&Model {
        remembers_runs: false,
    });

    outcome.assert_fault("relying on the listed entry");
}
