//! Availability of a slot for one more attempt.

/// Which slot one more attempt would use, worst first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Room {
    /// No slot is free.
    Full,
    /// A slot that belongs to another daemon.
    Borrowed,
    /// A slot that this daemon may use.
    Own,
}
