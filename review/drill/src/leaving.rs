//! Servers that leave without reporting it: their entries are removed, and they serve a little longer.
//!
//! The rule: no request reaches such a server later than `drain_s` after the store accepted the removal.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::consumer::{self, Attempt};
use crate::fleet::{Fleet, HOST, Site};
use crate::record::Record;
use crate::verdict::Verdict;

/// `drain_s` of the installation.
const DRAIN: Duration = Duration::from_secs(2);

/// Time for which a leaving server serves after the removal: `drain_s` and a little longer.
const SERVES: Duration = Duration::from_millis(2600);

/// Time by which the drill may see a request late.
const SLACK: Duration = Duration::from_millis(100);

/// Time after which the store cuts off a watch that waits.
const WATCH_CUT: Duration = Duration::from_millis(800);

/// Requests a second.
const RATE: u32 = 120;

/// Servers that leave, one after the other.
const LEAVING: usize = 8;

fn configuration() -> String {
    format!(
        "{{\"config_version\":7,\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15}},\
         \"base_version\":5,\"listeners\":[{{\"hostname\":\"{HOST}\",\"rules\":[{{\"name\":\"r-1\",\"route_type\":\"unsafe\",\"target_latency_s\":1.5,\"priority\":1,\
         \"match\":{{\"path_prefix\":\"/pufi791/\"}},\"action\":{{\"backend\":\"huvo11a\",\"timeout_s\":3,\"attempts\":2}}}}]}}],\
         \"clusters\":[{{\"name\":\"huvo11a\",\"health_path\":\"/health\",\"max_connections\":330,\"protocol\":\"h1\",\"tls\":false}}]}}"
    )
}

fn send_requests(fleet: &Fleet, stop: Arc<AtomicBool>) -> thread::JoinHandle<()> {
    let (record, entry) = (fleet.record.clone(), fleet.entry());
    thread::spawn(move || {
        let started_at = Instant::now();
        let mut number = 0_u32;
        let mut sending = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            let due = started_at + Duration::from_secs(1) * number / RATE;
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
    })
}

/// Plays the drill; the trouble is a store that cuts off watches.
pub fn run(record: &Arc<Record>, trouble: bool) -> io::Result<Verdict> {
    let site = Site {
        grace_s: 6,
        budget_slack: 58,
        zones: 3,
    };
    let work = Duration::from_millis(440);
    let mut fleet = Fleet::start(record.clone(), site, 3, &configuration(), 6, work)?;
    let mut servers = Vec::new();
    for _ in 0..14 {
        servers.push(fleet.start_server("huvo11a")?);
    }
    if !fleet.wait_until_ready(Duration::from_secs(15)) {
        record.say("the daemons did not become ready");
        return Ok(Verdict::NotRun);
    }
    thread::sleep(Duration::from_secs(4));
    let stop = Arc::new(AtomicBool::new(false));
    let sending = send_requests(&fleet, stop.clone());
    if trouble {
        fleet.store.cut_watches(Some(WATCH_CUT));
    }
    thread::sleep(Duration::from_secs(6));
    let mut late = 0;
    let mut lost = 0;
    for server in &servers[..LEAVING] {
        // The new server starts first.
        fleet.start_server("huvo11a")?;
        thread::sleep(Duration::from_secs(1));
        fleet.order(server, "leave")?;
        // A write of the entry that was on its way has arrived by then.
        thread::sleep(Duration::from_millis(300));
        fleet.store.delete("servers", server);
        let removed_at = record.elapsed();
        record.line(&format!("entry of {server} is removed"));
        thread::sleep(SERVES);
        fleet.end_server(server)?;
        thread::sleep(Duration::from_millis(500));
        let told = fleet.told();
        let runs = told
            .iter()
            .filter(|t| t.server == *server && t.what == "reach");
        let after = runs.filter(|t| t.at > removed_at + DRAIN + SLACK);
        let after: Vec<_> = after.collect();
        let is_done = |id: &str| told.iter().any(|t| t.what == "done" && t.id == id);
        let cut = after.iter().filter(|t| !is_done(&t.id)).count();
        let last = after
            .last()
            .map_or(0.0, |t| (t.at - removed_at).as_secs_f64());
        record.say(&format!(
            "{server}: {} requests reached it later than 2 s after its removal, the last after {last:.2} s; {cut} of them were lost when it ended",
            after.len()
        ));
        late += after.len();
        lost += cut;
    }
    stop.store(true, Ordering::Relaxed);
    let _ = sending.join();
    record.say(&format!(
        "late requests: {late}, lost of these: {lost}; watches that the store cut off: {}",
        fleet.store.watches_cut()
    ));
    Ok(match late > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}
