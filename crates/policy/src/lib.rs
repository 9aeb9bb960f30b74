//! Routing, health and coordination decisions as deterministic state machines: events and the
//! current time go in, actions come out.
//!
//! Nothing here reads a clock, opens a socket, logs or uses an unseeded source of randomness, so
//! the daemon, the experiments and the differential tests run the same code. [`service::Policy`]
//! is the interface for all decisions about one service's requests and servers; [`claims`],
//! [`floor`], [`membership`] and [`rollout`] are the protocols that daemons run with each other.

pub mod action;
pub mod allowance;
pub mod balancer;
pub mod claims;
pub mod connections;
pub mod event;
pub mod floor;
pub mod handle;
pub mod health;
pub mod inventory;
pub mod leaving;
pub mod membership;
pub mod naive;
pub mod outcome;
pub mod path;
pub mod poison;
pub mod queue;
pub mod rank;
pub mod retry;
pub mod rollout;
pub mod selector;
pub mod service;
pub mod slots;
pub mod stop;
pub mod waiting;
