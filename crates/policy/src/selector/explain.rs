//! Explains where a request would go now, without sending it.

use monsooncart_types::time;

use super::{Selector, pending, server};
use crate::{event, service};

impl Selector {
    /// What would become of a request that arrived now.
    pub(super) fn explain_arrival(
        &self,
        now: time::Time,
        arrival: event::Arrival,
    ) -> service::Explanation {
        let pending = pending::Request::new(now, arrival);
        let profile = self.request_profile(&pending.arrival);
        let max_risk = self.max_risk(now, &pending);
        let mut candidates: Vec<_> = self
            .servers
            .iter()
            .map(|server| explain_server(now, server, &profile, max_risk))
            .collect();
        let order = |a: &service::Candidate, b: &service::Candidate| {
            let cost = |candidate: &service::Candidate| candidate.cost.unwrap_or(f64::INFINITY);
            cost(a).total_cmp(&cost(b))
        };
        candidates.sort_by(order);
        let has_room = candidates.iter().any(|candidate| candidate.cost.is_some());
        let (verdict, reason) = match () {
            () if self.path.is_lost() => (
                service::Verdict::Relay,
                "this daemon has lost its path to the servers",
            ),
            () if has_room && self.queue.is_empty() => (
                service::Verdict::Send,
                "it goes to one of the servers with the lowest cost",
            ),
            () if has_room => (
                service::Verdict::Wait,
                "there is room, and other requests wait for it",
            ),
            () if self.servers.iter().all(server::Server::is_unavailable) => (
                service::Verdict::Refuse,
                "no server of the service accepts requests",
            ),
            () if !self.waits => (
                service::Verdict::Refuse,
                "no server has room, and requests do not wait",
            ),
            () if !self.time_until_available(now).is_zero() => (
                service::Verdict::Refuse,
                "all servers asked for a delay before the next request",
            ),
            () => (
                service::Verdict::Wait,
                "no server has room; it is refused instead if it is not expected to be served in time",
            ),
        };
        let time_to_empty = match self.queue.is_empty() {
            true => std::time::Duration::ZERO,
            false => self.queue.time_to_empty(now),
        };
        service::Explanation {
            verdict,
            reason: reason.to_owned(),
            waiting: self.queue.len(),
            wait_millis: u64::try_from(time_to_empty.as_millis()).unwrap_or(u64::MAX),
            candidates,
        }
    }
}

/// How a server is weighed for a request.
fn explain_server(
    now: time::Time,
    server: &server::Server,
    profile: &server::RequestProfile,
    max_risk: f64,
) -> service::Candidate {
    let grounds = server.grounds(now);
    let cost = server.cost(now, profile);
    let excluded = match cost {
        Some(cost) if cost.failure_probability > max_risk => Some("in doubt while others are full"),
        Some(_) => None,
        None => Some(server.exclusion(now)),
    };
    service::Candidate {
        server: server.spec.handle,
        cost: cost
            .filter(|_| excluded.is_none())
            .map(|c| c.without_retry()),
        risk: grounds.risk,
        load: grounds.load,
        slots: grounds.slots,
        evidence_age_millis: grounds.evidence_age_millis,
        excluded: excluded.map(str::to_owned),
    }
}
