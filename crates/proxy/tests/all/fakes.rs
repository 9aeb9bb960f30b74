//! Fakes of the rest of the daemon.

use std::io;
use std::net;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures_util::FutureExt as _;
use futures_util::future::BoxFuture;
use monsooncart_config::routing::access;
use monsooncart_policy::claims::{claim, ticket};
use monsooncart_policy::{allowance, balancer, handle, inventory, naive, selector, service};
use monsooncart_proxy::{engine, interface, relay};
use monsooncart_types::{id, instance, map, rate, run};
use tokio_util::sync::CancellationToken;

fn locked<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A fleet of one daemon, which records the calls of the request path.
#[derive(Default)]
pub struct Fleet {
    leaving: Mutex<Vec<id::Server>>,
    ejected: Mutex<Vec<id::Server>>,
    entry: Mutex<Option<net::SocketAddr>>,
    rate_limits: Mutex<Vec<(id::Server, Option<rate::Rate>)>>,
    relay: Mutex<Option<engine::Engine>>,
    lost_paths: Mutex<Vec<bool>>,
    /// Decisions about allowances, the next one last; all others admit at once.
    decisions: Mutex<Vec<allowance::Decision>>,
    admitted: Mutex<Vec<id::Organisation>>,
    refunded: Mutex<Vec<id::Organisation>>,
    /// Ends the streams to the relay.
    relay_cut: CancellationToken,
}

/// The daemon that relays requests.
const RELAY: instance::Instance = instance::Instance(2);

/// Bytes that a stream between two daemons holds.
const STREAM_BYTES: usize = 64 << 10;

impl Fleet {
    pub fn leaving(&self) -> Vec<id::Server> {
        locked(&self.leaving).clone()
    }

    /// Rate limits of servers that were reported, in order.
    pub fn rate_limits(&self) -> Vec<(id::Server, Option<rate::Rate>)> {
        locked(&self.rate_limits).clone()
    }

    /// Sets the engine of the daemon that relays requests.
    pub fn set_relay(&self, relay: engine::Engine) {
        *locked(&self.relay) = Some(relay);
    }

    /// Closes the connections to the relay.
    pub fn cut_relay(&self) {
        self.relay_cut.cancel();
    }

    /// Reports of the path to the servers, in order: whether it is lost.
    pub fn lost_paths(&self) -> Vec<bool> {
        locked(&self.lost_paths).clone()
    }

    /// Sets the next decisions about allowances.
    pub fn decide(&self, decisions: &[allowance::Decision]) {
        *locked(&self.decisions) = decisions.iter().rev().copied().collect();
    }

    /// Organisations of the requests that were decided about for the first time.
    pub fn admitted(&self) -> Vec<id::Organisation> {
        locked(&self.admitted).clone()
    }

    /// Organisations to which tokens were given back.
    pub fn refunded(&self) -> Vec<id::Organisation> {
        locked(&self.refunded).clone()
    }

    /// Sets the address that is returned as the service's entry.
    pub fn set_entry(&self, address: net::SocketAddr) {
        *locked(&self.entry) = Some(address);
    }

    pub fn ejected(&self) -> Vec<id::Server> {
        locked(&self.ejected).clone()
    }
}

impl interface::Fleet for Fleet {
    fn eject(&self, _: &id::Service, server: &id::Server, _: String) {
        locked(&self.ejected).push(server.clone());
    }

    fn restore(&self, _: &id::Service, _: &id::Server) {}

    fn admit(
        &self,
        organisation: &id::Organisation,
        _: &access::Allowance,
        is_first: bool,
    ) -> allowance::Decision {
        if is_first {
            locked(&self.admitted).push(organisation.clone());
        }
        let at_once = allowance::Decision::Admit {
            after: Duration::ZERO,
        };
        locked(&self.decisions).pop().unwrap_or(at_once)
    }

    fn refund(&self, organisation: &id::Organisation) {
        locked(&self.refunded).push(organisation.clone());
    }

    fn report_crash(&self, _: &id::Service, _: handle::Fingerprint, _: &run::Run) {}

    fn report_acquittal(&self, _: &id::Service, _: handle::Fingerprint) {}

    fn quarantine(&self, _: &id::Service, _: handle::Fingerprint, _: Duration) {}

    fn report_leaving(&self, _: &id::Service, server: &id::Server, _: u64) {
        locked(&self.leaving).push(server.clone());
    }

    fn entries(&self, service: &id::Service) -> Option<(Vec<interface::Entry>, Duration)> {
        let entry = interface::Entry {
            address: locked(&self.entry).unwrap_or(([10, 0, 0, 1], 8080).into()),
            data_centre: "attica-a".parse().unwrap(),
        };
        (service.as_str() == "wiredesk").then(|| (vec![entry], Duration::from_secs(30)))
    }

    fn report_rate_limit(
        &self,
        _: &id::Service,
        server: &id::Server,
        _: u64,
        limit: Option<rate::Rate>,
    ) {
        locked(&self.rate_limits).push((server.clone(), limit));
    }

    fn daemons(&self, _: &id::Service) -> Vec<instance::Instance> {
        vec![INSTANCE]
    }

    fn relays(&self, _: &id::Service) -> Vec<inventory::Relay> {
        let relay = inventory::Relay {
            peer: RELAY,
            local: true,
            capacity: 1000,
        };
        locked(&self.relay).iter().map(|_| relay).collect()
    }

    fn vm(&self, daemon: instance::Instance) -> Option<id::Vm> {
        (daemon == RELAY).then(|| "entry-2".parse().unwrap())
    }

    fn open_relay(
        &self,
        _: instance::Instance,
    ) -> BoxFuture<'_, io::Result<Box<dyn relay::Stream>>> {
        let relay = locked(&self.relay).clone();
        let (near, far) = tokio::io::duplex(STREAM_BYTES);
        let cut = self.relay_cut.clone();
        async move {
            let relay = relay.ok_or(io::ErrorKind::NotFound)?;
            let serving = async move { relay.serve_relay(far).await };
            tokio::spawn(async move { cut.run_until_cancelled(serving).await });
            Ok(Box::new(near) as Box<dyn relay::Stream>)
        }
        .boxed()
    }

    fn report_path(&self, _: &id::Service, lost: bool) {
        locked(&self.lost_paths).push(lost);
    }
}

/// Claims that are decided in memory.
#[derive(Default)]
pub struct Claims {
    /// Request that claimed a ticket and the state of its work, by the ticket's number.
    tickets: Mutex<map::Map<u64, (handle::Request, claim::State)>>,
    minted: Mutex<u64>,
    released: Mutex<Vec<ticket::Ticket>>,
    refusal: Mutex<Option<claim::Refusal>>,
}

/// Instance that issues the fake's tickets.
const MINTER: instance::Instance = instance::Instance(7);

impl Claims {
    /// Refuses every claim from now on.
    pub fn refuse(&self, refusal: claim::Refusal) {
        *locked(&self.refusal) = Some(refusal);
    }

    pub fn state(&self, ticket: &ticket::Ticket) -> claim::State {
        let tickets = locked(&self.tickets);
        tickets
            .get(&ticket.number)
            .map_or(claim::State::Open, |(_, state)| *state)
    }

    pub fn released(&self) -> Vec<ticket::Ticket> {
        locked(&self.released).clone()
    }
}

impl interface::Claims for Claims {
    fn mint(&self) -> Option<ticket::Ticket> {
        let mut minted = locked(&self.minted);
        *minted += 1;
        Some(ticket::Ticket {
            minter: MINTER,
            number: *minted,
            mac: *minted ^ 0xabcd,
        })
    }

    fn claim(
        &self,
        ticket: ticket::Ticket,
        request: handle::Request,
    ) -> BoxFuture<'_, Result<(), claim::Refusal>> {
        let decide = move || {
            if let Some(refusal) = *locked(&self.refusal) {
                return Err(refusal);
            }
            if ticket.minter != MINTER {
                return Err(claim::Refusal::Forged);
            }
            let mut tickets = locked(&self.tickets);
            match tickets.get(&ticket.number) {
                Some((holder, state)) if *holder != request => {
                    Err(claim::Refusal::Taken { state: *state })
                }
                _ => {
                    tickets.insert(ticket.number, (request, claim::State::Claimed));
                    Ok(())
                }
            }
        };
        async move { decide() }.boxed()
    }

    fn release(&self, ticket: ticket::Ticket, request: handle::Request) -> BoxFuture<'_, ()> {
        async move {
            let mut tickets = locked(&self.tickets);
            if tickets
                .get(&ticket.number)
                .is_some_and(|(r, _)| *r == request)
            {
                tickets.remove(&ticket.number);
            }
            locked(&self.released).push(ticket);
        }
        .boxed()
    }

    fn settle(
        &self,
        ticket: ticket::Ticket,
        request: handle::Request,
        state: claim::State,
    ) -> BoxFuture<'_, ()> {
        async move {
            locked(&self.tickets).insert(ticket.number, (request, state));
        }
        .boxed()
    }

    fn outcome(
        &self,
        ticket: ticket::Ticket,
    ) -> BoxFuture<'_, Result<claim::State, claim::Refusal>> {
        async move { Ok(self.state(&ticket)) }.boxed()
    }
}

/// Stores every record.
#[derive(Default)]
pub struct Meter(Mutex<Vec<interface::Record>>);

impl Meter {
    pub fn records(&self) -> Vec<interface::Record> {
        locked(&self.0).clone()
    }
}

impl interface::Meter for Meter {
    fn record(&self, record: &interface::Record) {
        locked(&self.0).push(record.clone());
    }
}

/// Creates naive policies.
pub struct Naive;

impl interface::Policies for Naive {
    fn create_policy(&self, _: &id::Service) -> Box<dyn service::Policy> {
        Box::new(naive::Naive::new())
    }
}

/// Creates the policies that the fleet uses.
pub struct Balanced;

impl interface::Policies for Balanced {
    fn create_policy(&self, _: &id::Service) -> Box<dyn service::Policy> {
        Box::new(balancer::Config::new(POLICY_SEED).build())
    }
}

/// Creates the policies of gateway deployments.
pub struct Selector;

impl interface::Policies for Selector {
    fn create_policy(&self, _: &id::Service) -> Box<dyn service::Policy> {
        let config = selector::Config::new(POLICY_SEED).instance(INSTANCE);
        Box::new(config.build())
    }
}

/// The only daemon of the fleet.
const INSTANCE: instance::Instance = instance::Instance(1);

/// Random seed of the policies.
const POLICY_SEED: u64 = 11;

/// The fakes of one engine.
#[derive(Clone, Default)]
pub struct Fakes {
    pub fleet: Arc<Fleet>,
    pub claims: Arc<Claims>,
    pub meter: Arc<Meter>,
}
