//! Events of the simulation, in the order of their time.

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scheduled {
    Tick,
    Arrival,
    Fault(usize),
    Join(usize),
    Head(u64, u16),
    Finish(u64, Finish),
    Ledger(u32, Verdict),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Finish {
    Answered(u16),
    Timeout,
    Cancelled,
    Shed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    Granted,
    Denied,
    Restored,
}
