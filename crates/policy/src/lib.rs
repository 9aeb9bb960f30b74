//! The decisions, pure: events and the present go in, actions come out.
//!
//! Nothing here reads a clock, opens a socket, logs or draws randomness of its own: the daemon,
//! the experiments and the differential tests drive the same code. [`service::Policy`] is the
//! border of all decisions about one service's requests and servers; [`claims`] and its
//! neighbours are the state machines that daemons run together.

pub mod action;
pub mod balancer;
pub mod claims;
pub mod connections;
pub mod event;
pub mod floor;
pub mod handle;
pub mod health;
pub mod inventory;
pub mod membership;
pub mod naive;
pub mod outcome;
pub mod poison;
pub mod queue;
pub mod rank;
pub mod retry;
pub mod rollout;
pub mod selector;
pub mod service;
pub mod slots;
