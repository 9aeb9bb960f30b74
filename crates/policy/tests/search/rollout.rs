use monsooncart_policy::rollout::{entry, versions};

use crate::bfs;

const DAEMONS: usize = 3;
const VERSIONS: u64 = 3;
const KEYS: usize = 2;

/// Operators write versions; daemons receive them from the platform and from each other.
struct Rollout {
    /// Whether a daemon applies any version that it receives.
    accepts_any_version: bool,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct State {
    /// Newest version of each object in the platform.
    written: [u64; KEYS],
    stored: Vec<versions::Versions<u8>>,
    /// Version of each object applied at each daemon, which must only increase.
    applied: [[u64; KEYS]; DAEMONS],
    reverted: bool,
}

#[derive(Clone, Debug)]
enum Step {
    Write {
        key: usize,
    },
    /// A message with any version ever written, from any sender.
    Deliver {
        daemon: usize,
        key: usize,
        version: u64,
    },
    Restart {
        daemon: usize,
    },
}

impl bfs::Model for Rollout {
    type State = State;
    type Step = Step;

    fn initial(&self) -> State {
        State {
            written: [1; KEYS],
            stored: vec![versions::Versions::default(); DAEMONS],
            applied: [[0; KEYS]; DAEMONS],
            reverted: false,
        }
    }

    fn steps(&self, state: &State) -> Vec<Step> {
        let mut steps = Vec::new();
        for key in 0..KEYS {
            if state.written[key] < VERSIONS {
                steps.push(Step::Write { key });
            }
            for daemon in 0..DAEMONS {
                let versions = 1..=state.written[key];
                let deliver = |version| Step::Deliver {
                    daemon,
                    key,
                    version,
                };
                steps.extend(versions.map(deliver));
            }
        }
        steps.extend((0..DAEMONS).map(|daemon| Step::Restart { daemon }));
        steps
    }

    fn apply(&self, state: &mut State, step: &Step) {
        match *step {
            Step::Write { key } => state.written[key] += 1,
            Step::Deliver {
                daemon,
                key,
                version,
            } => {
                let updated = state.stored[daemon].update(&(key as u8), entry::Version(version));
                if updated || self.accepts_any_version {
                    state.reverted |= version < state.applied[daemon][key];
                    state.applied[daemon][key] = version;
                }
            }
            Step::Restart { daemon } => {
                state.stored[daemon] = versions::Versions::default();
                state.applied[daemon] = [0; KEYS];
            }
        }
    }

    fn check(&self, state: &State) -> Result<(), String> {
        if state.reverted {
            return Err("an older version replaced a newer applied one".to_owned());
        }
        let mut replicas = state.stored.clone();
        for _ in 0..2 {
            for at in 0..DAEMONS {
                let next = replicas[(at + 1) % DAEMONS].clone();
                let buckets = replicas[at].digest().differing_buckets(next.digest());
                for entry in replicas[at].missing(&next.entries_in(&buckets)) {
                    replicas[at].update(&entry.key, entry.version);
                }
            }
        }
        if replicas
            .iter()
            .any(|stored| stored.digest() != replicas[0].digest())
        {
            return Err("daemons still store different versions after reconciliation".to_owned());
        }
        Ok(())
    }
}

#[test]
fn versions_only_increase_and_daemons_converge() {
    let outcome = bfs::search(&Rollout {
        accepts_any_version: false,
    });

    outcome.assert_safe("rollout");
}

#[test]
fn accepting_any_version_reverts() {
    let outcome = bfs::search(&Rollout {
        accepts_any_version: true,
    });

    outcome.assert_fault("accepting any version");
}
