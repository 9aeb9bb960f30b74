//! A planned stop of all daemons of a small deployment, with a grace period of 10 s.
//!
//! The rule: after a SIGTERM, no request that a daemon has passed on is broken off while its server is at
//! work, unless it was sent no later than 3 s after the SIGTERM and its server is at work in the last
//! sixth of the grace period.

use std::io;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::consumer::{self, Attempt, End};
use crate::fleet::{Fleet, HOST, Site};
use crate::record::Record;
use crate::verdict::Verdict;

/// `grace_s` of the installation.
const GRACE: Duration = Duration::from_secs(10);

/// Time after the SIGTERM up to which the rule excuses a server that is still at work at the end.
const EARLY: Duration = Duration::from_secs(3);

/// Time by which the drill may see a moment late.
const SLACK: Duration = Duration::from_millis(100);

/// Time budget of the consumers, and timeout of the route.
const BUDGET: Duration = Duration::from_secs(15);

/// Time that a server takes for a request.
const WORK: Duration = Duration::from_millis(4800);

const INTERVAL: Duration = Duration::from_millis(250);

const SERVERS: usize = 24;

fn configuration() -> String {
    format!(
        "{{\"config_version\":7,\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15}},\
         \"base_version\":5,\"listeners\":[{{\"hostname\":\"{HOST}\",\"rules\":[{{\"name\":\"r-1\",\"route_type\":\"download\",\"target_latency_s\":2,\"priority\":2,\
         \"match\":{{\"path_prefix\":\"/pule252/\"}},\"action\":{{\"backend\":\"huvo11a\",\"timeout_s\":15,\"attempts\":2}}}}]}}],\
         \"clusters\":[{{\"name\":\"huvo11a\",\"health_path\":\"/health\",\"max_connections\":3600,\"protocol\":\"h1\",\"tls\":false}}]}}"
    )
}

struct Ended {
    id: String,
    sent_at: Duration,
    ended_at: Duration,
    end: End,
}

/// Plays the drill; the trouble is the SIGTERM.
pub fn run(record: &Arc<Record>, trouble: bool) -> io::Result<Verdict> {
    let site = Site {
        grace_s: 10,
        budget_slack: 430,
        zones: 1,
    };
    let mut fleet = Fleet::start(record.clone(), site, 2, &configuration(), 2, WORK)?;
    for _ in 0..SERVERS {
        fleet.start_server("huvo11a")?;
    }
    if !fleet.wait_until_ready(Duration::from_secs(15)) {
        record.say("the daemons did not become ready");
        return Ok(Verdict::NotRun);
    }
    thread::sleep(Duration::from_secs(5));
    let ends: Arc<Mutex<Vec<Ended>>> = Arc::default();
    let mut sending = Vec::new();
    let stopped_at = record.elapsed();
    if trouble {
        fleet.terminate_daemons()?;
        record.line("SIGTERM to both daemons");
    }
    let started_at = Instant::now();
    for number in 0_u32.. {
        let due = INTERVAL * number;
        if due > GRACE {
            break;
        }
        thread::sleep(due.saturating_sub(started_at.elapsed()));
        let (record, entry, ends) = (record.clone(), fleet.entry(), ends.clone());
        sending.push(thread::spawn(move || {
            let id = consumer::new_id("a");
            let attempt = Attempt {
                method: "GET",
                path: "/pule252/package",
                id: &id,
                budget: BUDGET,
                body: b"",
            };
            let sent_at = record.elapsed();
            let end = consumer::send_resolved(&record, &entry, &attempt, number as usize * 3);
            let ended_at = record.elapsed();
            ends.lock().expect("no holder panics").push(Ended {
                id,
                sent_at,
                ended_at,
                end,
            });
        }));
    }
    for thread in sending {
        let _ = thread.join();
    }
    thread::sleep(WORK);
    Ok(judge(
        record,
        &fleet,
        &ends.lock().expect("no holder panics"),
        stopped_at,
    ))
}

fn judge(record: &Record, fleet: &Fleet, ends: &[Ended], stopped_at: Duration) -> Verdict {
    let told = fleet.told();
    let (mut lost, mut in_grace, mut answered, mut refused) = (0, 0, 0, 0);
    for request in ends {
        let is_answered = matches!(&request.end, Ok((200, Some(_))));
        answered += usize::from(is_answered);
        refused += usize::from(matches!(request.end, Ok((503, _))));
        let runs: Vec<_> = told
            .iter()
            .filter(|t| t.what == "run" && t.id == request.id)
            .collect();
        let is_late = request.sent_at > stopped_at + EARLY + SLACK;
        let has_time = request.ended_at + SLACK < request.sent_at + BUDGET;
        let done = told
            .iter()
            .filter(|t| t.what == "done" && t.id == request.id);
        let done_at = done.map(|t| t.at).min();
        let at_work = runs.iter().any(|run| run.at < request.ended_at)
            && runs.iter().any(|run| run.at + WORK > request.ended_at);
        if is_answered || !is_late || !has_time || !at_work {
            continue;
        }
        lost += 1;
        let first = runs
            .iter()
            .map(|run| run.at + WORK)
            .min()
            .unwrap_or_default();
        in_grace += usize::from(first < stopped_at + GRACE);
        record.say(&format!(
            "{}: sent {:.2} s after the SIGTERM, passed on, broken off after {:.2} s with {:?}; its server has its answer after {:.2} s{}",
            request.id,
            (request.sent_at - stopped_at).as_secs_f64(),
            (request.ended_at - stopped_at).as_secs_f64(),
            request.end,
            (first - stopped_at).as_secs_f64(),
            done_at.map_or("", |_| " (made)"),
        ));
    }
    record.say(&format!(
        "requests: {}, answered by servers: {answered}, refused as not run: {refused}, sent later than 3 s after the SIGTERM and broken off at work: {lost}, of these with an answer within the grace period: {in_grace}",
        ends.len()
    ));
    match lost > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
