//! Attempts for which another daemon relays the request.

use std::sync::Arc;

use futures_util::future::BoxFuture;
use monsooncart_policy::handle;

use super::{
    FailedAttempt, FinishedAttempt, Forwarder, is_retryable_error, named_server, withhold_error,
};
use crate::{attempt, common, exchange, relay, service, target};

impl Forwarder {
    pub(super) fn start_relayed_attempt(
        &mut self,
        id: handle::Attempt,
        peer: Arc<relay::Peer>,
        max_attempts: u32,
    ) -> BoxFuture<'static, FinishedAttempt> {
        let started_millis = self.account.elapsed_millis();
        let call = self.call(false);
        let common = self.common.clone();
        let service = self.service.clone();
        let reporter = attempt::Attempt::relayed(service.clone(), id);
        let repeatable = self.repeatable;
        Box::pin(async move {
            let result =
                exchange::relayed::run(&common, &call, &peer, max_attempts, &reporter).await;
            let result = match result {
                Ok(reply) => {
                    report_relayed_leaving(&common, &service, &reply.head.headers);
                    if repeatable && is_retryable_error(&reply) {
                        Err(withhold_error(reply, reporter, &call))
                    } else {
                        call.request_body.keep();
                        Ok((reply, reporter))
                    }
                }
                Err(failure) => {
                    let replayable = call.is_replayable();
                    reporter.finish(failure.outcome, replayable, failure.retry_after);
                    Err(FailedAttempt {
                        outcome: failure.outcome,
                        expired: failure.expired,
                        error: None,
                    })
                }
            };
            FinishedAttempt {
                id,
                grounds: "relay".to_owned(),
                target: target::Target::Relay(peer),
                started_millis,
                result,
            }
        })
    }
}

/// Records that a server announced its leaving in a relayed response.
fn report_relayed_leaving(
    common: &common::Common,
    service: &Arc<service::Service>,
    headers: &http::HeaderMap,
) {
    let Some(host_headers) = &common.host_headers else {
        return;
    };
    let is_leaving = headers
        .get(&host_headers.leaving)
        .is_some_and(|value| value == "1");
    if let Some(server) = named_server(headers).filter(|_| is_leaving) {
        service.report_relayed_leaving(&server);
    }
}
