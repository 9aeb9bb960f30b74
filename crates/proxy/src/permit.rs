//! Permission to run one request at the expense of its organisation's allowance.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use monsooncart_config::routing::access;
use monsooncart_policy::allowance;
use monsooncart_types::id;
use tokio::time::{Instant, sleep};

use crate::{common, interface, problem};

/// Time after which an undecided request is decided again.
const UNDECIDED_INTERVAL: Duration = Duration::from_millis(25);

/// Maximum time for which a request stays undecided.
const MAX_UNDECIDED: Duration = Duration::from_millis(400);

/// Retry delay of a request that stayed undecided: this daemon learns its part meanwhile.
const UNDECIDED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A token of an organisation's allowance, which is given back when it is dropped unspent.
pub struct Permit {
    fleet: Arc<dyn interface::Fleet>,
    organisation: id::Organisation,
    is_spent: bool,
}

impl Permit {
    /// Obtains a permit before `deadline`.
    ///
    /// # Errors
    ///
    /// The response to a request beyond the allowance.
    pub async fn obtain(
        common: &common::Common,
        organisation: &id::Organisation,
        allowance: &access::Allowance,
        deadline: Instant,
    ) -> Result<Self, problem::Problem> {
        let give_up_at = deadline.min(Instant::now() + MAX_UNDECIDED);
        let exceeded = |retry_after| {
            let detail = format!(
                "organisation {organisation} has used its allowance of {} with bursts of {}",
                allowance.rate, allowance.burst
            );
            let status = StatusCode::TOO_MANY_REQUESTS;
            problem::Problem::not_run(status, "allowance-used", detail).retry_after(retry_after)
        };
        let fleet = &common.fleet;
        let mut decision = fleet.admit(organisation, allowance, true);
        while decision == allowance::Decision::Undecided && Instant::now() < give_up_at {
            sleep(UNDECIDED_INTERVAL).await;
            decision = fleet.admit(organisation, allowance, false);
        }
        common.metrics.count_allowance_decision(decision);
        match decision {
            allowance::Decision::Admit { after } => {
                let permit = Self {
                    fleet: fleet.clone(),
                    organisation: organisation.clone(),
                    is_spent: false,
                };
                if Instant::now() + after >= deadline {
                    return Err(exceeded(after));
                }
                if !after.is_zero() {
                    sleep(after).await;
                }
                Ok(permit)
            }
            allowance::Decision::Undecided => Err(exceeded(UNDECIDED_RETRY_AFTER)),
            allowance::Decision::Refuse { retry_after } => Err(exceeded(retry_after)),
        }
    }

    /// Spends the token.
    pub fn spend(mut self) {
        self.is_spent = true;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if !self.is_spent {
            self.fleet.refund(&self.organisation);
        }
    }
}
