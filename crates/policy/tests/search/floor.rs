use std::collections::BTreeSet;
use std::time::Duration;

use monsooncart_policy::floor::action::Action;
use monsooncart_policy::floor::event::Event;
use monsooncart_policy::floor::{capacity, controller, mark, record, request, storage};
use monsooncart_types::{id, instance, time};

use crate::bfs;

/// Part of the mechanism that is disabled, to show that the search finds the resulting fault.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Without {
    Nothing,
    /// Every daemon ejects servers as long as its own ejections leave enough in service.
    Ledger,
    /// Writes of the record take effect whatever its version.
    Condition,
    /// A holder that is only paused is removed, as if a lease had expired.
    ProofOfDeath,
}

/// Initial state and possible steps, each taken at most once, at any time and in any order.
#[derive(Clone, Copy)]
struct Scenario {
    name: &'static str,
    daemons: usize,
    servers: usize,
    /// Whether servers have one, two or three slots in turn rather than one each.
    has_uneven_slots: bool,
    floor: u64,
    /// Holders at the start.
    holders: &'static [u64],
    /// Holders after the change of holders; empty if they do not change.
    next_holders: &'static [u64],
    /// Ejections as pairs of daemon and server.
    ejections: &'static [(usize, usize)],
    /// Restores as pairs of daemon and server.
    restores: &'static [(usize, usize)],
    /// Platform responses that may be lost; the write takes effect before, afterwards or never.
    lost_responses: usize,
    /// Platform calls that may fail because the platform is unavailable.
    unavailable_calls: usize,
    ticks: usize,
    /// The daemon that may be killed; the others may then learn that it is gone.
    killed: Option<usize>,
    /// The server that may be drained; each daemon learns of it at a different time.
    drained: Option<usize>,
    /// Whether the floor must hold for the union of the servers ejected at any daemon, and not only
    /// for those ejected at each one.
    checks_union: bool,
}

/// Two servers and a floor of one slot: the only token is granted to the holder, if there is one.
const BASE: Scenario = Scenario {
    name: "quiet",
    daemons: 2,
    servers: 2,
    has_uneven_slots: false,
    floor: 1,
    holders: &[0],
    next_holders: &[],
    ejections: &[(0, 0), (1, 1)],
    restores: &[],
    lost_responses: 0,
    unavailable_calls: 0,
    ticks: 0,
    killed: None,
    drained: None,
    checks_union: true,
};

const FREE_TOKENS: Scenario = Scenario {
    name: "two ejections with a free token, responses lost",
    holders: &[],
    lost_responses: 2,
    ticks: 1,
    ..BASE
};

/// One granted and one free token for three ejections.
const MIXED: Scenario = Scenario {
    name: "ejections with granted and free tokens, a response lost",
    servers: 3,
    ejections: &[(0, 0), (1, 1), (1, 2)],
    lost_responses: 1,
    ..BASE
};

const OUTAGE: Scenario = Scenario {
    name: "two ejections while the platform is unavailable",
    unavailable_calls: 2,
    ticks: 1,
    ..BASE
};

const TOKEN_MOVES: Scenario = Scenario {
    name: "a token moves to another holder, a response lost",
    next_holders: &[1],
    lost_responses: 1,
    ..BASE
};

const KILLED: Scenario = Scenario {
    name: "the holder is killed",
    unavailable_calls: 1,
    ticks: 1,
    killed: Some(0),
    ..BASE
};

/// A third daemon may have received the holder's spend while the second has not.
const PARTIAL_BROADCAST: Scenario = Scenario {
    name: "the holder is killed after one of two daemons received its spend",
    daemons: 3,
    checks_union: false,
    killed: Some(0),
    ..BASE
};

const DRAIN: Scenario = Scenario {
    name: "a drain races ejections",
    servers: 3,
    lost_responses: 1,
    drained: Some(2),
    checks_union: false,
    ..BASE
};

const RESTORE: Scenario = Scenario {
    name: "a server is restored while others are ejected",
    servers: 3,
    ejections: &[(0, 0), (1, 1), (1, 2)],
    restores: &[(1, 0)],
    checks_union: false,
    ..BASE
};

/// For random walks: too large for an exhaustive search.
const LARGE: Scenario = Scenario {
    name: "four daemons, six servers",
    daemons: 4,
    servers: 6,
    has_uneven_slots: true,
    floor: 4,
    holders: &[0, 1],
    next_holders: &[1, 2],
    ejections: &[
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
    lost_responses: 4,
    unavailable_calls: 6,
    ticks: 4,
    ..BASE
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
    response: Option<storage::Response>,
    /// Whether its daemon no longer waits for the response.
    lost: bool,
}

#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Mark(usize, mark::Mark),
    Request(usize, usize, request::Request),
    Reply(usize, usize, request::Reply),
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct State {
    controllers: Vec<Option<controller::Controller>>,
    stored: Option<(storage::Version, record::Record)>,
    calls: Vec<Call>,
    /// Every message ever sent.
    messages: BTreeSet<Message>,
    /// Servers that each daemon ejected without the ledger.
    local_ejections: Vec<BTreeSet<usize>>,
    done: BTreeSet<Once>,
    lost_responses: usize,
    unavailable_calls: usize,
    ticks: Vec<usize>,
}

/// Steps taken at most once. By `Gone`, `Drain` and `Holders`, the daemon `at` learns that the
/// killed daemon is gone, that the server is drained, and that the holders changed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Once {
    Eject { daemon: usize, server: usize },
    Restore { daemon: usize, server: usize },
    Kill { daemon: usize },
    Gone { at: usize },
    Drain { at: usize },
    Holders { at: usize },
}

#[derive(Clone, Debug)]
enum Step {
    Once(Once),
    /// The platform executes a call.
    Execute {
        call: usize,
    },
    /// The response of an executed call arrives.
    Answer {
        call: usize,
    },
    /// The response of a call is lost; the platform may still execute the call.
    Lose {
        call: usize,
    },
    /// A call fails because the platform is unavailable.
    Fail {
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
    if scenario.has_uneven_slots {
        1 + server as u64 % 3
    } else {
        1
    }
}

fn holders(numbers: &[u64]) -> Event {
    Event::Holders(numbers.iter().copied().map(instance::Instance).collect())
}

impl Floor {
    fn handle(&self, state: &mut State, daemon: usize, event: Event) {
        let ticks = state.ticks[daemon] as u64;
        let now = time::Time::ZERO + Duration::from_secs(ticks);
        let Some(controller) = state.controllers[daemon].as_mut() else {
            return;
        };
        let mut actions = Vec::new();
        controller.handle(now, event, &mut actions);
        for action in actions {
            self.enqueue(state, daemon, action);
        }
    }

    fn enqueue(&self, state: &mut State, daemon: usize, action: Action) {
        let call = |number, put| Call {
            daemon,
            number,
            put,
            response: None,
            lost: false,
        };
        match action {
            Action::Get { call: number } => state.calls.push(call(number, None)),
            Action::Put {
                call: number,
                condition,
                record,
            } => state.calls.push(call(number, Some((condition, record)))),
            Action::Request { to, request } => {
                let to = to.0 as usize;
                state.messages.insert(Message::Request(daemon, to, request));
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
            state.calls[call].response = Some(read);
            return;
        };
        let version = state.stored.as_ref().map(|(version, _)| *version);
        let holds = match condition {
            storage::Condition::Absent => version.is_none(),
            storage::Condition::At(at) => version == Some(at),
        };
        let response = if holds || self.without == Without::Condition {
            let version = storage::Version(version.map_or(1, |v| v.0 + 1));
            state.stored = Some((version, record));
            storage::Response::Written(version)
        } else {
            storage::Response::Conflict
        };
        state.calls[call].response = Some(response);
        state.calls.retain(|c| !(c.lost && c.response.is_some()));
    }

    fn respond(&self, state: &mut State, call: usize, response: storage::Response) {
        let (daemon, call) = (state.calls[call].daemon, state.calls[call].number);
        self.handle(state, daemon, Event::StorageResponse { call, response });
    }

    fn deliver(&self, state: &mut State, message: usize) {
        match state.messages.iter().nth(message).cloned() {
            Some(Message::Mark(to, mark)) => self.handle(state, to, Event::Mark(mark)),
            Some(Message::Request(from, to, request)) => {
                let from = instance(from);
                self.handle(state, to, Event::Request { from, request });
            }
            Some(Message::Reply(from, to, reply)) => {
                let from = instance(from);
                self.handle(state, to, Event::Reply { from, reply });
            }
            None => {}
        }
    }

    fn apply_once(&self, state: &mut State, once: &Once) {
        state.done.insert(once.clone());
        match *once {
            Once::Eject { daemon, server: s } if self.without == Without::Ledger => {
                let local_ejections = &mut state.local_ejections[daemon];
                if (self.scenario.servers - local_ejections.len()) as u64 > self.scenario.floor {
                    local_ejections.insert(s);
                }
            }
            Once::Eject { daemon, server: s } => {
                let ejection = mark::Ejection {
                    by: instance(daemon),
                    at: 0,
                    evidence: String::new(),
                };
                let server = server(s);
                self.handle(state, daemon, Event::Eject { server, ejection });
            }
            Once::Restore { daemon, server: s } => {
                self.handle(state, daemon, Event::Restore(server(s)));
            }
            Once::Kill { daemon } => {
                state.controllers[daemon] = None;
                state
                    .calls
                    .retain(|c| c.daemon != daemon || c.put.is_some());
                for call in state.calls.iter_mut().filter(|c| c.daemon == daemon) {
                    call.lost = true;
                }
                state.calls.retain(|c| !(c.lost && c.response.is_some()));
            }
            Once::Gone { at } => {
                let gone = self.scenario.killed.into_iter().map(instance);
                self.handle(state, at, Event::Gone(gone.collect()));
            }
            Once::Drain { at } => {
                let capacity = capacity(&self.scenario, 2, self.scenario.drained);
                self.handle(state, at, Event::Capacity(capacity));
            }
            Once::Holders { at } => {
                self.handle(state, at, holders(self.scenario.next_holders));
            }
        }
    }

    fn once_steps(&self, state: &State) -> Vec<Once> {
        let mut once_steps = Vec::new();
        let scenario = &self.scenario;
        let eject = |&(daemon, server)| Once::Eject { daemon, server };
        once_steps.extend(scenario.ejections.iter().map(eject));
        let restore = |&(daemon, server)| Once::Restore { daemon, server };
        once_steps.extend(scenario.restores.iter().map(restore));
        let daemons = 0..scenario.daemons;
        if let Some(daemon) = scenario.killed {
            let kill = Once::Kill { daemon };
            let early = self.without == Without::ProofOfDeath;
            if early || state.done.contains(&kill) {
                let others = daemons.clone().filter(|d| *d != daemon);
                once_steps.extend(others.map(|at| Once::Gone { at }));
            }
            if !early {
                once_steps.push(kill);
            }
        }
        if scenario.drained.is_some() {
            once_steps.extend(daemons.clone().map(|at| Once::Drain { at }));
        }
        if !scenario.next_holders.is_empty() {
            once_steps.extend(daemons.map(|at| Once::Holders { at }));
        }
        once_steps.retain(|once| !state.done.contains(once));
        once_steps
    }

    /// Slots in service if `ejected` is ejected.
    fn serving(&self, ejected: &BTreeSet<id::Server>, drained: bool) -> u64 {
        let drained = self.scenario.drained.filter(|_| drained);
        let servers = (0..self.scenario.servers).filter(|n| Some(*n) != drained);
        let serving = servers.filter(|n| !ejected.contains(&server(*n)));
        serving.map(|n| slots(&self.scenario, n)).sum()
    }
}

impl bfs::Model for Floor {
    type State = State;
    type Step = Step;

    fn initial(&self) -> State {
        let daemons = self.scenario.daemons;
        let vm: id::Vm = "vm".parse().expect("a name");
        let controller = |d| Some(controller::Controller::new(instance(d), vm.clone()));
        let mut state = State {
            controllers: (0..daemons).map(controller).collect(),
            stored: None,
            calls: Vec::new(),
            messages: BTreeSet::new(),
            local_ejections: vec![BTreeSet::new(); daemons],
            done: BTreeSet::new(),
            lost_responses: 0,
            unavailable_calls: 0,
            ticks: vec![0; daemons],
        };
        for daemon in 0..daemons {
            self.handle(&mut state, daemon, holders(self.scenario.holders));
            self.handle(
                &mut state,
                daemon,
                Event::Capacity(capacity(&self.scenario, 1, None)),
            );
            while !state.calls.is_empty() {
                self.execute(&mut state, 0);
                let call = state.calls.remove(0);
                let (daemon, call, response) = (call.daemon, call.number, call.response);
                let response = response.expect("the call was executed");
                self.handle(
                    &mut state,
                    daemon,
                    Event::StorageResponse { call, response },
                );
            }
        }
        state
    }

    fn steps(&self, state: &State) -> Vec<Step> {
        let mut steps: Vec<_> = self.once_steps(state).into_iter().map(Step::Once).collect();
        for (call, c) in state.calls.iter().enumerate() {
            match &c.response {
                None => steps.push(Step::Execute { call }),
                Some(_) => steps.push(Step::Answer { call }),
            }
            if !c.lost && state.lost_responses < self.scenario.lost_responses {
                steps.push(Step::Lose { call });
            }
            if !c.lost
                && c.response.is_none()
                && state.unavailable_calls < self.scenario.unavailable_calls
            {
                steps.push(Step::Fail { call });
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
            Step::Once(once) => self.apply_once(state, once),
            Step::Execute { call } => self.execute(state, *call),
            Step::Answer { call } => {
                let call = state.calls.remove(*call);
                let (daemon, call, response) = (call.daemon, call.number, call.response);
                let response = response.unwrap_or(storage::Response::Unknown);
                self.handle(state, daemon, Event::StorageResponse { call, response });
            }
            Step::Lose { call } => {
                state.lost_responses += 1;
                state.calls[*call].lost = true;
                self.respond(state, *call, storage::Response::Unknown);
                let is_done = |c: &Call| c.lost && (c.response.is_some() || c.put.is_none());
                state.calls.retain(|c| !is_done(c));
            }
            Step::Fail { call } => {
                state.unavailable_calls += 1;
                let call = state.calls.remove(*call);
                let (daemon, call) = (call.daemon, call.number);
                let response = storage::Response::Unavailable;
                self.handle(state, daemon, Event::StorageResponse { call, response });
            }
            Step::Deliver { message } => self.deliver(state, *message),
            Step::Tick { daemon } => {
                state.ticks[*daemon] += 1;
                self.handle(state, *daemon, Event::Tick);
            }
        }
        state.calls.sort_by_key(|c| (c.daemon, c.number));
    }

    fn check(&self, state: &State) -> Result<(), String> {
        let mut union = BTreeSet::new();
        for (daemon, controller) in state.controllers.iter().enumerate() {
            let local_ejections = state.local_ejections[daemon].iter().map(|n| server(*n));
            let mut ejected: BTreeSet<_> = local_ejections.collect();
            ejected.extend(controller.iter().flat_map(|c| c.view().ejected()));
            let drained = state.done.contains(&Once::Drain { at: daemon });
            if self.serving(&ejected, drained) < self.scenario.floor {
                return Err(format!(
                    "daemon {daemon} has ejected too many servers: {ejected:?}"
                ));
            }
            union.extend(ejected);
        }
        if self.scenario.checks_union && self.serving(&union, false) < self.scenario.floor {
            return Err(format!(
                "the daemons together have ejected too many servers: {union:?}"
            ));
        }
        match &state.stored {
            Some((_, record)) => self.check_record(record),
            None => Ok(()),
        }
    }
}

impl Floor {
    /// Checks that granted tokens never exceed the capacity above the floor. Only a drain may
    /// remove capacity while tokens are granted; then every available server must be in service.
    fn check_record(&self, record: &record::Record) -> Result<(), String> {
        let drained = self.scenario.drained.is_some() && record.version == 2;
        let mut available = record.servers.values().filter(|s| s.available);
        let floor_restored = drained && available.all(record::Server::serves);
        if record.room() < 0 && !floor_restored {
            return Err(format!(
                "granted tokens exceed the capacity above the floor: {record:?}"
            ));
        }
        Ok(())
    }
}

fn search(without: Without, scenario: Scenario) -> bfs::Outcome {
    bfs::search(&Floor { without, scenario })
}

fn assert_safe(mut scenario: Scenario) {
    if bfs::uses_large_bounds() {
        scenario.lost_responses += 1;
        scenario.ticks += 1;
    }

    let outcome = search(Without::Nothing, scenario);

    outcome.assert_safe(scenario.name);
}

#[test]
fn the_floor_holds_for_ejections_with_free_tokens() {
    assert_safe(FREE_TOKENS);
}

#[test]
fn the_floor_holds_for_ejections_with_granted_and_free_tokens() {
    assert_safe(MIXED);
}

#[test]
fn the_floor_holds_while_the_platform_is_unavailable() {
    assert_safe(OUTAGE);
}

#[test]
fn the_floor_holds_while_a_token_moves_to_another_holder() {
    assert_safe(TOKEN_MOVES);
}

#[test]
fn the_floor_holds_when_the_holder_is_killed() {
    assert_safe(KILLED);
}

#[test]
fn the_floor_holds_at_each_daemon_that_missed_a_killed_holders_spend() {
    assert_safe(PARTIAL_BROADCAST);
}

#[test]
fn the_floor_holds_at_each_daemon_when_a_drain_races_ejections() {
    assert_safe(DRAIN);
}

#[test]
fn the_floor_holds_at_each_daemon_while_a_server_is_restored() {
    assert_safe(RESTORE);
}

#[test]
fn the_floor_holds_on_random_walks() {
    let without = Without::Nothing;
    let scenario = LARGE;

    bfs::walk(&Floor { without, scenario }, scenario.name);
}

#[test]
fn the_floor_holds_at_each_daemon_on_random_walks_with_all_faults() {
    let without = Without::Nothing;
    let scenario = Scenario {
        name: "four daemons, six servers, all faults",
        restores: &[(0, 1), (1, 0), (2, 2), (3, 4)],
        killed: Some(0),
        drained: Some(5),
        checks_union: false,
        ..LARGE
    };

    bfs::walk(&Floor { without, scenario }, scenario.name);
}

/// A known limit of the mechanism: a daemon that has not read the newest record may still treat a
/// server as ejected by a killed holder, while other daemons eject another server instead.
#[test]
fn daemons_with_different_records_may_eject_different_servers() {
    let checks_union = true;
    let scenario = Scenario {
        checks_union,
        ..PARTIAL_BROADCAST
    };

    let outcome = search(Without::Nothing, scenario);

    outcome.assert_fault("killed holder's spend at a daemon with an old record");
}

#[test]
fn ejecting_by_local_state_breaks_the_floor() {
    let outcome = search(Without::Ledger, FREE_TOKENS);

    outcome.assert_fault("ejection by local state");
}

#[test]
fn writing_without_the_condition_breaks_the_floor() {
    let outcome = search(Without::Condition, FREE_TOKENS);

    outcome.assert_fault("write without the condition");
}

#[test]
fn removing_a_paused_holder_breaks_the_floor() {
    let outcome = search(Without::ProofOfDeath, KILLED);

    outcome.assert_fault("paused holder removed");
}
