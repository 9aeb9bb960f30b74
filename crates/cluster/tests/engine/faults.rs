//! Daemons that reach their peers through the fault-injecting proxy.

use std::net;
use std::sync::Arc;
use std::time::Duration;

use monsooncart_cluster::{call, config, scope};
use monsooncart_policy::membership::timings;
use monsooncart_testbed::fault::rule::{self, Direction, Fault, Rule};
use monsooncart_testbed::fault::{link, proxy};

use crate::fixture::{self, Daemon};

/// Daemons, each with its own IP address and link.
struct Fleet {
    daemons: Vec<Daemon>,
    links: Vec<Arc<link::Link>>,
    _proxy: Arc<proxy::Proxy>,
}

fn address(number: usize) -> net::SocketAddr {
    fixture::loopback(u8::try_from(number + 2).unwrap())
}

/// Timings with which an overloaded test machine causes no member to be declared dead.
fn long_suspicion_timings() -> config::Timings {
    let timings = fixture::timings();
    config::Timings {
        membership: timings::Timings {
            suspicion_timeout: Duration::from_secs(10),
            ..timings.membership
        },
        ..timings
    }
}

impl Fleet {
    /// Starts `count` daemons, with links for `later` further daemons.
    async fn start(count: usize, later: usize) -> Self {
        let proxy = proxy::Proxy::new(7);
        let mut fleet = Self {
            daemons: Vec::new(),
            links: Vec::new(),
            _proxy: proxy.clone(),
        };
        for number in 0..count + later {
            let name = format!("vm-{number}");
            let link = proxy.add(&name, address(number), None).await.unwrap();
            fleet.links.push(link);
        }
        for _ in 0..count {
            fleet.start_next().await;
        }
        for daemon in &fleet.daemons {
            let joined = || daemon.engine.members().len() == count;
            fixture::eventually("joined", joined).await;
        }
        fleet
    }

    /// Starts the next daemon, with the addresses of all as seeds.
    async fn start_next(&mut self) {
        let number = self.daemons.len();
        let link = &self.links[number];
        let seeds = self.links.iter().map(|link| link.address()).collect();
        let recorder = fixture::recorder();
        let name = format!("vm-{number}");
        let config = fixture::settings_at(&name, address(number), &recorder);
        let config = config.advertise(Some(link.address())).seeds(seeds);
        let engine = config
            .timings(long_suspicion_timings())
            .start()
            .await
            .unwrap();
        link.set_target(engine.bound_address());
        self.daemons.push(Daemon { engine, recorder });
    }

    /// Cuts all traffic from one daemon to another, on connections opened by either.
    fn cut(&self, from: usize, to: usize) {
        let requests =
            Rule::one_way(Direction::ToTarget, Fault::Cut).for_source(address(from).ip());
        let responses =
            Rule::one_way(Direction::FromTarget, Fault::Cut).for_source(address(to).ip());
        for (link, rule) in [(to, requests), (from, responses)] {
            let mut rules = self.links[link].rules();
            rules.push(rule);
            self.links[link].set_rules(rules);
        }
    }
}

#[tokio::test]
async fn an_update_reaches_daemons_behind_one_way_cuts() {
    let fleet = Fleet::start(5, 0).await;
    for to in 1..4 {
        fleet.cut(0, to);
    }

    let publisher = &fleet.daemons[0].engine;
    publisher.publish(fixture::leaving_update(), scope::Scope::Fleet);

    for daemon in &fleet.daemons[1..] {
        let received = || {
            daemon
                .recorder
                .updates
                .lock()
                .unwrap()
                .contains(&fixture::leaving_update())
        };
        fixture::eventually("update received", received).await;
    }
}

#[tokio::test]
async fn a_daemon_that_joins_later_receives_retained_updates() {
    let mut fleet = Fleet::start(2, 1).await;
    let publisher = &fleet.daemons[0].engine;
    publisher.publish(fixture::leaving_update(), scope::Scope::Fleet);
    let received = |daemon: &Daemon| {
        let updates = daemon.recorder.updates.lock().unwrap();
        updates.contains(&fixture::leaving_update())
    };
    fixture::eventually("update received", || received(&fleet.daemons[1])).await;

    fleet.start_next().await;

    fixture::eventually("retained update received", || received(&fleet.daemons[2])).await;
}

#[tokio::test]
async fn a_one_way_cut_removes_no_member() {
    let fleet = Fleet::start(4, 0).await;
    fleet.cut(0, 1);

    // Pings and gossip from daemon 0 to daemon 1.
    let lost = || {
        let members = fleet.daemons.iter().map(|d| d.engine.members().len());
        assert!(members.into_iter().all(|count| count == 4));
        fleet.links[1].counts().datagrams_lost >= 10
    };
    fixture::eventually("datagrams lost", lost).await;
}

#[tokio::test]
async fn after_a_call_fails_on_a_silent_connection_the_next_one_succeeds() {
    let fleet = Fleet::start(2, 0).await;
    let minter = fleet.daemons[1].engine.local().instance;
    let client = fleet.daemons[0].engine.client(minter);
    let first = client
        .claim(fixture::claim(minter), Duration::from_secs(10))
        .await;
    fleet.links[1].end(rule::End::Silence);

    let silent = client
        .claim(fixture::claim(minter), Duration::from_secs(1))
        .await;
    let next = client
        .claim(fixture::claim(minter), Duration::from_secs(10))
        .await;

    assert_eq!(first, Ok(Ok(())));
    let delivery = silent.map_err(|error| error.delivery);
    assert_eq!(delivery, Err(call::Delivery::Unknown));
    assert_eq!(next, Ok(Ok(())));
}

#[tokio::test]
async fn a_call_whose_reply_is_cut_may_have_been_delivered() {
    let fleet = Fleet::start(2, 0).await;
    let minter = fleet.daemons[1].engine.local().instance;
    let client = fleet.daemons[0].engine.client(minter);
    let first = client
        .claim(fixture::claim(minter), Duration::from_secs(10))
        .await;
    fleet.cut(1, 0);

    let cut = client
        .claim(fixture::claim(minter), Duration::from_secs(1))
        .await;

    assert_eq!(first, Ok(Ok(())));
    let delivery = cut.map_err(|error| error.delivery);
    assert_eq!(delivery, Err(call::Delivery::Unknown));
    let claims = || fleet.daemons[1].recorder.claims.lock().unwrap().len() == 2;
    fixture::eventually("the claim was delivered", claims).await;
}

#[tokio::test]
async fn a_call_that_could_not_connect_was_not_delivered() {
    let fleet = Fleet::start(2, 0).await;
    let minter = fleet.daemons[1].engine.local().instance;
    fleet.links[1].set_rules(vec![Rule::both_ways(Fault::Refuse)]);
    fleet.links[1].end(rule::End::Reset);
    let client = fleet.daemons[0].engine.client(minter);

    let refused = || async {
        let claim = fixture::claim(minter);
        let call = client.claim(claim, Duration::from_secs(10)).await;
        call.map_err(|error| (error.step, error.delivery))
    };
    // The first call may still use the connection that was reset.
    let _ = refused().await;
    let (step, delivery) = refused().await.unwrap_err();

    assert_ne!(step, call::Step::Exchange);
    assert_eq!(delivery, call::Delivery::NotDelivered);
}
