//! The ejection ledger: ejecting servers never leaves a service with less capacity than its floor.
//!
//! The platform stores one [`record::Record`] per service. Slots of capacity above the floor are
//! *tokens*. A free token is spent by a conditional write of the record. The others are granted to
//! token holders. Only its holder can spend a granted token; this needs no platform call, and the
//! holder writes the spend back later. Invariant: no ejection brings the slots in service, less all
//! granted tokens, below the floor. Each ejection is either in the record, or still covered by
//! granted tokens of the holder that made it. This relies on no lease and no clock: the tokens of a
//! lost holder stay granted until the VM list proves that the holder is gone.
//!
//! [`view::View`] is the state known to one daemon: the newest record, overlaid with the marks
//! broadcast by holders. It enforces the floor again on that state, so that a daemon with outdated
//! state does not go below it either. [`controller::Controller`] runs the ledger of one service on
//! one daemon.

pub mod action;
pub mod capacity;
pub mod controller;
pub mod decision;
pub mod denial;
pub mod event;
pub mod mark;
pub mod record;
pub mod request;
pub mod storage;
pub mod view;
