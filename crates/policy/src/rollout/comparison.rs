//! When further peers are asked to compare configurations while none has responded.
//!
//! Peers may be lost unnoticed, most of them at once. So the number of peers that are asked doubles with
//! each step; while the first one responds, no other is asked.

use std::time::Duration;

/// Maximum number of peers that are asked in one round.
pub const MAX_PEERS: usize = 63;

/// Time between one step and the next, in which a peer responds.
const STEP: Duration = Duration::from_millis(150);

/// Time after which the peer at `place` in the order is asked, if none has responded by then.
#[must_use]
pub fn ask_delay(place: usize) -> Duration {
    STEP * (place + 1).ilog2()
}
