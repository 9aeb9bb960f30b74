//! Numbers of messages that were received of a daemon, so that none counts twice.

/// Numbers that were received of a daemon.
#[derive(Clone, Copy, Debug, Default)]
pub struct Received {
    latest: u64,
    /// Which of the numbers before the latest one were received, the closest in the lowest bit.
    before: u64,
}

impl Received {
    /// Records a number; returns whether it was not received before.
    pub fn record(&mut self, number: u64) -> bool {
        if number > self.latest {
            let shift = number - self.latest;
            let shifted =
                |bits: u64, by: u64| u32::try_from(by).ok().and_then(|by| bits.checked_shl(by));
            let before = shifted(self.before, shift).unwrap_or(0);
            let latest = shifted(1, shift - 1).unwrap_or(0);
            self.before = if self.latest > 0 { before | latest } else { 0 };
            self.latest = number;
            return true;
        }
        // One that is too old counts as received.
        let bit = u32::try_from(self.latest - number).ok();
        let bit = bit.and_then(|age| 1_u64.checked_shl(age.checked_sub(1)?));
        match bit {
            Some(bit) if self.before & bit == 0 => {
                self.before |= bit;
                true
            }
            _ => false,
        }
    }
}
