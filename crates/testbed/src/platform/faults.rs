//! Faults that the simulated platform injects.

/// Kind of platform outage.
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
)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Outage {
    /// No outage.
    #[default]
    None,
    /// Every call is rejected with status 503 and has no effect.
    Refused,
    /// Every connection is closed without a response, and the call has no effect.
    Closed,
    /// No call gets a response or has an effect; connections stay open.
    Silent,
}

/// Injected faults.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Current outage.
    pub outage: Outage,
    /// Delay before each call, in milliseconds.
    pub delay_ms: u64,
    /// Number of writes, from the next one, that take effect but whose responses are lost.
    pub lose_answers: u32,
    /// Key prefix of writes that get no response and have no effect; empty for none.
    pub held_writes: String,
    /// Whether the VM list stays as it was when this was set.
    pub frozen_vms: bool,
}
