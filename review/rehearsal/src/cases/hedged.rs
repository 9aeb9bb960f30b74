//! A slow server, and `safe` requests with long bodies.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::time::sleep;

use super::Verdict;
use crate::fleet::{self, Fleet};
use crate::http;
use crate::record::Record;
use crate::server::{Action, Server, Spec};

const SERVICE: &str = "order-desk";
const SERVERS: u8 = 7;
/// Time that a server works on a request.
const WORK: Duration = Duration::from_millis(150);
/// By how much the slow server takes longer.
const SLOWER: u32 = 5;
/// Time for which a server is slow.
const SLOW_S: f64 = 6.5;
/// Size of a request body.
const BODY_BYTES: usize = 150_000;
const CONSUMERS: usize = 12;
const LENGTH_S: f64 = 20.0;

/// The body that belongs to a request; the same for no other one.
fn body(id: &str) -> Vec<u8> {
    let mut body = Vec::with_capacity(BODY_BYTES + 32);
    for number in 0_usize.. {
        if body.len() >= BODY_BYTES {
            break;
        }
        body.extend_from_slice(format!("{id}:{number};").as_bytes());
    }
    body.truncate(BODY_BYTES);
    body
}

/// The request, with its length or in chunks.
fn request(id: &str, is_chunked: bool) -> Vec<u8> {
    let framing = match is_chunked {
        true => "transfer-encoding: chunked".to_owned(),
        false => format!("content-length: {BODY_BYTES}"),
    };
    let mut request = format!(
        "POST /proofs/render HTTP/1.1\r\nhost: {}\r\nx-attempt-id: {id}\r\nx-deadline-ms: 4000\r\n{framing}\r\n\r\n",
        fleet::HOST
    )
    .into_bytes();
    let body = body(id);
    if !is_chunked {
        request.extend_from_slice(&body);
        return request;
    }
    for chunk in body.chunks(16 << 10) {
        request.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        request.extend_from_slice(chunk);
        request.extend_from_slice(b"\r\n");
    }
    request.extend_from_slice(b"0\r\n\r\n");
    request
}

pub async fn run(trouble: bool, record: &Record) -> io::Result<Verdict> {
    let rules = [fleet::route("/proofs/", "safe", SERVICE, 4.0, 0.8)];
    let configuration = fleet::configuration(3, &rules, &[SERVICE]);
    let mut fleet = Fleet::start(&configuration).await?;
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    // Runs of a request with another body than its consumer sent: id, server and size of the body.
    let changed = Arc::new(Mutex::new(Vec::new()));
    let runs = Arc::new(Mutex::new(0_usize));
    // When the slow server is slow, in seconds of the run.
    let slow_from = Arc::new(Mutex::new(f64::INFINITY));
    for number in 0..SERVERS {
        let spec = Spec {
            service: SERVICE,
            zone: fleet::ZONE,
            address: (fleet.ip(fleet::FIRST_SERVER + number), fleet::SERVER_PORT).into(),
            slots: 3,
            keeps_id: false,
            beat_s: 1.5,
        };
        let (changed, runs, slow_from) = (changed.clone(), runs.clone(), slow_from.clone());
        let clock = record.clone();
        let behaviour = Box::new(move |request: &http::Message| {
            let id = request.header("x-attempt-id").unwrap_or("").to_owned();
            let size = request.body.len();
            if let Ok(mut runs) = runs.lock() {
                *runs += 1;
            }
            if request.body != body(&id)
                && let Ok(mut changed) = changed.lock()
            {
                changed.push((id.clone(), number, size));
            }
            let since = clock.now() - slow_from.lock().map_or(f64::INFINITY, |at| *at);
            let is_slow = number == 0 && (0.0..SLOW_S).contains(&since);
            let work = if is_slow { WORK * SLOWER } else { WORK };
            Action::Work(work, format!("{id}: rendered {size} bytes"))
        });
        let registry = fleet.registry.clone();
        let (record, arrivals) = (record.clone(), arrivals.clone());
        Server::start(number.into(), spec, registry, record, arrivals, behaviour).await?;
    }
    fleet.start_daemons(2).await?;
    sleep(Duration::from_secs(4)).await;
    record.say("traffic begins");
    let fronts: Vec<_> = fleet.daemons.iter().map(|daemon| daemon.front()).collect();
    let started_at = record.now();
    let successes = Arc::new(Mutex::new(BTreeMap::new()));
    let mut consumers = Vec::new();
    for consumer in 0..CONSUMERS {
        let (fronts, record, successes) = (fronts.clone(), record.clone(), successes.clone());
        consumers.push(tokio::spawn(async move {
            for number in 0_usize.. {
                if record.now() - started_at > LENGTH_S {
                    return;
                }
                let id = format!("proof-{consumer}-{number}");
                let front = fronts[(consumer + number) % fronts.len()];
                let request = request(&id, number % 2 == 0);
                let answer = http::send(front, &request, Duration::from_secs(4)).await;
                let text = match &answer {
                    http::Answer::Whole(message) => {
                        String::from_utf8_lossy(&message.body).into_owned()
                    }
                    http::Answer::Broken(_) => String::new(),
                };
                record.add(format!("{id} -> {}: {text}", answer.text()));
                if answer.status() == 200
                    && let Ok(mut successes) = successes.lock()
                {
                    successes.insert(id, text);
                }
                sleep(Duration::from_millis(100)).await;
            }
        }));
    }
    sleep(Duration::from_secs(6)).await;
    if trouble {
        if let Ok(mut slow_from) = slow_from.lock() {
            *slow_from = record.now();
        }
        record.say(format!(
            "one server of {SERVERS} works {SLOWER} times as long for {SLOW_S} s"
        ));
    }
    for consumer in consumers {
        let _ = consumer.await;
    }
    let changed = changed.lock().map(|c| c.clone()).unwrap_or_default();
    let successes = successes.lock().map(|s| s.clone()).unwrap_or_default();
    for (id, server, size) in &changed {
        record.add(format!(
            "CHANGED: server {server} ran {id} with a body of {size} bytes"
        ));
    }
    let whole = format!("rendered {BODY_BYTES} bytes");
    let wrong = successes.values().filter(|text| !text.ends_with(&whole));
    let wrong: Vec<_> = wrong.cloned().collect();
    record.say(format!(
        "{} runs at servers, {} of them with another body than the consumer sent ({BODY_BYTES} bytes)",
        runs.lock().map_or(0, |runs| *runs),
        changed.len()
    ));
    record.say(format!(
        "{} successes, {} of them made from such a body: {}",
        successes.len(),
        wrong.len(),
        wrong.iter().take(4).cloned().collect::<Vec<_>>().join(", ")
    ));
    Ok(Verdict::broken_if(!changed.is_empty()))
}
