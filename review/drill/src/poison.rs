//! Drills with a request that crashes each server that runs it and comes again.
//!
//! The rule: such a request reaches servers in no more than three retries later than
//! `stability_window_s` after it has crashed the third server.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::consumer::{self, Attempt};
use crate::fleet::{Fleet, Site, Told};
use crate::record::Record;
use crate::server::POISON;
use crate::verdict::Verdict;

/// `stability_window_s` of the installation.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);

/// Retries that may reach servers after that.
const MAX_LATER_RETRIES: usize = 3;

/// Time after which a server that crashed is back.
const SERVER_DOWN: Duration = Duration::from_secs(3);

/// Length, share of the servers and share of their answers of one disruption `answer_lost`.
const LOSS_TIME: Duration = Duration::from_secs(6);
const LOSING_SERVERS: f64 = 0.6;
const LOST_PERCENT: u32 = 40;

/// Time between two such disruptions.
const LOSS_GAP: Duration = Duration::from_secs(2);

/// Time for which only the others send.
const SETTLING: Duration = Duration::from_secs(8);

/// One drill.
pub struct Drill {
    pub daemons: u8,
    /// `route_type` of the route, whose requests may run once at most.
    pub route_type: &'static str,
    /// Services of the route, each with its weight and number of servers.
    pub services: Vec<(&'static str, u32, usize)>,
    pub slots: usize,
    pub work: Duration,
    /// Other requests a second, none of which is like another.
    pub others_per_s: f64,
    /// Time between two attempts with the request that crashes servers.
    pub interval: Duration,
    pub body_bytes: usize,
    /// Number of times that answers are lost before, for [`LOSS_TIME`] each.
    pub losses: u32,
    pub length: Duration,
}

fn configuration(route_type: &str, services: &[(&str, u32, usize)]) -> String {
    let target = match services {
        [(name, ..)] => format!("\"backend\":\"{name}\""),
        several => {
            let parts = several.iter();
            let parts: Vec<String> = parts
                .map(|(name, weight, _)| format!("{{\"backend\":\"{name}\",\"weight\":{weight}}}"))
                .collect();
            format!("\"weighted_backends\":[{}]", parts.join(","))
        }
    };
    let clusters = services.iter().map(|(name, ..)| {
        format!("{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_connections\":330,\"protocol\":\"h1\",\"tls\":false}}")
    });
    let clusters: Vec<String> = clusters.collect();
    format!(
        "{{\"config_version\":7,\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15}},\
         \"base_version\":5,\"listeners\":[{{\"hostname\":\"{}\",\"rules\":[{{\"name\":\"r-1\",\"route_type\":\"{route_type}\",\"target_latency_s\":1.5,\"priority\":1,\
         \"match\":{{\"path_prefix\":\"/pufi791/\"}},\"action\":{{{target},\"timeout_s\":3,\"attempts\":2}}}}]}}],\"clusters\":[{}]}}",
        crate::fleet::HOST,
        clusters.join(",")
    )
}

/// Sends other requests until the drill ends.
fn send_others(fleet: &Fleet, per_s: f64, stop: Arc<AtomicBool>) -> Option<thread::JoinHandle<()>> {
    if per_s <= 0.0 {
        return None;
    }
    let (record, entry) = (fleet.record.clone(), fleet.entry());
    Some(thread::spawn(move || {
        let started_at = Instant::now();
        let mut number = 0;
        let mut sending = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            let due = started_at + Duration::from_secs_f64(f64::from(number) / per_s);
            thread::sleep(due.saturating_duration_since(Instant::now()));
            number += 1;
            let (record, entry) = (record.clone(), entry.clone());
            sending.push(thread::spawn(move || {
                let id = consumer::new_id("a");
                let attempt = Attempt {
                    method: "POST",
                    path: "/pufi791/topup",
                    id: &id,
                    budget: Duration::from_secs(6),
                    body: id.as_bytes(),
                };
                let _end = consumer::send_resolved(&record, &entry, &attempt, number as usize);
            }));
            sending.retain(|thread| !thread.is_finished());
        }
        for thread in sending {
            let _ = thread.join();
        }
    }))
}

fn count_lost(told: &[Told]) -> usize {
    let crashed: Vec<&str> = told
        .iter()
        .filter(|t| t.what == "crash")
        .map(|t| t.server.as_str())
        .collect();
    let is_done = |id: &str| {
        told.iter()
            .any(|t| ["done", "lost"].contains(&t.what.as_str()) && t.id == id)
    };
    let runs = told
        .iter()
        .filter(|t| t.what == "run" && t.id.starts_with('a'));
    runs.filter(|t| crashed.contains(&t.server.as_str()) && !is_done(&t.id))
        .count()
}

fn judge(record: &Record, told: &[Told]) -> Verdict {
    let crashes: Vec<&Told> = told.iter().filter(|t| t.what == "crash").collect();
    for crash in &crashes {
        record.say(&format!(
            "crash of {} at {:.1} s",
            crash.server,
            crash.at.as_secs_f64()
        ));
    }
    record.say(&format!(
        "requests of others that were lost with a crashed server: {}",
        count_lost(told)
    ));
    let Some(third) = crashes.get(2) else {
        record.say("fewer than three servers crashed");
        return Verdict::Held;
    };
    let limit = third.at + STABILITY_WINDOW;
    let later = crashes.iter().filter(|crash| crash.at > limit).count();
    record.say(&format!(
        "third crash at {:.1} s; retries that reached servers later than 3 s after it: {later}, allowed {MAX_LATER_RETRIES}",
        third.at.as_secs_f64()
    ));
    match later > MAX_LATER_RETRIES {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

impl Drill {
    /// Whether there is a request that crashes servers. Where answers are lost, that is the trouble.
    fn crashes(&self, trouble: bool) -> bool {
        trouble || self.losses > 0
    }

    /// Has some servers lose some of their answers.
    fn lose_answers(&self, fleet: &Fleet, servers: &[String]) -> io::Result<()> {
        let count = (servers.len() as f64 * LOSING_SERVERS) as usize;
        for _ in 0..self.losses {
            for server in &servers[..count] {
                fleet.order(server, &format!("lose/{LOST_PERCENT}"))?;
            }
            thread::sleep(LOSS_TIME);
            for server in &servers[..count] {
                fleet.order(server, "lose/0")?;
            }
            let told = fleet.told();
            let lost = told.iter().filter(|t| t.what == "lost").count();
            fleet.record.say(&format!("answers lost so far: {lost}"));
            thread::sleep(LOSS_GAP);
        }
        Ok(())
    }

    pub fn run(&self, record: &Arc<Record>, trouble: bool) -> io::Result<Verdict> {
        let site = Site {
            grace_s: 6,
            budget_slack: 58,
            zones: 1,
        };
        let configuration = configuration(self.route_type, &self.services);
        let mut servers = Vec::new();
        let mut fleet = Fleet::start(
            record.clone(),
            site,
            self.daemons,
            &configuration,
            self.slots,
            self.work,
        )?;
        for (service, _, count) in &self.services {
            for _ in 0..*count {
                servers.push(fleet.start_server(service)?);
            }
        }
        if !fleet.wait_until_ready(Duration::from_secs(15)) {
            record.say("the daemons did not become ready");
            return Ok(Verdict::NotRun);
        }
        thread::sleep(Duration::from_secs(3));
        let stop = Arc::new(AtomicBool::new(false));
        let others = send_others(&fleet, self.others_per_s, stop.clone());
        thread::sleep(SETTLING);
        if trouble {
            self.lose_answers(&fleet, &servers)?;
        }
        let path = format!(
            "/pufi791/{}",
            if self.crashes(trouble) {
                POISON
            } else {
                "harmless"
            }
        );
        let mut body = vec![b'x'; self.body_bytes];
        body[..1].fill(b'y');
        let started_at = Instant::now();
        let mut next_at = started_at;
        let mut number = 0;
        let mut answers = 0;
        while started_at.elapsed() < self.length {
            fleet.replace_ended_servers(SERVER_DOWN)?;
            if Instant::now() < next_at {
                thread::sleep(Duration::from_millis(50));
                continue;
            }
            let id = consumer::new_id("p");
            let attempt = Attempt {
                method: "POST",
                path: &path,
                id: &id,
                budget: Duration::from_secs(6),
                body: &body,
            };
            let end = consumer::send_resolved(record, &fleet.entry(), &attempt, number);
            answers += usize::from(matches!(end, Ok((200, _))));
            number += 1;
            next_at = Instant::now() + self.interval;
        }
        stop.store(true, Ordering::Relaxed);
        if let Some(others) = others {
            let _ = others.join();
        }
        record.say(&format!(
            "attempts with the request: {number}, answered with 200: {answers}"
        ));
        if !self.crashes(trouble) && answers * 2 < number {
            record.say("without trouble, most attempts must be answered");
            return Ok(Verdict::NotRun);
        }
        Ok(judge(record, &fleet.told()))
    }
}
