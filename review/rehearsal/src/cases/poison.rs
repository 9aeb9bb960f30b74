//! A request that crashes the servers that run it, and comes again.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::json;
use tokio::time::sleep;

use super::Verdict;
use crate::fleet::{self, Fleet};
use crate::http;
use crate::record::Record;
use crate::server::{Action, Server, Spec};

const SERVICE: &str = "order-desk";

/// Path of the request that crashes servers, if the winery sends it.
const POISON_PATH: &str = "/proofs/status";

/// Time until a server that crashed is back.
const DOWN: Duration = Duration::from_secs(3);

/// The bound `stability_window_s`.
const STABILITY_WINDOW_S: f64 = 3.0;

/// Retries that the rule allows later than [`STABILITY_WINDOW_S`] after the third crash.
const MAX_RETRIES: usize = 3;

/// Pause between two arrivals of the request.
const AGAIN: Duration = Duration::from_millis(2500);

/// Length of the traffic.
const LENGTH_S: f64 = 45.0;

/// Time budget of all requests.
const PATIENCE: Duration = Duration::from_secs(4);

/// What goes on beside the request that crashes servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plan {
    /// Six servers, which come back under new ids. Another tenant asks for the same path, which its
    /// servers answer.
    OtherTenant,
    /// Three servers, which come back under the ids that they had. Nobody else asks for the path.
    SameId,
}

impl Plan {
    fn servers(self) -> u8 {
        match self {
            Self::OtherTenant => 6,
            Self::SameId => 3,
        }
    }

    /// Number of requests that a server runs at a time.
    fn slots(self) -> usize {
        match self {
            Self::OtherTenant => 3,
            Self::SameId => 6,
        }
    }

    /// Number of consumers that send one request after the other.
    fn consumers(self) -> usize {
        match self {
            Self::OtherTenant => 6,
            Self::SameId => 20,
        }
    }

    /// Time that a server works on a sound request.
    fn work(self) -> Duration {
        match self {
            Self::OtherTenant => Duration::from_millis(100),
            Self::SameId => Duration::from_millis(400),
        }
    }
}

fn request(method: &str, path: &str, id: &str, key: &str) -> Vec<u8> {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: {}\r\nx-attempt-id: {id}\r\nx-deadline-ms: 4000\r\nx-credential: {key}\r\ncontent-length: 0\r\n\r\n",
        fleet::HOST
    )
    .into_bytes()
}

/// What a sound consumer of the dairy sends as its request with this number.
fn sound_request(plan: Plan, consumer: usize, number: usize) -> (&'static str, String) {
    match number % 3 {
        0 => ("POST", format!("/orders/{consumer}/{number}")),
        1 if plan == Plan::OtherTenant => ("GET", POISON_PATH.to_owned()),
        _ => ("GET", format!("/proofs/{consumer}/{number}")),
    }
}

pub async fn run(plan: Plan, trouble: bool, record: &Record) -> io::Result<Verdict> {
    let rules = [
        fleet::route("/proofs/", "safe", SERVICE, 3.0, 0.8),
        fleet::route("/orders/", "unsafe", SERVICE, 3.0, 0.8),
    ];
    let mut configuration = fleet::configuration(3, &rules, &[SERVICE]);
    configuration["tenants"] = json!([
        {"name": "winery", "api_keys": ["key-winery"]},
        {"name": "dairy", "api_keys": ["key-dairy"]},
    ]);
    let mut fleet = Fleet::start(&configuration).await?;
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let mut servers = Vec::new();
    for number in 0..plan.servers() {
        let spec = Spec {
            service: SERVICE,
            zone: fleet::ZONE,
            address: (fleet.ip(fleet::FIRST_SERVER + number), fleet::SERVER_PORT).into(),
            slots: plan.slots(),
            keeps_id: plan == Plan::SameId,
            beat_s: 1.5,
        };
        let behaviour = Box::new(move |request: &http::Message| {
            let is_poison =
                request.target().1 == POISON_PATH && request.header("x-tenant") == Some("winery");
            match trouble && is_poison {
                true => Action::Crash(DOWN),
                false => Action::Work(plan.work(), "done".to_owned()),
            }
        });
        let registry = fleet.registry.clone();
        let (record, arrivals) = (record.clone(), arrivals.clone());
        let server = Server::start(number.into(), spec, registry, record, arrivals, behaviour);
        servers.push(server.await?);
    }
    fleet.start_daemons(2).await?;
    // All machines are in touch.
    sleep(Duration::from_secs(4)).await;
    record.say("traffic begins");
    let fronts: Vec<_> = fleet.daemons.iter().map(|daemon| daemon.front()).collect();
    let started_at = record.now();
    let orders = Arc::new(Mutex::new(BTreeMap::new()));
    let mut consumers = Vec::new();
    for consumer in 0..plan.consumers() {
        let (fronts, record, orders) = (fronts.clone(), record.clone(), orders.clone());
        consumers.push(tokio::spawn(async move {
            for number in 0_usize.. {
                if record.now() - started_at > LENGTH_S {
                    return;
                }
                let (method, path) = sound_request(plan, consumer, number);
                let id = format!("dairy-{consumer}-{number}");
                let front = fronts[(consumer + number) % fronts.len()];
                let request = request(method, &path, &id, "key-dairy");
                let answer = http::send(front, &request, PATIENCE).await;
                record.add(format!("{id} {method} {path} -> {}", answer.text()));
                if method == "POST"
                    && let Ok(mut orders) = orders.lock()
                {
                    orders.insert(id, answer.status());
                }
                sleep(Duration::from_millis(50)).await;
            }
        }));
    }
    sleep(Duration::from_secs(3)).await;
    for number in 0_usize.. {
        if record.now() - started_at > LENGTH_S - 3.0 {
            break;
        }
        let id = format!("winery-{number}");
        let front = fronts[number % fronts.len()];
        let request = request("GET", POISON_PATH, &id, "key-winery");
        let answer = http::send(front, &request, PATIENCE).await;
        record.say(format!("{id} GET {POISON_PATH} -> {}", answer.text()));
        sleep(AGAIN).await;
    }
    for consumer in consumers {
        let _ = consumer.await;
    }
    let crashes = servers.iter().flat_map(|server| server.crashes());
    let mut crashes: Vec<f64> = crashes.map(|(at, _)| at).collect();
    crashes.sort_by(f64::total_cmp);
    let arrivals = arrivals.lock().map(|a| a.clone()).unwrap_or_default();
    let orders = orders.lock().map(|o| o.clone()).unwrap_or_default();
    let mut late = Vec::new();
    let (mut of_winery, mut lost_orders) = (0, 0);
    for arrival in &arrivals {
        record.add(format!(
            "{} of {:?} reached {}, ran: {:?}",
            arrival.id, arrival.tenant, arrival.server, arrival.run_at
        ));
        let is_lost = arrival.run_at.is_some()
            && orders.get(&arrival.id).is_some_and(|status| *status != 200);
        lost_orders += usize::from(is_lost);
        if arrival.tenant != "winery" {
            continue;
        }
        of_winery += 1;
        let since = crashes.get(2).map(|third| arrival.head_at - third);
        if trouble && since.is_some_and(|since| since > STABILITY_WINDOW_S) {
            late.push(format!("{} at {}", arrival.id, arrival.server));
        }
    }
    record.say(format!(
        "{of_winery} arrivals of the winery's request at servers, {} crashes; {lost_orders} orders of the dairy had begun to run and were lost",
        crashes.len()
    ));
    record.say(format!(
        "later than {STABILITY_WINDOW_S} s after the third crash it reached servers {} times (allowed: {MAX_RETRIES}): {}",
        late.len(),
        late.join(", ")
    ));
    fleet.record_logs(record, &["poison:"]);
    Ok(Verdict::broken_if(late.len() > MAX_RETRIES))
}
