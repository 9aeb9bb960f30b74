//! Changes of the configuration that the platform keeps.
//!
//! The configuration is many objects, and the platform updates one at a time. A change becomes
//! accepted by one conditional update, that of the object [`HEAD`], which names the change and
//! holds its new values, or the objects in which they were staged before. From then on anyone who
//! finds the change pending can write the objects: each by a conditional update on the version
//! that the change was made against, so that it takes effect once, whoever writes it and however
//! often. A change is made against a head that is not pending, so changes follow each other in one
//! order, none is lost and none is undone by a late writer of an earlier one.

mod apply;
mod current;
mod entry;
mod failure;
mod head;
mod id;
mod roll;
mod staged;

pub use apply::{Applied, apply};
pub use current::{Current, Held};
pub use entry::Entry;
pub use failure::Failure;
pub use head::{Head, Past, State};
pub use id::Id;
pub use roll::{Written, complete};

/// Key of the object that orders all changes.
pub const HEAD: &str = "config-change/head";

/// Prefix of the objects that hold the values of large changes until they are written.
pub const STAGED: &str = "config-change/staged/";
