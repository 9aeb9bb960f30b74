//! A server that has left comes back with a copy of the store.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use monsooncart_testbed::registry::Fault;
use tokio::time::sleep;

use super::Verdict;
use crate::fleet::{self, Fleet};
use crate::http;
use crate::record::Record;
use crate::server::{Action, Server, Spec};

const SERVICE: &str = "purse-api";
const SERVERS: u8 = 4;
const DRAIN_S: f64 = 2.0;
/// Time from the copy to the removal, and from the removal to the restoration.
const COPY_AGE: Duration = Duration::from_millis(1000);
const SINCE_REMOVAL: Duration = Duration::from_millis(4000);
/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(500);
/// Time after the store's return at which the server that left exits.
const EXITS: Duration = Duration::from_millis(1400);
/// Time after which what was written since the copy is written again.
const REWRITTEN: Duration = Duration::from_millis(1800);

pub async fn run(trouble: bool, record: &Record) -> io::Result<Verdict> {
    let rules = [
        fleet::route("/balance/", "safe", SERVICE, 3.0, 1.5),
        fleet::route("/topup/", "unsafe", SERVICE, 3.0, 1.5),
    ];
    let configuration = fleet::configuration(3, &rules, &[SERVICE]);
    let mut fleet = Fleet::start(&configuration).await?;
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let spec = Spec {
            service: SERVICE,
            zone: fleet::ZONE,
            address: (fleet.ip(fleet::FIRST_SERVER + number), fleet::SERVER_PORT).into(),
            slots: 6,
            keeps_id: false,
            beat_s: 1.5,
        };
        let behaviour = Box::new(|_: &http::Message| {
            Action::Work(Duration::from_millis(300), "done".to_owned())
        });
        let registry = fleet.registry.clone();
        let (record, arrivals) = (record.clone(), arrivals.clone());
        servers
            .push(Server::start(number.into(), spec, registry, record, arrivals, behaviour).await?);
    }
    fleet.start_daemons(2).await?;
    sleep(Duration::from_secs(4)).await;
    record.say("traffic begins");
    let fronts: Vec<_> = fleet.daemons.iter().map(|daemon| daemon.front()).collect();
    let sent = Arc::new(Mutex::new(BTreeMap::new()));
    let answered = Arc::new(Mutex::new(BTreeMap::new()));
    let (stop, stopped) = tokio::sync::watch::channel(false);
    let mut consumers = Vec::new();
    for worker in 0..8_usize {
        let (fronts, record, sent) = (fronts.clone(), record.clone(), sent.clone());
        let answered = answered.clone();
        let stopped = stopped.clone();
        consumers.push(tokio::spawn(async move {
            for number in 0_usize.. {
                if *stopped.borrow() {
                    return;
                }
                let id = format!("c{worker}-{number}");
                let (method, path) = match number % 2 {
                    0 => ("GET", "/balance/x"),
                    _ => ("POST", "/topup/x"),
                };
                let request = format!(
                    "{method} {path} HTTP/1.1\r\nhost: {}\r\nx-attempt-id: {id}\r\nx-deadline-ms: 4000\r\ncontent-length: 0\r\n\r\n",
                    fleet::HOST
                );
                let at = record.now();
                if let Ok(mut sent) = sent.lock() {
                    sent.insert(id.clone(), at);
                }
                let front = fronts[(worker + number) % fronts.len()];
                let answer = http::send(front, request.as_bytes(), Duration::from_secs(4)).await;
                if let Ok(mut answered) = answered.lock() {
                    answered.insert(id.clone(), answer.status());
                }
                record.add(format!("{id} sent {at:.3} to {front} {method} {path} -> {}", answer.text()));
                sleep(Duration::from_millis(60)).await;
            }
        }));
    }
    sleep(Duration::from_secs(3)).await;
    let copy = fleet.registry.back_up();
    record.say("the store's copy is made");
    sleep(COPY_AGE).await;
    // This server never reports `draining`: its entry is removed, and it continues serving.
    let leaver = servers[0].id();
    fleet.registry.delete("servers", &leaver);
    let removed_at = record.now();
    record.say(format!(
        "the entry of {leaver} is removed, acknowledged by the store; it continues serving"
    ));
    sleep(SINCE_REMOVAL).await;
    let quiet_from = removed_at + DRAIN_S;
    if trouble {
        fleet.registry.set_fault(Fault::Busy);
        record.say("the store is away");
        sleep(AWAY).await;
        fleet.registry.restore(&copy);
        fleet.registry.set_fault(Fault::None);
        record.say("the store is back from its copy, in the next Store-Era");
        sleep(EXITS).await;
        servers[0].exit();
        sleep(REWRITTEN - EXITS).await;
        fleet.registry.delete("servers", &leaver);
        record.say(format!("the removal of {leaver} is written again"));
    } else {
        sleep(AWAY + EXITS).await;
        servers[0].exit();
        sleep(REWRITTEN - EXITS).await;
    }
    sleep(Duration::from_secs(5)).await;
    let _ = stop.send(true);
    for consumer in consumers {
        let _ = consumer.await;
    }
    let arrivals = arrivals.lock().map(|a| a.clone()).unwrap_or_default();
    let sent = sent.lock().map(|s| s.clone()).unwrap_or_default();
    let answered = answered.lock().map(|a| a.clone()).unwrap_or_default();
    let (mut late, mut lost) = (0, 0);
    let mut between = 0;
    for arrival in &arrivals {
        let sent_at = sent.get(&arrival.id).copied().unwrap_or_default();
        record.add(format!(
            "{} reached {} from {} {} at {:.3}, ran {:?}",
            arrival.id,
            arrival.server,
            arrival.from,
            arrival.target,
            arrival.head_at,
            arrival.run_at
        ));
        if arrival.server == leaver && arrival.head_at > removed_at {
            between += usize::from(sent_at <= quiet_from);
            if sent_at > quiet_from {
                late += 1;
                let status = answered.get(&arrival.id).copied().unwrap_or_default();
                lost += usize::from(arrival.target.starts_with("/topup/") && status != 200);
                record.add(format!("LATE: {} at {leaver}", arrival.id));
            }
        }
    }
    record.say(format!(
        "{} requests in all; {between} reached {leaver} within drain_s of the ack of its removal",
        arrivals.len()
    ));
    record.say(format!("taken from consumers later than drain_s after the ack, and run by {leaver}: {late}; top-ups among them that were lost when it exited: {lost}"));
    fleet.record_logs(record, &["restored from a backup", "removed"]);
    Ok(Verdict::broken_if(late > 0))
}
