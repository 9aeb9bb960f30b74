//! The ledger of ejections: taking servers out of service never leaves a service below its floor.
//!
//! One [`record::Record`] per service stands in the platform. Slots of capacity above the floor
//! are *tokens*. Free ones are spent by a conditional write of the record; the others are granted
//! to holders, and only its holder spends a token, without the platform if need be, and writes the
//! spend back later. Invariant: slots in service, less all tokens that are out, never fall below
//! the floor by an ejection; an ejection is in the record, or its holder's tokens still count as
//! out. No lease and no clock is in that: a token whose holder is lost stays out until the VM list
//! proves the holder gone.
//!
//! [`view::View`] is what one daemon knows: the newest record and the marks of holders on top.
//! It applies the floor once more to what this daemon knows, so that a daemon with old news does
//! not go below it either. [`controller::Controller`] drives all this for one service on one daemon.

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
