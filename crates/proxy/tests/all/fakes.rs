//! Fakes of the rest of the daemon.

use std::net;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures_util::FutureExt as _;
use futures_util::future::BoxFuture;
use monsooncart_policy::claims::{claim, ticket};
use monsooncart_policy::{balancer, handle, naive, selector, service};
use monsooncart_proxy::interface;
use monsooncart_types::{id, instance, map, rate};

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
}

impl Fleet {
    pub fn leaving(&self) -> Vec<id::Server> {
        locked(&self.leaving).clone()
    }

    /// Rate limits of servers that were reported, in order.
    pub fn rate_limits(&self) -> Vec<(id::Server, Option<rate::Rate>)> {
        locked(&self.rate_limits).clone()
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

    fn report_crash(&self, _: &id::Service, _: handle::Fingerprint, _: &id::Server) {}

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
