//! Exhaustive state-space search of the distributed state machines.
//!
//! Each model keeps every message ever sent and may deliver it at any time and any number of times.
//! This covers lost, delayed, reordered and duplicated messages as well as paused daemons. In CI a
//! search visits every state within its bounds. `MONSOONCART_SEARCH_LARGE=1` selects larger bounds,
//! best with `--release -- --nocapture --test-threads=1`, and reports whether the search was
//! complete.

mod bfs;
mod claims;
mod floor;
mod leaving;
mod rollout;
