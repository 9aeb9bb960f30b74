use std::collections::BTreeSet;

use monsooncart_policy::claims::{claim, handover, permit, register, secret, table, ticket};
use monsooncart_types::{instance, time};

use crate::bfs;

const TABLES: usize = 3;
const NOW: time::Time = time::Time::ZERO;

/// Part of the mechanism that is disabled, to show that the search finds the resulting fault.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Without {
    Nothing,
    /// Every daemon decides the claims that it receives, whoever minted the ticket.
    Minter,
    /// The stopping daemon tries a second successor before the first has replied.
    DefiniteRefusal,
    /// A new instance takes a handover addressed to the earlier instance at its address.
    Addressee,
    /// A claimant uses a grant that arrives after its release.
    PermitPhase,
    /// The stopping daemon keeps granting after its offer.
    StopGranting,
}

/// Steps beside claims and releases, each taken at most once, at any time and in any order.
#[derive(Clone, Copy)]
struct Scenario {
    name: &'static str,
    /// Handovers as pairs of addresses, from and to.
    exports: &'static [(usize, usize)],
    /// Daemons that may be replaced by a new instance at the same address.
    restarts: &'static [usize],
}

const TWO_SUCCESSORS: Scenario = Scenario {
    name: "two successors",
    exports: &[(0, 1), (0, 2)],
    restarts: &[],
};

const RESTARTED_SUCCESSOR: Scenario = Scenario {
    name: "restarted successor",
    exports: &[(0, 1)],
    restarts: &[1],
};

const RESTARTED_MINTER: Scenario = Scenario {
    name: "restarted minter",
    exports: &[(0, 1)],
    restarts: &[0],
};

const CHAIN: Scenario = Scenario {
    name: "chain of successors",
    exports: &[(0, 1), (1, 2)],
    restarts: &[],
};

const CROSSED: Scenario = Scenario {
    name: "crossed handovers",
    exports: &[(0, 1), (1, 0), (0, 2)],
    restarts: &[],
};

const SCENARIOS: [Scenario; 5] = [
    TWO_SUCCESSORS,
    RESTARTED_SUCCESSOR,
    RESTARTED_MINTER,
    CHAIN,
    CROSSED,
];

struct Claims {
    without: Without,
    scenario: Scenario,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct Caller {
    permit: permit::Permit,
    granted: bool,
    released: bool,
    executed: bool,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct State {
    tables: Vec<table::Table>,
    /// For each daemon, the caller that it granted the claim to by itself.
    local_claims: Vec<Option<usize>>,
    /// Copies of offered tables that keep granting.
    still_granting: Vec<Option<table::Table>>,
    callers: Vec<Caller>,
    offers: BTreeSet<Offer>,
    replies: BTreeSet<(u64, u64, u8)>,
    exported: Vec<(usize, usize)>,
    restarted: Vec<usize>,
    ticket: ticket::Ticket,
}

/// Orders offers by sender and receiver; the content of an offer between the two never changes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Offer(handover::Handover);

impl Ord for Offer {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0.from, self.0.to).cmp(&(other.0.from, other.0.to))
    }
}

impl PartialOrd for Offer {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// Steps identify daemons by address and callers by index.
#[derive(Clone, Debug)]
enum Step {
    Claim { caller: usize, at: usize },
    Granted { caller: usize },
    GiveUp { caller: usize },
    Release { caller: usize, at: usize },
    Export { from: usize, to: usize },
    Offer { from: u64, to: u64, at: usize },
    Reply { from: u64, to: usize, reply: u8 },
    Restart { daemon: usize },
}

const REPLIES: [handover::Reply; 3] = [
    handover::Reply::Taken,
    handover::Reply::Refused,
    handover::Reply::Misaddressed,
];

fn new_table(number: u64) -> table::Table {
    let secret = secret::Secret([number as u8; secret::LEN_BYTES]);
    table::Table::new(
        instance::Instance(number),
        secret,
        register::Limits::default(),
    )
}

fn claimant(caller: usize) -> claim::Claimant {
    claim::Claimant {
        daemon: instance::Instance(100 + caller as u64),
        request: 1,
    }
}

impl Claims {
    fn claim(&self, state: &mut State, caller: usize, at: usize) {
        if self.without == Without::Minter {
            let holder = state.local_claims[at].get_or_insert(caller);
            state.callers[caller].granted |= *holder == caller;
            return;
        }
        let ticket = state.ticket;
        let table = state.still_granting[at]
            .as_mut()
            .unwrap_or(&mut state.tables[at]);
        let granted = table.claim(&ticket, claimant(caller));
        state.callers[caller].granted |= granted.is_ok();
    }

    fn export(&self, state: &mut State, from: usize, to: usize) {
        let target = state.tables[to].instance();
        let sender = state.tables[from].instance();
        if self.without == Without::StopGranting {
            let table = &state.tables[from];
            state.still_granting[from].get_or_insert_with(|| table.clone());
        }
        let mut offer = state.tables[from].export(NOW, target);
        if self.without == Without::DefiniteRefusal && offer.is_none() {
            let earlier = state.offers.iter().find(|o| o.0.from == sender);
            offer = earlier.map(|o| handover::Handover {
                to: target,
                ..o.0.clone()
            });
        }
        state.offers.extend(offer.map(Offer));
        state.exported.push((from, to));
        state.exported.sort_unstable();
    }

    fn import(&self, state: &mut State, offer: handover::Handover, at: usize) {
        let (from, to) = (offer.from.0, offer.to.0);
        let mut offer = offer;
        if self.without == Without::Addressee {
            offer.to = state.tables[at].instance();
        }
        let reply = state.tables[at].import(NOW, offer);
        let reply = REPLIES.iter().position(|r| *r == reply).unwrap_or(0);
        state.replies.insert((to, from, reply as u8));
    }
}

impl bfs::Model for Claims {
    type State = State;
    type Step = Step;

    fn initial(&self) -> State {
        let mut tables: Vec<_> = (0..TABLES as u64).map(new_table).collect();
        let ticket = tables[0].mint(NOW).expect("a new table mints");
        let caller = Caller {
            permit: permit::Permit::new(),
            granted: false,
            released: false,
            executed: false,
        };
        State {
            tables,
            local_claims: vec![None; TABLES],
            still_granting: vec![None; TABLES],
            callers: vec![caller; if bfs::uses_large_bounds() { 3 } else { 2 }],
            offers: BTreeSet::new(),
            replies: BTreeSet::new(),
            exported: Vec::new(),
            restarted: Vec::new(),
            ticket,
        }
    }

    fn steps(&self, state: &State) -> Vec<Step> {
        let mut steps = Vec::new();
        for (caller, c) in state.callers.iter().enumerate() {
            for at in 0..TABLES {
                steps.push(Step::Claim { caller, at });
                if c.released {
                    steps.push(Step::Release { caller, at });
                }
            }
            if c.granted {
                steps.push(Step::Granted { caller });
            }
            if !c.executed {
                steps.push(Step::GiveUp { caller });
            }
        }
        let exports = self.scenario.exports.iter();
        let exports = exports.filter(|pair| !state.exported.contains(pair));
        steps.extend(exports.map(|&(from, to)| Step::Export { from, to }));
        for Offer(offer) in &state.offers {
            let (from, to) = (offer.from.0, offer.to.0);
            let at = (to % TABLES as u64) as usize;
            steps.push(Step::Offer { from, to, at });
        }
        for (from, to, reply) in &state.replies {
            let (from, to, reply) = (*from, (*to % TABLES as u64) as usize, *reply);
            steps.push(Step::Reply { from, to, reply });
        }
        let restarts = self.scenario.restarts.iter();
        let restarts = restarts.filter(|daemon| !state.restarted.contains(daemon));
        steps.extend(restarts.map(|&daemon| Step::Restart { daemon }));
        steps
    }

    fn apply(&self, state: &mut State, step: &Step) {
        let ticket = state.ticket;
        match *step {
            Step::Claim { caller, at } => self.claim(state, caller, at),
            Step::Granted { caller } => {
                let caller = &mut state.callers[caller];
                if self.without == Without::PermitPhase {
                    caller.permit = permit::Permit::new();
                }
                caller.permit.record_decision(Ok(()));
                caller.executed |= caller.permit.send();
            }
            Step::GiveUp { caller } => {
                let caller = &mut state.callers[caller];
                caller.released |= caller.permit.release();
            }
            Step::Release { caller, at } => {
                // A refused release has the same effect as a lost one.
                let _ = state.tables[at].release(&ticket, claimant(caller));
                if state.local_claims[at] == Some(caller) {
                    state.local_claims[at] = None;
                }
            }
            Step::Export { from, to } => self.export(state, from, to),
            Step::Offer { from, to, at } => {
                let offer = state
                    .offers
                    .iter()
                    .find(|o| (o.0.from.0, o.0.to.0) == (from, to));
                if let Some(Offer(offer)) = offer.cloned() {
                    self.import(state, offer, at);
                }
            }
            Step::Reply { from, to, reply } => {
                state.tables[to]
                    .record_reply(instance::Instance(from), REPLIES[usize::from(reply)]);
            }
            Step::Restart { daemon } => {
                let number = state.tables[daemon].instance().0 + TABLES as u64;
                state.tables[daemon] = new_table(number);
                state.restarted.push(daemon);
            }
        }
    }

    fn check(&self, state: &State) -> Result<(), String> {
        let executed = state.callers.iter().filter(|c| c.executed).count();
        if executed > 1 {
            return Err(format!(
                "{executed} callers executed the request of one ticket"
            ));
        }
        Ok(())
    }
}

fn search(without: Without, scenario: Scenario) -> bfs::Outcome {
    bfs::search(&Claims { without, scenario })
}

#[test]
fn requests_execute_at_most_once_in_every_interleaving() {
    for scenario in SCENARIOS {
        let outcome = search(Without::Nothing, scenario);

        outcome.assert_safe(scenario.name);
    }
}

#[test]
fn claims_decided_by_each_daemon_execute_twice() {
    let outcome = search(Without::Minter, TWO_SUCCESSORS);

    outcome.assert_fault("claims decided by each daemon");
}

#[test]
fn a_second_successor_before_a_definite_refusal_executes_twice() {
    let outcome = search(Without::DefiniteRefusal, TWO_SUCCESSORS);

    outcome.assert_fault("second successor before a definite refusal");
}

#[test]
fn a_handover_to_any_instance_at_the_address_executes_twice() {
    let outcome = search(Without::Addressee, RESTARTED_SUCCESSOR);

    outcome.assert_fault("handover to any instance at the address");
}

#[test]
fn a_grant_used_after_its_release_executes_twice() {
    let outcome = search(Without::PermitPhase, TWO_SUCCESSORS);

    outcome.assert_fault("grant used after its release");
}

#[test]
fn granting_after_the_offer_executes_twice() {
    let outcome = search(Without::StopGranting, CHAIN);

    outcome.assert_fault("granting after the offer");
}
