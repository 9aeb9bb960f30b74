use std::collections::BTreeSet;
use std::time::Duration;

use monsooncart_policy::floor::action::Action;
use monsooncart_policy::floor::event::Event;
use monsooncart_policy::floor::{capacity, controller, mark, record, request, storage};
use monsooncart_types::{id, instance, time};

use crate::bfs;

/// What is left out of the mechanism.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Without {
    Nothing,
    /// Every daemon ejects as long as enough servers serve by its own count.
    Ledger,
    /// Writes of the record take effect whatever version it stands at.
    Condition,
    /// A holder that is only paused is taken for gone, as a lapsed lease would.
    ProofOfDeath,
}

/// What may happen, each once, at any time, in any order.
#[derive(Clone, Copy)]
struct Scenario {
    name: &'static str,
    daemons: usize,
    servers: usize,
    /// Whether servers have one, two or three slots in turn, not one each.
    uneven: bool,
    floor: u64,
    /// Holders at the start, and after the change of holders.
    holders: &'static [u64],
    next_holders: &'static [u64],
    /// Who wants which server out.
    wants: &'static [(usize, usize)],
    /// Who puts which server back.
    restores: &'static [(usize, usize)],
    /// Answers of the platform that may be lost, their writes taking effect before, later or never.
    lost: usize,
    /// Calls that may find the platform away.
    away: usize,
    ticks: usize,
    /// The daemon that may be killed; the others are told of it once they are allowed to be.
    killed: Option<usize>,
    /// The server that may be drained, which each daemon hears of at another time.
    drained: Option<usize>,
    /// Whether the floor is to hold for the servers that any daemon takes for ejected, beside those
    /// that each one does.
    together: bool,
}

/// Two servers and a floor of one: a holder, if any, has the one token.
const QUIET: Scenario = Scenario {
    name: "quiet",
    daemons: 2,
    servers: 2,
    uneven: false,
    floor: 1,
    holders: &[0],
    next_holders: &[],
    wants: &[(0, 0), (1, 1)],
    restores: &[],
    lost: 0,
    away: 0,
    ticks: 0,
    killed: None,
    drained: None,
    together: true,
};

const FREE: Scenario = Scenario {
    name: "two ejections from the free room, answers lost",
    holders: &[],
    lost: 2,
    ticks: 1,
    ..QUIET
};

/// One token and one free slot for three ejections.
const MIXED: Scenario = Scenario {
    name: "ejections by token and from the free room, an answer lost",
    servers: 3,
    wants: &[(0, 0), (1, 1), (1, 2)],
    lost: 1,
    ..QUIET
};

const OUTAGE: Scenario = Scenario {
    name: "two ejections with the platform away",
    away: 2,
    ticks: 1,
    ..QUIET
};

const RETURN: Scenario = Scenario {
    name: "a token changes hands, an answer lost",
    next_holders: &[1],
    lost: 1,
    ..QUIET
};

const KILLED: Scenario = Scenario {
    name: "the holder is killed",
    away: 1,
    ticks: 1,
    killed: Some(0),
    ..QUIET
};

/// A third daemon may have heard of the holder's spend while the second has not.
const HEARSAY: Scenario = Scenario {
    name: "the holder is killed after one of two heard of its spend",
    daemons: 3,
    together: false,
    killed: Some(0),
    ..QUIET
};

const DRAIN: Scenario = Scenario {
    name: "a drain races ejections",
    servers: 3,
    lost: 1,
    drained: Some(2),
    together: false,
    ..QUIET
};

const RESTORE: Scenario = Scenario {
    name: "a server comes back while others are ejected",
    servers: 3,
    wants: &[(0, 0), (1, 1), (1, 2)],
    restores: &[(1, 0)],
    together: false,
    ..QUIET
};

/// For random walks: more of everything.
const CROWD: Scenario = Scenario {
    name: "four daemons, six servers",
    daemons: 4,
    servers: 6,
    uneven: true,
    floor: 4,
    holders: &[0, 1],
    next_holders: &[1, 2],
    wants: &[
        (0, 0),
        (0, 1),
        (1, 2),
        (1, 3),
        (2, 4),
        (2, 5),
        (3, 0),
        (3, 1),
        (3, 2),
    ],
    lost: 4,
    away: 6,
    ticks: 4,
    ..QUIET
};

struct Floor {
    without: Without,
    scenario: Scenario,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct Call {
    daemon: usize,
    number: u64,
    put: Option<(storage::Condition, record::Record)>,
    answer: Option<storage::Response>,
    /// Whether its daemon gave up on the answer.
    lost: bool,
}

#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Mark(usize, mark::Mark),
    Ask(usize, usize, request::Request),
    Reply(usize, usize, request::Reply),
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct State {
    keepers: Vec<Option<controller::Controller>>,
    stored: Option<(storage::Version, record::Record)>,
    calls: Vec<Call>,
    /// Every message that was ever sent.
    messages: BTreeSet<Message>,
    /// Servers that each daemon ejected by its own count.
    alone: Vec<BTreeSet<usize>>,
    done: BTreeSet<Once>,
    lost: usize,
    away: usize,
    ticks: Vec<usize>,
}

/// Steps that happen once.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Once {
    Want { daemon: usize, server: usize },
    Restore { daemon: usize, server: usize },
    Kill { daemon: usize },
    Gone { told: usize },
    Drain { told: usize },
    Holders { told: usize },
}

#[derive(Clone, Debug)]
enum Step {
    Once(Once),
    /// The platform carries out a call.
    Execute {
        call: usize,
    },
    Answer {
        call: usize,
    },
    Lose {
        call: usize,
    },
    Away {
        call: usize,
    },
    Deliver {
        message: usize,
    },
    Tick {
        daemon: usize,
    },
}

fn server(number: usize) -> id::Server {
    format!("s{number}").parse().expect("a name")
}

fn instance(daemon: usize) -> instance::Instance {
    instance::Instance(daemon as u64)
}

fn capacity(scenario: &Scenario, version: u64, drained: Option<usize>) -> capacity::Capacity {
    let server = |number| capacity::Server {
        name: server(number),
        slots: slots(scenario, number),
        available: Some(number) != drained,
        generation: 0,
    };
    capacity::Capacity {
        version,
        floor: scenario.floor,
        servers: (0..scenario.servers).map(server).collect(),
    }
}

fn slots(scenario: &Scenario, server: usize) -> u64 {
    if scenario.uneven {
        1 + server as u64 % 3
    } else {
        1
    }
}

fn holders(numbers: &[u64]) -> Event {
    Event::Holders(numbers.iter().copied().map(instance::Instance).collect())
}

impl Floor {
    fn feed(&self, state: &mut State, daemon: usize, event: Event) {
        let ticks = state.ticks[daemon] as u64;
        let now = time::Time::ZERO + Duration::from_secs(ticks);
        let Some(keeper) = state.keepers[daemon].as_mut() else {
            return;
        };
        let mut actions = Vec::new();
        keeper.handle(now, event, &mut actions);
        for action in actions {
            self.act(state, daemon, action);
        }
    }

    fn act(&self, state: &mut State, daemon: usize, action: Action) {
        let call = |number, put| Call {
            daemon,
            number,
            put,
            answer: None,
            lost: false,
        };
        match action {
            Action::Get { call: number } => state.calls.push(call(number, None)),
            Action::Put {
                call: number,
                condition,
                record,
            } => state.calls.push(call(number, Some((condition, record)))),
            Action::Request { to, request: ask } => {
                let to = to.0 as usize;
                state.messages.insert(Message::Ask(daemon, to, ask));
            }
            Action::Reply { to, reply } => {
                let to = to.0 as usize;
                state.messages.insert(Message::Reply(daemon, to, reply));
            }
            Action::Broadcast(mark) => {
                let others = (0..self.scenario.daemons).filter(|d| *d != daemon);
                let messages = others.map(|to| Message::Mark(to, mark.clone()));
                state.messages.extend(messages);
            }
            Action::Report { .. } | Action::Stopped => {}
        }
    }

    fn execute(&self, state: &mut State, call: usize) {
        let Some((condition, record)) = state.calls[call].put.clone() else {
            let read = storage::Response::Read(state.stored.clone());
            state.calls[call].answer = Some(read);
            return;
        };
        let version = state.stored.as_ref().map(|(version, _)| *version);
        let holds = match condition {
            storage::Condition::Absent => version.is_none(),
            storage::Condition::At(at) => version == Some(at),
        };
        let answer = if holds || self.without == Without::Condition {
            let version = storage::Version(version.map_or(1, |v| v.0 + 1));
            state.stored = Some((version, record));
            storage::Response::Written(version)
        } else {
            storage::Response::Conflict
        };
        state.calls[call].answer = Some(answer);
        state.calls.retain(|c| !(c.lost && c.answer.is_some()));
    }

    fn answer(&self, state: &mut State, call: usize, answer: storage::Response) {
        let (daemon, call) = (state.calls[call].daemon, state.calls[call].number);
        self.feed(
            state,
            daemon,
            Event::StorageResponse {
                call,
                response: answer,
            },
        );
    }

    fn deliver(&self, state: &mut State, message: usize) {
        match state.messages.iter().nth(message).cloned() {
            Some(Message::Mark(to, mark)) => self.feed(state, to, Event::Mark(mark)),
            Some(Message::Ask(from, to, ask)) => {
                let from = instance(from);
                self.feed(state, to, Event::Request { from, request: ask });
            }
            Some(Message::Reply(from, to, reply)) => {
                let from = instance(from);
                self.feed(state, to, Event::Reply { from, reply });
            }
            None => {}
        }
    }

    fn once(&self, state: &mut State, once: &Once) {
        state.done.insert(once.clone());
        match *once {
            Once::Want { daemon, server: s } if self.without == Without::Ledger => {
                let alone = &mut state.alone[daemon];
                if (self.scenario.servers - alone.len()) as u64 > self.scenario.floor {
                    alone.insert(s);
                }
            }
            Once::Want { daemon, server: s } => {
                let ejection = mark::Ejection {
                    by: instance(daemon),
                    at: 0,
                    evidence: String::new(),
                };
                let server = server(s);
                self.feed(state, daemon, Event::Eject { server, ejection });
            }
            Once::Restore { daemon, server: s } => {
                self.feed(state, daemon, Event::Restore(server(s)));
            }
            Once::Kill { daemon } => {
                state.keepers[daemon] = None;
                state
                    .calls
                    .retain(|c| c.daemon != daemon || c.put.is_some());
                for call in state.calls.iter_mut().filter(|c| c.daemon == daemon) {
                    call.lost = true;
                }
                state.calls.retain(|c| !(c.lost && c.answer.is_some()));
            }
            Once::Gone { told } => {
                let gone = self.scenario.killed.into_iter().map(instance);
                self.feed(state, told, Event::Gone(gone.collect()));
            }
            Once::Drain { told } => {
                let capacity = capacity(&self.scenario, 2, self.scenario.drained);
                self.feed(state, told, Event::Capacity(capacity));
            }
            Once::Holders { told } => {
                self.feed(state, told, holders(self.scenario.next_holders));
            }
        }
    }

    fn onces(&self, state: &State) -> Vec<Once> {
        let mut onces = Vec::new();
        let scenario = &self.scenario;
        let want = |&(daemon, server)| Once::Want { daemon, server };
        onces.extend(scenario.wants.iter().map(want));
        let restore = |&(daemon, server)| Once::Restore { daemon, server };
        onces.extend(scenario.restores.iter().map(restore));
        let daemons = 0..scenario.daemons;
        if let Some(daemon) = scenario.killed {
            let kill = Once::Kill { daemon };
            let early = self.without == Without::ProofOfDeath;
            if early || state.done.contains(&kill) {
                let others = daemons.clone().filter(|d| *d != daemon);
                onces.extend(others.map(|told| Once::Gone { told }));
            }
            if !early {
                onces.push(kill);
            }
        }
        if scenario.drained.is_some() {
            onces.extend(daemons.clone().map(|told| Once::Drain { told }));
        }
        if !scenario.next_holders.is_empty() {
            onces.extend(daemons.map(|told| Once::Holders { told }));
        }
        onces.retain(|once| !state.done.contains(once));
        onces
    }

    /// Slots in service where `out` is ejected.
    fn serving(&self, out: &BTreeSet<id::Server>, drained: bool) -> u64 {
        let drained = self.scenario.drained.filter(|_| drained);
        let servers = (0..self.scenario.servers).filter(|n| Some(*n) != drained);
        let serving = servers.filter(|n| !out.contains(&server(*n)));
        serving.map(|n| slots(&self.scenario, n)).sum()
    }
}

impl bfs::Model for Floor {
    type State = State;
    type Step = Step;

    fn initial(&self) -> State {
        let daemons = self.scenario.daemons;
        let vm: id::Vm = "vm".parse().expect("a name");
        let keeper = |d| Some(controller::Controller::new(instance(d), vm.clone()));
        let mut state = State {
            keepers: (0..daemons).map(keeper).collect(),
            stored: None,
            calls: Vec::new(),
            messages: BTreeSet::new(),
            alone: vec![BTreeSet::new(); daemons],
            done: BTreeSet::new(),
            lost: 0,
            away: 0,
            ticks: vec![0; daemons],
        };
        for daemon in 0..daemons {
            self.feed(&mut state, daemon, holders(self.scenario.holders));
            self.feed(
                &mut state,
                daemon,
                Event::Capacity(capacity(&self.scenario, 1, None)),
            );
            while !state.calls.is_empty() {
                self.execute(&mut state, 0);
                let call = state.calls.remove(0);
                let (daemon, call, answer) = (call.daemon, call.number, call.answer);
                let answer = answer.expect("the call was carried out");
                self.feed(
                    &mut state,
                    daemon,
                    Event::StorageResponse {
                        call,
                        response: answer,
                    },
                );
            }
        }
        state
    }

    fn steps(&self, state: &State) -> Vec<Step> {
        let mut steps: Vec<_> = self.onces(state).into_iter().map(Step::Once).collect();
        for (call, c) in state.calls.iter().enumerate() {
            match &c.answer {
                None => steps.push(Step::Execute { call }),
                Some(_) => steps.push(Step::Answer { call }),
            }
            if !c.lost && state.lost < self.scenario.lost {
                steps.push(Step::Lose { call });
            }
            if !c.lost && c.answer.is_none() && state.away < self.scenario.away {
                steps.push(Step::Away { call });
            }
        }
        let messages = 0..state.messages.len();
        steps.extend(messages.map(|message| Step::Deliver { message }));
        for daemon in 0..self.scenario.daemons {
            if state.ticks[daemon] < self.scenario.ticks {
                steps.push(Step::Tick { daemon });
            }
        }
        steps
    }

    fn apply(&self, state: &mut State, step: &Step) {
        match step {
            Step::Once(once) => self.once(state, once),
            Step::Execute { call } => self.execute(state, *call),
            Step::Answer { call } => {
                let call = state.calls.remove(*call);
                let (daemon, call, answer) = (call.daemon, call.number, call.answer);
                let answer = answer.unwrap_or(storage::Response::Unknown);
                self.feed(
                    state,
                    daemon,
                    Event::StorageResponse {
                        call,
                        response: answer,
                    },
                );
            }
            Step::Lose { call } => {
                state.lost += 1;
                state.calls[*call].lost = true;
                self.answer(state, *call, storage::Response::Unknown);
                let over = |c: &Call| c.lost && (c.answer.is_some() || c.put.is_none());
                state.calls.retain(|c| !over(c));
            }
            Step::Away { call } => {
                state.away += 1;
                let call = state.calls.remove(*call);
                let (daemon, call) = (call.daemon, call.number);
                let answer = storage::Response::Unavailable;
                self.feed(
                    state,
                    daemon,
                    Event::StorageResponse {
                        call,
                        response: answer,
                    },
                );
            }
            Step::Deliver { message } => self.deliver(state, *message),
            Step::Tick { daemon } => {
                state.ticks[*daemon] += 1;
                self.feed(state, *daemon, Event::Tick);
            }
        }
        state.calls.sort_by_key(|c| (c.daemon, c.number));
    }

    fn check(&self, state: &State) -> Result<(), String> {
        let mut union = BTreeSet::new();
        for (daemon, keeper) in state.keepers.iter().enumerate() {
            let alone = state.alone[daemon].iter().map(|n| server(*n));
            let mut out: BTreeSet<_> = alone.collect();
            out.extend(keeper.iter().flat_map(|k| k.view().ejected()));
            let drained = state.done.contains(&Once::Drain { told: daemon });
            if self.serving(&out, drained) < self.scenario.floor {
                return Err(format!("daemon {daemon} has ejected {out:?}"));
            }
            union.extend(out);
        }
        if self.scenario.together && self.serving(&union, false) < self.scenario.floor {
            return Err(format!("the daemons together have ejected {union:?}"));
        }
        match &state.stored {
            Some((_, record)) => self.check_record(record),
            None => Ok(()),
        }
    }
}

impl Floor {
    /// The record never promises more than there is. Only a drain may take capacity while tokens
    /// are out, and then every available server must have been put back.
    fn check_record(&self, record: &record::Record) -> Result<(), String> {
        let drained = self.scenario.drained.is_some() && record.version == 2;
        let mut available = record.servers.values().filter(|s| s.available);
        let relieved = drained && available.all(record::Server::serves);
        if record.room() < 0 && !relieved {
            return Err(format!(
                "the record promises more than there is: {record:?}"
            ));
        }
        Ok(())
    }
}

fn search(without: Without, scenario: Scenario) -> bfs::Outcome {
    bfs::search(&Floor { without, scenario })
}

fn assert_safe(mut scenario: Scenario) {
    if bfs::large() {
        scenario.lost += 1;
        scenario.ticks += 1;
    }

    let outcome = search(Without::Nothing, scenario);

    outcome.assert_safe(scenario.name);
}

#[test]
fn the_floor_holds_for_ejections_from_the_free_room() {
    assert_safe(FREE);
}

#[test]
fn the_floor_holds_for_ejections_by_token_and_from_the_free_room() {
    assert_safe(MIXED);
}

#[test]
fn the_floor_holds_with_the_platform_away() {
    assert_safe(OUTAGE);
}

#[test]
fn the_floor_holds_while_a_token_changes_hands() {
    assert_safe(RETURN);
}

#[test]
fn the_floor_holds_when_the_holder_is_killed() {
    assert_safe(KILLED);
}

#[test]
fn the_floor_holds_at_each_daemon_that_did_not_hear_of_a_killed_holders_spend() {
    assert_safe(HEARSAY);
}

#[test]
fn the_floor_holds_at_each_daemon_when_a_drain_races_ejections() {
    assert_safe(DRAIN);
}

#[test]
fn the_floor_holds_at_each_daemon_while_a_server_comes_back() {
    assert_safe(RESTORE);
}

#[test]
fn the_floor_holds_on_random_walks() {
    let without = Without::Nothing;
    let scenario = CROWD;

    bfs::walk(&Floor { without, scenario }, scenario.name);
}

#[test]
fn the_floor_holds_at_each_daemon_on_random_walks_with_everything() {
    let without = Without::Nothing;
    let scenario = Scenario {
        name: "four daemons, six servers, and all that may happen",
        restores: &[(0, 1), (1, 0), (2, 2), (3, 4)],
        killed: Some(0),
        drained: Some(5),
        together: false,
        ..CROWD
    };

    bfs::walk(&Floor { without, scenario }, scenario.name);
}

/// The limit of the mechanism: a daemon that has not read the newest record may still keep out a
/// server that a killed holder ejected, while others eject another in its place.
#[test]
fn a_daemon_with_an_old_record_may_keep_another_server_out() {
    let together = true;
    let scenario = Scenario {
        together,
        ..HEARSAY
    };

    let outcome = search(Without::Nothing, scenario);

    outcome.assert_fault("killed holder's spend at a daemon with an old record");
}

#[test]
fn ejecting_by_local_count_breaks_the_floor() {
    let outcome = search(Without::Ledger, FREE);

    outcome.assert_fault("ejection by local count");
}

#[test]
fn writing_without_the_condition_breaks_the_floor() {
    let outcome = search(Without::Condition, FREE);

    outcome.assert_fault("write without the condition");
}

#[test]
fn taking_a_paused_holder_for_gone_breaks_the_floor() {
    let outcome = search(Without::ProofOfDeath, KILLED);

    outcome.assert_fault("paused holder taken for gone");
}
