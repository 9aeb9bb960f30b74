//! The keeper and the holders: asking for their tokens, and spending its own for others.

use std::time::Duration;

use monsooncart_types::{instance, time};

use crate::event as policy;
use crate::floor::action::Action;
use crate::floor::{record, request};

use super::Controller;

/// How long a wanted ejection waits for the platform before holders are asked.
const STORE_PATIENCE: Duration = Duration::from_millis(250);

/// How long a holder's answer is waited for before the next one is asked.
const ASK_PATIENCE: Duration = Duration::from_millis(500);

impl Controller {
    pub(super) fn asked(
        &mut self,
        from: instance::Instance,
        ask: request::Request,
        actions: &mut Vec<Action>,
    ) {
        let latest = self.view.latest(&ask.server);
        let known = latest.filter(|mark| mark.ejection.is_some());
        let mark = known.or_else(|| self.spend(&ask.server, ask.ejection, actions));
        let server = ask.server;
        let reply = request::Reply { server, mark };
        actions.push(Action::Reply { to: from, reply });
    }

    pub(super) fn replied(&mut self, from: instance::Instance, reply: request::Reply) {
        if let Some(mark) = reply.mark {
            self.view.mark(mark);
        }
        if let Some(want) = self.wants.get_mut(&reply.server) {
            want.waiting = want.waiting.filter(|(holder, _)| *holder != from);
        }
    }

    /// Asks holders for ejections that the platform does not decide.
    pub(super) fn ask(&mut self, now: time::Time, actions: &mut Vec<Action>) {
        let mut denied = Vec::new();
        let record = self.view.record();
        for (server, want) in &mut self.wants {
            let slow = now.since(want.since) >= STORE_PATIENCE;
            if !(self.outage || want.denied || slow) {
                continue;
            }
            if want
                .waiting
                .is_some_and(|(_, since)| now.since(since) < ASK_PATIENCE)
            {
                continue;
            }
            let slots = record
                .and_then(|r| r.servers.get(server))
                .map_or(0, |s| s.slots);
            let holders = record.into_iter().flat_map(|r| &r.holders);
            let able = |(holder, entry): &(&instance::Instance, &record::Holder)| {
                entry.tokens >= slots && **holder != self.instance
            };
            let mut able = holders.filter(able).map(|(holder, _)| *holder);
            let Some(to) = able.find(|holder| !want.asked.contains(holder)) else {
                if self.outage || want.denied {
                    denied.push(server.clone());
                }
                continue;
            };
            want.asked.insert(to);
            want.waiting = Some((to, now));
            let ask = request::Request {
                server: server.clone(),
                ejection: want.ejection.clone(),
            };
            actions.push(Action::Request { to, request: ask });
        }
        for server in denied {
            if let Some(want) = self.wants.remove(&server) {
                let verdict = self.denial(&want);
                self.note(now, &server, Some(want.ejection), verdict);
            }
            let ejection = policy::Ejection::Denied;
            actions.push(Action::Report { server, ejection });
        }
    }
}
