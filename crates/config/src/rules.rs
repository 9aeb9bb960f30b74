//! Rules for the detection of unhealthy servers.

/// Trade-off between detection time and false ejections.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    serde::Serialize,
    serde::Deserialize,
    strum::Display,
    strum::EnumString,
    strum::VariantNames,
    strum::EnumIter,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Detection {
    /// Short detection time, more false ejections.
    Fast,
    /// Compromise between `Fast` and `Careful`.
    #[default]
    Balanced,
    /// Few false ejections, longer detection time.
    Careful,
}
