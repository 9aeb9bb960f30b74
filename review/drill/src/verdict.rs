//! What a drill showed.

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The drill could not be played.
    NotRun,
}

impl Verdict {
    /// Exit code of the script.
    pub fn code(self) -> u8 {
        match self {
            Self::Held => 0,
            Self::Broken => 1,
            Self::NotRun => 2,
        }
    }
}
