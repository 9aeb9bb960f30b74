//! The request path does what a policy says, and tells it what happened, once.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use monsooncart_policy::{action, event, handle, outcome, service};
use monsooncart_proxy::interface;
use monsooncart_testbed::backend::{mode, server};
use monsooncart_types::{id, time};

use crate::fixture;
use crate::scripted::{Scripted, Step, answer};

type Script = dyn Fn(&event::Event, time::Time) -> Vec<action::Action> + Send + Sync;

/// Makes policies that answer events by a script and note them.
struct Directed {
    script: Arc<Script>,
    events: Arc<Mutex<Vec<event::Event>>>,
}

struct Policy {
    script: Arc<Script>,
    events: Arc<Mutex<Vec<event::Event>>>,
}

impl Directed {
    fn new(
        script: impl Fn(&event::Event, time::Time) -> Vec<action::Action> + Send + Sync + 'static,
    ) -> Arc<Self> {
        Arc::new(Self {
            script: Arc::new(script),
            events: Arc::default(),
        })
    }

    fn events(&self) -> Vec<event::Event> {
        let events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        events.clone()
    }

    fn ends(&self) -> Vec<(u64, outcome::Outcome)> {
        let end = |event: event::Event| match event {
            event::Event::Finish {
                attempt,
                outcome: end,
                ..
            } => Some((attempt.0, end)),
            _ => None,
        };
        self.events().into_iter().filter_map(end).collect()
    }

    fn has(&self, event: &event::Event) -> bool {
        self.events().contains(event)
    }
}

impl interface::Policies for Directed {
    fn policy(&self, _: &id::Service) -> Box<dyn service::Policy> {
        Box::new(Policy {
            script: self.script.clone(),
            events: self.events.clone(),
        })
    }
}

impl service::Policy for Policy {
    fn handle(&mut self, now: time::Time, event: event::Event, actions: &mut Vec<action::Action>) {
        actions.extend((self.script)(&event, now));
        if event != event::Event::Tick {
            let mut events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
            events.push(event);
        }
    }

    fn digest(&mut self, _: time::Time) -> Vec<(handle::Server, event::Digest)> {
        Vec::new()
    }

    fn view(&self, _: time::Time) -> Vec<service::View> {
        Vec::new()
    }
}

async fn front(addresses: &[std::net::SocketAddr], policies: &Arc<Directed>) -> fixture::Front {
    fixture::front_with(addresses, fixture::limits(), policies.clone()).await
}

/// Sends an arrival to servers, with the attempt numbered as the server.
fn send(event: &event::Event, servers: &[u32], fresh: bool) -> Vec<action::Action> {
    let event::Event::Arrive(arrival) = event else {
        return Vec::new();
    };
    let send = |server: &u32| action::Action::Send {
        request: arrival.request,
        attempt: handle::Attempt(u64::from(*server)),
        server: handle::Server(*server),
        fresh_connection: fresh,
        grounds: action::Grounds::default(),
    };
    servers.iter().map(send).collect()
}

#[tokio::test]
async fn the_loser_of_two_attempts_is_cancelled_and_each_ends_once() {
    let slow = Scripted::start(vec![Step::ReadHead, Step::ReadEnd]).await;
    let quick = Scripted::start(vec![Step::ReadHead, Step::Wait, answer("quick")]).await;
    let policies = Directed::new(|event, _| match event {
        event::Event::ResponseHead { attempt, .. } if attempt.0 == 1 => {
            vec![action::Action::Cancel(handle::Attempt(0))]
        }
        event => send(event, &[0, 1], false),
    });
    let front = front(&[slow.address, quick.address], &policies).await;
    let request = fixture::request("GET", "/items/1", "");
    let sending = tokio::spawn(fixture::try_send(front.address, request));
    fixture::until("both sends", || slow.heads() == 1 && quick.heads() == 1).await;

    quick.go();

    let answer = sending.await.unwrap().unwrap();
    fixture::until("ends", || policies.ends().len() == 2).await;
    fixture::until("close", || slow.ended() == 1).await;
    let mut ends = policies.ends();
    ends.sort_by_key(|(attempt, _)| *attempt);
    assert_eq!(answer.body, "quick");
    let expected = [
        (0, outcome::Outcome::Cancelled),
        (1, outcome::Outcome::Answered(200)),
    ];
    assert_eq!(ends, expected);
    assert_eq!(front.fakes.meter.records().len(), 1);
}

#[tokio::test]
async fn unrepeatable_work_is_never_sent_twice_whatever_the_policy_says() {
    let first = Scripted::start(vec![Step::ReadHead, Step::Reset]).await;
    let second = fixture::backend("server-1").await;
    let policies = Directed::new(|event, _| match event {
        event::Event::Finish { attempt, .. } if attempt.0 == 0 => Vec::new(),
        event => send(event, &[0, 1], false),
    });
    let front = front(&[first.address, second.address()], &policies).await;

    let request = fixture::request("POST", "/order/1", "once");
    let answer = fixture::send(front.address, request).await;

    fixture::until("ends", || policies.ends().len() == 2).await;
    assert_eq!(answer.header("monsooncart-outcome"), "unknown");
    assert_eq!(second.starts().count, 0);
}

#[tokio::test]
async fn fresh_attempts_go_on_new_connections() {
    for (fresh, connections) in [(true, 3), (false, 1)] {
        let backend = fixture::backend("server-0").await;
        let policies = Directed::new(move |event, _| send(event, &[0], fresh));
        let front = front(&[backend.address()], &policies).await;

        for number in 0..3 {
            let request = fixture::request("GET", &format!("/items/{number}"), "");
            let answer = fixture::send(front.address, request).await;
            assert_eq!(answer.status, 200);
            fixture::until("end", || front.engine.in_flight() == 0).await;
        }

        assert_eq!(backend.connections(), connections, "fresh: {fresh}");
    }
}

#[tokio::test]
async fn condemned_connections_are_closed() {
    let script = vec![Step::ReadHead, answer("one"), Step::ReadEnd];
    let server = Scripted::start(script).await;
    let policies = Directed::new(|event, now| match event {
        event::Event::Probe { .. } => vec![action::Action::CloseConnections {
            server: handle::Server(0),
            opened_before: now,
        }],
        event => send(event, &[0], false),
    });
    let front = front(&[server.address], &policies).await;
    let first = fixture::send(front.address, fixture::request("GET", "/items/1", "")).await;

    let service = "wiredesk".parse().unwrap();
    let probe = event::Event::Probe {
        server: handle::Server(0),
        healthy: true,
    };
    front.engine.handle_event(&service, probe);

    fixture::until("close", || server.ended() == 1).await;
    assert_eq!(first.body, "one");
}

fn probing(event: &event::Event) -> Vec<action::Action> {
    match event {
        event::Event::Ejection { server, .. } => vec![action::Action::Probe(*server)],
        _ => Vec::new(),
    }
}

async fn probed(server: &server::Server) -> (Arc<Directed>, fixture::Front) {
    let policies = Directed::new(|event, _| probing(event));
    let front = front(&[server.address()], &policies).await;
    let (service, name) = ("wiredesk".parse().unwrap(), "server-0".parse().unwrap());
    front
        .engine
        .record_ejection(&service, &name, event::Ejection::Granted);
    (policies, front)
}

#[tokio::test]
async fn probes_ask_the_health_endpoint() {
    let server = handle::Server(0);
    for (lying, healthy) in [(true, true), (false, false)] {
        let backend = fixture::backend("server-0").await;
        backend.set_mode(mode::Mode {
            errors: 1.0,
            lying,
            ..mode::Mode::default()
        });

        let (policies, _front) = probed(&backend).await;

        fixture::until("probe", || {
            policies.has(&event::Event::Probe { server, healthy })
        })
        .await;
    }
}

#[tokio::test]
async fn a_health_answer_may_say_that_the_server_is_leaving() {
    let backend = fixture::backend("server-0").await;
    backend.set_mode(mode::Mode {
        leaving: true,
        ..mode::Mode::default()
    });

    let (policies, front) = probed(&backend).await;

    let leaving = event::Event::Leaving(handle::Server(0));
    fixture::until("news", || policies.has(&leaving)).await;
    let told = front.fakes.fleet.clone();
    fixture::until("news", || told.leaving().len() == 1).await;
}

#[tokio::test]
async fn a_request_that_the_policy_holds_is_refused_at_its_deadline_and_withdrawn() {
    let policies = Directed::new(|_, _| Vec::new());
    let front = front(&[], &policies).await;

    let answer = fixture::send(front.address, fixture::request("GET", "/quick", "")).await;

    let number = answer.header("monsooncart-request").parse().unwrap();
    let withdrawn = event::Event::CancelRequest(handle::Request(number));
    fixture::until("withdrawal", || policies.has(&withdrawn)).await;
    assert_eq!(answer.status, 504);
    assert_eq!(answer.header("monsooncart-outcome"), "not-run");
}

#[tokio::test]
async fn a_caller_that_leaves_the_queue_is_withdrawn() {
    let policies = Directed::new(|_, _| Vec::new());
    let front = front(&[], &policies).await;
    let request = fixture::request("GET", "/items/1", "");
    let sending = tokio::spawn(fixture::try_send(front.address, request));
    let arrived = |e: &event::Event| matches!(e, event::Event::Arrive(_));
    fixture::until("arrival", || policies.events().iter().any(arrived)).await;

    sending.abort();

    let withdrawn = |e: &event::Event| matches!(e, event::Event::CancelRequest(_));
    fixture::until("withdrawal", || policies.events().iter().any(withdrawn)).await;
}

#[tokio::test]
async fn a_send_whose_caller_is_gone_is_reported_back() {
    let policies = Directed::new(|event, _| match event {
        event::Event::CancelRequest(request) => vec![action::Action::Send {
            request: *request,
            attempt: handle::Attempt(9),
            server: handle::Server(0),
            fresh_connection: false,
            grounds: action::Grounds::default(),
        }],
        _ => Vec::new(),
    });
    let backend = fixture::backend("server-0").await;
    let front = front(&[backend.address()], &policies).await;

    fixture::send(front.address, fixture::request("GET", "/quick", "")).await;

    fixture::until("end", || {
        policies.ends() == [(9, outcome::Outcome::Cancelled)]
    })
    .await;
    assert_eq!(backend.starts().count, 0);
}

#[tokio::test]
async fn news_of_the_rest_of_the_daemon_reaches_the_policy_by_handle() {
    let policies = Directed::new(|_, _| Vec::new());
    let backend = fixture::backend("server-0").await;
    let front = front(&[backend.address()], &policies).await;
    let (service, name): (id::Service, id::Server) =
        ("wiredesk".parse().unwrap(), "server-0".parse().unwrap());
    let server = handle::Server(0);
    let fingerprint = handle::Fingerprint(5);

    front.engine.record_leaving(&service, &name);
    front
        .engine
        .record_ejection(&service, &name, event::Ejection::Denied);
    front
        .engine
        .quarantine(&service, fingerprint, Duration::from_secs(60));

    let quarantined = |e: &event::Event| matches!(e, event::Event::Quarantine { fingerprint: f, .. } if *f == fingerprint);
    let denied = event::Event::Ejection {
        server,
        ejection: event::Ejection::Denied,
    };
    assert!(policies.has(&event::Event::Leaving(server)));
    assert!(policies.has(&denied));
    assert!(policies.events().iter().any(quarantined));
    assert_eq!(front.engine.active_services(), [service]);
}
