//! Requests to token holders, and requests from other daemons for this daemon's tokens.

use std::time::Duration;

use monsooncart_types::{instance, time};

use crate::event as policy_event;
use crate::floor::action::Action;
use crate::floor::{record, request};

use super::Controller;

/// Time that a requested ejection waits for the platform before holders are asked.
const STORE_TIMEOUT: Duration = Duration::from_millis(250);

/// Time that a holder has to reply before the next one is asked.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(500);

impl Controller {
    pub(super) fn handle_request(
        &mut self,
        from: instance::Instance,
        request: request::Request,
        actions: &mut Vec<Action>,
    ) {
        let latest = self.view.latest_mark(&request.server);
        let known = latest.filter(|mark| mark.ejection.is_some());
        let mark = known.or_else(|| self.spend(&request.server, request.ejection, actions));
        let server = request.server;
        let reply = request::Reply { server, mark };
        actions.push(Action::Reply { to: from, reply });
    }

    pub(super) fn handle_reply(&mut self, from: instance::Instance, reply: request::Reply) {
        if let Some(mark) = reply.mark {
            self.view.apply_mark(mark);
        }
        if let Some(pending) = self.pending.get_mut(&reply.server) {
            pending.awaited = pending.awaited.filter(|(holder, _)| *holder != from);
        }
    }

    /// Asks holders, one after another, to make the pending ejections that the platform did not
    /// decide; denies those for which no holder is left.
    pub(super) fn request_from_holders(&mut self, now: time::Time, actions: &mut Vec<Action>) {
        let mut denied = Vec::new();
        let record = self.view.record();
        for (server, pending) in &mut self.pending {
            let timed_out = now.since(pending.requested_at) >= STORE_TIMEOUT;
            if !(self.backing_off || pending.lacks_room || timed_out) {
                continue;
            }
            if pending
                .awaited
                .is_some_and(|(_, asked_at)| now.since(asked_at) < HOLDER_TIMEOUT)
            {
                continue;
            }
            let slots = record
                .and_then(|r| r.servers.get(server))
                .map_or(0, |s| s.slots);
            let holders = record.into_iter().flat_map(|r| &r.holders);
            let is_candidate = |(holder, entry): &(&instance::Instance, &record::Holder)| {
                entry.tokens >= slots && **holder != self.instance
            };
            let mut candidates = holders.filter(is_candidate).map(|(holder, _)| *holder);
            let Some(to) = candidates.find(|holder| !pending.asked.contains(holder)) else {
                if self.backing_off || pending.lacks_room {
                    denied.push(server.clone());
                }
                continue;
            };
            pending.asked.insert(to);
            pending.awaited = Some((to, now));
            let request = request::Request {
                server: server.clone(),
                ejection: pending.ejection.clone(),
            };
            actions.push(Action::Request { to, request });
        }
        for server in denied {
            if let Some(pending) = self.pending.remove(&server) {
                let verdict = self.denied_verdict(&pending);
                self.log_decision(now, &server, Some(pending.ejection), verdict);
            }
            let ejection = policy_event::Ejection::Denied;
            actions.push(Action::Report { server, ejection });
        }
    }
}
