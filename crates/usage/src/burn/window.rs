//! Time windows over which burn is computed.

/// Time window that ends at the current time.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
    strum::Display,
    strum::EnumIter,
    strum::EnumString,
)]
pub enum Window {
    /// Five minutes.
    #[serde(rename = "5m")]
    #[strum(serialize = "5m")]
    FiveMinutes,
    /// An hour.
    #[serde(rename = "1h")]
    #[strum(serialize = "1h")]
    Hour,
    /// Six hours.
    #[serde(rename = "6h")]
    #[strum(serialize = "6h")]
    SixHours,
    /// Three days.
    #[serde(rename = "3d")]
    #[strum(serialize = "3d")]
    ThreeDays,
}

impl Window {
    /// Windows in the order of [`Window::index`].
    pub const ALL: [Self; 4] = [
        Self::FiveMinutes,
        Self::Hour,
        Self::SixHours,
        Self::ThreeDays,
    ];

    /// Length of a bucket, in seconds.
    #[must_use]
    pub const fn bucket_seconds(self) -> u64 {
        match self {
            Self::FiveMinutes => 10,
            Self::Hour => 60,
            Self::SixHours => 300,
            Self::ThreeDays => 3600,
        }
    }

    /// Number of buckets in the window.
    #[must_use]
    pub const fn bucket_count(self) -> u64 {
        match self {
            Self::FiveMinutes => 30,
            Self::Hour => 60,
            Self::SixHours | Self::ThreeDays => 72,
        }
    }

    /// Position in [`Window::ALL`].
    #[must_use]
    pub const fn index(self) -> usize {
        self as usize
    }
}
