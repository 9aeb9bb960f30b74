//! Counts of recent observations, for the digest that is reported to peers.

/// Observations of the current and the previous interval.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counter {
    good: [u16; 2],
    bad: [u16; 2],
}

impl Counter {
    /// Counts an observation.
    pub fn count(&mut self, good: bool) {
        let counts = if good { &mut self.good } else { &mut self.bad };
        counts[0] = counts[0].saturating_add(1);
    }

    /// Starts a new interval.
    pub fn rotate(&mut self) {
        self.good = [0, self.good[0]];
        self.bad = [0, self.bad[0]];
    }

    /// Number of good observations in both intervals.
    #[must_use]
    pub fn good(&self) -> u32 {
        self.good.iter().map(|&n| u32::from(n)).sum()
    }

    /// Number of bad observations in both intervals.
    #[must_use]
    pub fn bad(&self) -> u32 {
        self.bad.iter().map(|&n| u32::from(n)).sum()
    }
}
