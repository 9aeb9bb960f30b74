//! Servers with slots and a queue, and kinds of requests, for tests of a load.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use monsooncart_policy::{event, handle, inventory, outcome, rank};
use monsooncart_types::time;

use crate::fixture::{self, Harness, MS};

/// A request at a server.
pub struct Job {
    pub attempt: handle::Attempt,
    pub arrived_at: time::Time,
    pub work: Duration,
}

/// A server that processes requests in order of arrival.
pub struct Server {
    slots: usize,
    running: Vec<(time::Time, Job)>,
    pub queue: VecDeque<Job>,
}

impl Server {
    pub fn new(slots: u32) -> Self {
        Self {
            slots: slots as usize,
            running: Vec::new(),
            queue: VecDeque::new(),
        }
    }

    pub fn start_queued(&mut self, now: time::Time) {
        while self.running.len() < self.slots {
            let Some(job) = self.queue.pop_front() else {
                return;
            };
            self.running.push((now + job.work, job));
        }
    }

    pub fn finished(&mut self, now: time::Time) -> Vec<Job> {
        let finished = self.running.extract_if(.., |(ends_at, _)| *ends_at <= now);
        finished.map(|(_, job)| job).collect()
    }
}

/// A kind of requests.
#[derive(Clone, Copy)]
pub struct Kind {
    pub priority: u32,
    /// Bounds of the work, in milliseconds.
    pub work_millis: [u64; 2],
    pub objective: Duration,
    pub timeout: Duration,
    /// Requests per second, by the second.
    pub rate: fn(f64) -> f64,
}

/// Requests of a kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub in_objective: u32,
    pub late: u32,
    pub failed: u32,
    pub refused: u32,
    /// Refused after more than this kind's objective.
    pub refused_late: u32,
}

impl Counts {
    pub fn asked(&self) -> u32 {
        self.in_objective + self.late + self.failed + self.refused
    }

    /// Share of the requests that were served at all.
    pub fn served(&self) -> f64 {
        f64::from(self.in_objective + self.late) / f64::from(self.asked().max(1))
    }
}

/// A load on servers of which some fail at once.
pub struct Load {
    pub servers: u32,
    pub slots: u32,
    pub kinds: Vec<Kind>,
    /// Whether a server fails its requests within some milliseconds at this time.
    pub fails: fn(u32, f64) -> bool,
    pub duration: Duration,
}

/// Time in which a server fails a request.
const FAILURE_TIME: Duration = Duration::from_millis(3);

/// A request that has not ended.
struct Open {
    kind: usize,
    arrived_at: time::Time,
    number: u64,
}

impl Load {
    pub fn inventory(&self) -> Vec<inventory::Server> {
        let server = |number| inventory::Server {
            slots: self.slots,
            ..fixture::server(number)
        };
        (0..self.servers).map(server).collect()
    }

    /// Runs the load; returns the counts of each kind.
    pub fn run(&self, harness: &mut Harness) -> Vec<Counts> {
        let mut run = Run {
            load: self,
            servers: (0..self.servers)
                .map(|n| (n, Server::new(self.slots)))
                .collect(),
            open: BTreeMap::new(),
            requests: BTreeMap::new(),
            counts: vec![Counts::default(); self.kinds.len()],
            started_at: harness.now,
        };
        let mut due = vec![0.0; self.kinds.len()];
        let end = harness.now + self.duration;
        let mut steps = 0;
        while harness.now < end {
            harness.advance(MS);
            steps += 1;
            let second = harness.now.since(run.started_at).as_secs_f64();
            for (kind, due) in due.iter_mut().enumerate() {
                *due += (self.kinds[kind].rate)(second) / 1000.0;
                while *due >= 1.0 {
                    *due -= 1.0;
                    run.send(harness, kind);
                }
            }
            run.finish(harness);
            if steps % 50 == 0 {
                let actions = harness.handle(event::Event::Tick);
                run.apply(harness, &actions);
            }
        }
        run.counts
    }
}

struct Run<'a> {
    load: &'a Load,
    servers: BTreeMap<u32, Server>,
    open: BTreeMap<handle::Request, Open>,
    requests: BTreeMap<handle::Attempt, handle::Request>,
    counts: Vec<Counts>,
    started_at: time::Time,
}

impl Run<'_> {
    fn send(&mut self, harness: &mut Harness, kind: usize) {
        let of_kind = self.load.kinds[kind];
        let arrival = event::Arrival {
            priority: of_kind.priority,
            objective: Some(of_kind.objective),
            deadline: harness.now + of_kind.timeout,
            route: handle::Route(kind as u64),
            ..harness.arrival(false)
        };
        let open = Open {
            kind,
            arrived_at: harness.now,
            number: arrival.request.0,
        };
        self.open.insert(arrival.request, open);
        let actions = harness.handle(event::Event::Arrive(arrival));
        self.apply(harness, &actions);
    }

    fn apply(&mut self, harness: &Harness, actions: &[monsooncart_policy::action::Action]) {
        use monsooncart_policy::action::Action;
        let now = harness.now;
        let second = now.since(self.started_at).as_secs_f64();
        for action in actions {
            match action {
                Action::Send {
                    request,
                    attempt,
                    server,
                    ..
                } => {
                    let open = &self.open[request];
                    let [min, max] = self.load.kinds[open.kind].work_millis;
                    let hash = rank::hash(&open.number.to_be_bytes());
                    let work = match (self.load.fails)(server.0, second) {
                        true => FAILURE_TIME,
                        false => Duration::from_millis(min + hash % (max - min)),
                    };
                    self.requests.insert(*attempt, *request);
                    let server = self.servers.get_mut(&server.0).expect("a known server");
                    server.queue.push_back(Job {
                        attempt: *attempt,
                        arrived_at: now,
                        work,
                    });
                    server.start_queued(now);
                }
                Action::Refuse { request, .. } => {
                    if let Some(open) = self.open.remove(request) {
                        let objective = self.load.kinds[open.kind].objective;
                        let counts = &mut self.counts[open.kind];
                        counts.refused += 1;
                        counts.refused_late += u32::from(now.since(open.arrived_at) > objective);
                    }
                }
                _ => {}
            }
        }
    }

    fn finish(&mut self, harness: &mut Harness) {
        let now = harness.now;
        let finished = self.servers.values_mut().flat_map(|server| {
            let finished = server.finished(now);
            server.start_queued(now);
            finished
        });
        for job in finished.collect::<Vec<_>>() {
            let failed = job.work == FAILURE_TIME;
            let status = if failed { 500 } else { 200 };
            let actions = harness.finish(job.attempt, outcome::Outcome::Answered(status));
            let request = self.requests.remove(&job.attempt);
            if let Some(open) = request.and_then(|request| self.open.remove(&request)) {
                let objective = self.load.kinds[open.kind].objective;
                let counts = &mut self.counts[open.kind];
                match now.since(open.arrived_at) <= objective {
                    _ if failed => counts.failed += 1,
                    true => counts.in_objective += 1,
                    false => counts.late += 1,
                }
            }
            self.apply(harness, &actions);
        }
    }
}
