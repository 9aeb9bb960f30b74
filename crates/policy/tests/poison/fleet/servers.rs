//! The servers: attempts that reach them, run, end or break.

use std::time::Duration;

use monsooncart_policy::{event, handle, outcome};
use rand::RngExt as _;

use super::{Attempt, EXPIRY_TIME, Fleet, Id, MS, POISON, SERVER_QUEUE, Scheduled};

impl Fleet {
    /// An attempt reaches its server.
    pub(super) fn reach(&mut self, id: Id) {
        let Some(attempt) = self.attempts.get(&id).copied() else {
            return;
        };
        let is_down = self.servers[&attempt.server].is_down;
        if attempt.fingerprint & POISON != 0 && !is_down {
            let poison = self.result.poisons.entry(attempt.fingerprint).or_default();
            poison.sent.push(attempt.sent_at);
        }
        let server = self.servers.get_mut(&attempt.server).expect("was listed");
        if is_down {
            self.schedule(MS, Scheduled::Refused(id));
        } else if server.running.len() < self.plan.slots as usize {
            self.begin(id, attempt);
        } else if server.waiting.len() < SERVER_QUEUE {
            server.waiting.push_back(id);
        } else {
            self.end(id, outcome::Outcome::Shed { leaving: false });
        }
    }

    pub(super) fn begin(&mut self, id: Id, attempt: Attempt) {
        if attempt.fingerprint & POISON != 0 {
            let poison = self.result.poisons.entry(attempt.fingerprint).or_default();
            poison.crashes.push(self.now);
            return self.crash(attempt.server, Some(id));
        }
        let server = self.servers.get_mut(&attempt.server).expect("was listed");
        server.running.push(id);
        let work = self.plan.work.mul_f64(self.rng.random_range(0.7..1.3));
        self.schedule(work, Scheduled::Done(id));
    }

    /// A server crashes, as it began to run an attempt or by itself.
    pub(super) fn crash(&mut self, crashed: u32, cause: Option<Id>) {
        let server = self.servers.get_mut(&crashed).expect("was listed");
        server.is_down = true;
        let running = std::mem::take(&mut server.running);
        let waiting = std::mem::take(&mut server.waiting);
        for id in running.into_iter().chain(waiting).chain(cause) {
            let delay = MS + Duration::from_micros(self.rng.random_range(0..3000));
            self.schedule(delay, Scheduled::Broken(id));
        }
        self.schedule(self.plan.down_time, Scheduled::Restart(crashed));
        self.schedule(EXPIRY_TIME, Scheduled::Expire(crashed));
    }

    /// A server has finished its work on an attempt.
    pub(super) fn finish(&mut self, id: Id) {
        let Some(attempt) = self.attempts.get(&id).copied() else {
            return;
        };
        let server = self.servers.get_mut(&attempt.server).expect("was listed");
        if !server.running.contains(&id) {
            return;
        }
        self.leave(id, attempt.server);
        if self.rng.random_bool(self.plan.lost_share) {
            return self.end(id, outcome::Outcome::Broken);
        }
        self.result.answered += 1;
        let responded = event::Event::Responded {
            attempt: handle::Attempt(id.attempt),
            connected_at: attempt.sent_at,
        };
        self.handle(id.daemon, responded);
        self.end(id, outcome::Outcome::Answered(200));
    }

    /// Frees the slot of an attempt for the next one.
    pub(super) fn leave(&mut self, id: Id, server: u32) {
        let server = self.servers.get_mut(&server).expect("was listed");
        let was_running = server.running.contains(&id);
        server.running.retain(|other| *other != id);
        server.waiting.retain(|other| *other != id);
        if was_running && let Some(next) = server.waiting.pop_front() {
            let attempt = self.attempts[&next];
            self.begin(next, attempt);
        }
    }

    pub(super) fn cancel(&mut self, id: Id) {
        if let Some(attempt) = self.attempts.get(&id).copied() {
            self.leave(id, attempt.server);
            self.end(id, outcome::Outcome::Cancelled);
        }
    }

    pub(super) fn end(&mut self, id: Id, outcome: outcome::Outcome) {
        if self.attempts.remove(&id).is_none() {
            return;
        }
        let finish = event::Event::Finish {
            attempt: handle::Attempt(id.attempt),
            outcome,
            replayable: true,
            retry_after: None,
        };
        self.handle(id.daemon, finish);
    }
}
