//! What holds in any run of events.

use std::time::Duration;

use monsooncart_policy::{action, event, handle, outcome};
use monsooncart_types::map;

use crate::fixture;

/// What a test knows of a request.
#[derive(Default)]
struct Known {
    repeatable: bool,
    servers: Vec<handle::Server>,
    may_have_run: bool,
    ends: u32,
}

/// What a test knows of an attempt.
struct Flying {
    request: handle::Request,
    cancelled: bool,
}

#[derive(Default)]
struct Book {
    requests: map::Map<handle::Request, Known>,
    attempts: map::Map<handle::Attempt, Flying>,
}

impl Book {
    fn take(&mut self, actions: &[action::Action]) {
        for action in actions {
            match action {
                action::Action::Send {
                    request,
                    attempt,
                    server,
                    ..
                } => {
                    let known = self.requests.get_mut(request).expect("it arrived");
                    assert_eq!(known.ends, 0, "sent after its end");
                    assert!(known.repeatable || !known.may_have_run, "ran twice");
                    let flying = self.attempts.values().any(|f| f.request == *request);
                    assert!(known.repeatable || !flying, "two attempts at a time");
                    assert!(!known.servers.contains(server), "same server twice");
                    known.servers.push(*server);
                    assert!(known.servers.len() <= 2, "more servers than allowed");
                    let flying = Flying {
                        request: *request,
                        cancelled: false,
                    };
                    self.attempts.insert(*attempt, flying);
                }
                action::Action::Refuse { request, refusal } => {
                    let known = self.requests.get_mut(request).expect("it arrived");
                    known.ends += 1;
                    assert_eq!(known.ends, 1, "two ends");
                    if refusal.execution == outcome::Execution::NotRun {
                        assert!(!known.may_have_run, "said not to have run");
                        let flying = self.attempts.values();
                        let flying = flying.filter(|f| f.request == *request && !f.cancelled);
                        assert_eq!(flying.count(), 0, "said not to have run while it may");
                    }
                }
                action::Action::Cancel(attempt) => {
                    if let Some(flying) = self.attempts.get_mut(attempt) {
                        flying.cancelled = true;
                    }
                }
                _ => {}
            }
        }
    }
}

#[test]
fn any_run_of_events_keeps_the_invariants() {
    arbtest::arbtest(|u| {
        let mut bench = fixture::seeded((0..5).map(fixture::server).collect(), u.arbitrary()?);
        let mut book = Book::default();
        for _ in 0..u.int_in_range(0..=120)? {
            bench.pass(Duration::from_millis(u.int_in_range(0..=300)?));
            let flying: Vec<handle::Attempt> = {
                let mut flying: Vec<_> = book.attempts.keys().copied().collect();
                flying.sort_unstable_by_key(|a| a.0);
                flying
            };
            let actions = match u.int_in_range(0..=5)? {
                0 | 1 => {
                    let arrival = bench.arrival(u.arbitrary()?);
                    let known = Known {
                        repeatable: arrival.repeatable,
                        ..Known::default()
                    };
                    book.requests.insert(arrival.request, known);
                    bench.tell(event::Event::Arrive(arrival))
                }
                2 => bench.tell(event::Event::Tick),
                3 => {
                    let mut servers: Vec<_> = (0..5).map(fixture::server).collect();
                    servers.retain(|_| u.ratio(3, 4).unwrap_or(true));
                    bench.tell(fixture::inventory(servers))
                }
                _ if flying.is_empty() => Vec::new(),
                _ => {
                    let attempt = *u.choose(&flying)?;
                    let end = *u.choose(&[
                        outcome::Outcome::Answered(200),
                        outcome::Outcome::Failed(500),
                        outcome::Outcome::Broken,
                        outcome::Outcome::Unsent,
                        outcome::Outcome::Misdirected,
                        outcome::Outcome::Shed { leaving: false },
                        outcome::Outcome::Timeout,
                    ])?;
                    let ended = book.attempts.remove(&attempt).expect("it flies");
                    let known = book.requests.get_mut(&ended.request).expect("known");
                    known.may_have_run |= end.execution() == outcome::Execution::Unknown;
                    if matches!(end, outcome::Outcome::Answered(_)) && !ended.cancelled {
                        known.ends += 1;
                    }
                    bench.finish(attempt, end)
                }
            };
            book.take(&actions);
        }
        // Whatever still flies ends, and with it every request.
        let mut flying: Vec<_> = book.attempts.keys().copied().collect();
        flying.sort_unstable_by_key(|a| a.0);
        for attempt in flying {
            let ended = book.attempts.remove(&attempt).expect("it flies");
            let known = book.requests.get_mut(&ended.request).expect("known");
            if !ended.cancelled && known.ends == 0 {
                known.ends += 1;
            }
            let actions = bench.finish(attempt, outcome::Outcome::Answered(200));
            book.take(&actions);
        }
        assert!(book.requests.values().all(|known| known.ends == 1));
        Ok(())
    });
}
