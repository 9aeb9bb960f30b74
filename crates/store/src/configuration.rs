//! Atomic changes of the configuration stored in the platform.
//!
//! The configuration consists of many objects, and the platform updates one object at a time. A
//! change is accepted by a single conditional update of the object [`HEAD`], which identifies the
//! change and contains its new values or references the objects in which they were staged. From
//! then on any process that finds the change pending can write the objects. Each write is
//! conditional on the version that the change was based on, so it takes effect once, whoever sends
//! it and however often. A change is always based on a head that is not pending. Changes are
//! therefore totally ordered, none is lost, and a delayed write of an earlier change cannot revert
//! a later one.

mod apply;
mod current;
mod entry;
mod failure;
mod head;
mod id;
mod roll;
mod staged;

pub use apply::{Applied, apply};
pub use current::{Current, Object};
pub use entry::Entry;
pub use failure::Failure;
pub use head::{Head, PastChange, State};
pub use id::Id;
pub use roll::{Written, complete};

/// Key of the head object, which orders all changes.
pub const HEAD: &str = "config-change/head";

/// Key prefix of the objects that stage the values of large changes until they are written.
pub const STAGED: &str = "config-change/staged/";
