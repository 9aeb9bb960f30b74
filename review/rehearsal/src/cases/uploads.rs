//! Consumers leave while their uploads wait for room.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::time::sleep;

use super::Verdict;
use crate::fleet::{self, Fleet};
use crate::http;
use crate::record::Record;
use crate::server::{Action, Server, Spec};

const SERVICE: &str = "prepress-hub";
const SERVERS: u8 = 4;
const SLOTS: usize = 3;
const WORK: Duration = Duration::from_millis(180);
/// Size of an upload; the sheet's are 60 kB in the mean and 360 kB at most.
const BODY_BYTES: usize = 150_000;
/// Requests a second; the servers have room for 66.
const RATE: f64 = 60.0;
/// `burst`: by how much there are more, from when and for how long, in seconds of the traffic.
const BURST: f64 = 2.2;
const BURST_FROM_S: f64 = 4.0;
const BURST_S: f64 = 6.9;
/// `give_up`: so many of ten consumers, from when and for how long.
const GIVE_UP_OF_TEN: usize = 3;
const GIVE_UP_FROM_S: f64 = 5.5;
const GIVE_UP_S: f64 = 5.0;
/// Time after which such a consumer leaves: between these.
const LEAVES_AFTER_MS: [u64; 2] = [100, 300];
const LENGTH: Duration = Duration::from_secs(14);
/// Late requests that the rule allows: more than a few.
const FEW: usize = 5;

pub async fn run(trouble: bool, record: &Record) -> io::Result<Verdict> {
    let mut rules = [fleet::route("/artwork/", "upload", SERVICE, 8.0, 2.5)];
    rules[0]["priority"] = 2.into();
    let configuration = fleet::configuration(3, &rules, &[SERVICE]);
    let mut fleet = Fleet::start(&configuration).await?;
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let spec = Spec {
            service: SERVICE,
            zone: fleet::ZONE,
            address: (fleet.ip(fleet::FIRST_SERVER + number), fleet::SERVER_PORT).into(),
            slots: SLOTS,
            keeps_id: false,
            beat_s: 1.5,
        };
        let behaviour = Box::new(|_: &http::Message| Action::Work(WORK, "done".to_owned()));
        let registry = fleet.registry.clone();
        let (record, arrivals) = (record.clone(), arrivals.clone());
        servers
            .push(Server::start(number.into(), spec, registry, record, arrivals, behaviour).await?);
    }
    fleet.start_daemons(2).await?;
    sleep(Duration::from_secs(4)).await;
    record.say("traffic begins");
    let fronts: Vec<_> = fleet.daemons.iter().map(|daemon| daemon.front()).collect();
    let left = Arc::new(Mutex::new(BTreeMap::new()));
    let started_at = record.now();
    let mut consumers = Vec::new();
    for number in 0_usize.. {
        if record.now() - started_at > LENGTH.as_secs_f64() {
            break;
        }
        let front = fronts[number % fronts.len()];
        let (record, left) = (record.clone(), left.clone());
        let at = record.now() - started_at;
        let gives_up = (GIVE_UP_FROM_S..GIVE_UP_FROM_S + GIVE_UP_S).contains(&at);
        let leaves = trouble && gives_up && number % 10 < GIVE_UP_OF_TEN;
        consumers.push(tokio::spawn(async move {
            let id = format!("u{number}");
            let mut request = format!(
                "POST /artwork/x HTTP/1.1\r\nhost: {}\r\nx-attempt-id: {id}\r\nx-deadline-ms: 8000\r\ncontent-length: {BODY_BYTES}\r\n\r\n",
                fleet::HOST
            )
            .into_bytes();
            request.resize(request.len() + BODY_BYTES, b'a');
            let sent_at = record.now();
            if !leaves {
                let answer = http::send(front, &request, Duration::from_secs(8)).await;
                record.add(format!("{id} sent {sent_at:.3} to {front} -> {}", answer.text()));
                return;
            }
            let exchange = async {
                let mut stream = TcpStream::connect(front).await?;
                stream.write_all(&request).await?;
                http::Connection::new(stream).read_message().await
            };
            let [first, last] = LEAVES_AFTER_MS;
            let leaves_after = first + (number as u64 * 37) % (last - first);
            match tokio::time::timeout(Duration::from_millis(leaves_after), exchange).await {
                Ok(answer) => record.add(format!(
                    "{id} sent {sent_at:.3} to {front} -> {}",
                    answer.ok().flatten().map_or(0, |answer| answer.status())
                )),
                Err(_) => {
                    let at = record.now();
                    if let Ok(mut left) = left.lock() {
                        left.insert(id.clone(), at);
                    }
                    record.add(format!("{id} sent {sent_at:.3} to {front} -> its consumer left"));
                }
            }
        }));
        let is_burst = (BURST_FROM_S..BURST_FROM_S + BURST_S).contains(&at);
        let rate = if trouble && is_burst {
            RATE * BURST
        } else {
            RATE
        };
        sleep(Duration::from_secs_f64(1.0 / rate)).await;
    }
    for consumer in consumers {
        let _ = consumer.await;
    }
    sleep(Duration::from_secs(2)).await;
    let arrivals = arrivals.lock().map(|a| a.clone()).unwrap_or_default();
    let left = left.lock().map(|l| l.clone()).unwrap_or_default();
    let (mut late, mut late_run) = (0, 0);
    for arrival in &arrivals {
        record.add(format!(
            "{} reached {} at {:.3}, ran {:?}",
            arrival.id, arrival.server, arrival.head_at, arrival.run_at
        ));
        let Some(left_at) = left.get(&arrival.id) else {
            continue;
        };
        let since = arrival.head_at - left_at;
        if since > 0.5 {
            late += 1;
            late_run += usize::from(arrival.run_at.is_some());
            record.add(format!(
                "LATE: {} reached a server {since:.3} s after its consumer had left",
                arrival.id
            ));
        }
    }
    record.say(format!(
        "{} consumers left; {} requests reached servers",
        left.len(),
        arrivals.len()
    ));
    record.say(format!("reached a server over 0.5 s after their consumer had left: {late}, of which {late_run} were run (a few are allowed: {FEW})"));
    Ok(Verdict::broken_if(late > FEW))
}
