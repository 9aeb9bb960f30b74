//! Passive detection of unhealthy servers, from the results of real requests.
//!
//! Each attempt yields one observation: good, or bad because of an error, a refusal or a time to
//! the response head far above that of the service's other servers. A CUSUM of log-likelihood
//! ratios ([`cusum::Cusum`]) weighs it against the ratio of bad observations at the *other*
//! servers, so that a problem of the whole service counts against no single server. An attempt in
//! flight counts as slow as soon as it is older than the slow threshold. [`Sensitivity`] selects
//! the ejection threshold and with it the trade-off between detection time and false ejections.
//!
//! Before an ejection is requested, most other servers must have been healthy since the suspicion
//! began, and the peers' evidence must not contradict it ([`peers::Peers`]).

pub mod baseline;
pub mod counter;
pub mod cusum;
pub mod limits;
pub mod monitor;
pub mod peers;
pub mod state;
pub mod tally;

/// Trade-off between detection time and false ejections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Sensitivity {
    /// Short detection time.
    Fast,
    /// A compromise between the other two.
    #[default]
    Balanced,
    /// Few false ejections.
    Careful,
}
