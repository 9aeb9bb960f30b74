//! Takes a request from a caller: who sends it, which contract it has, and what it gets.

mod contract;
mod entries;
mod onward;
mod source;
mod tickets;

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderValue, Method, StatusCode, header as names};
use hyper::body::Incoming;
use monsooncart_policy::claims::ticket;
use monsooncart_policy::{event, handle, outcome};
use monsooncart_types::time;
use tokio::time::Instant;

use crate::{account, activity, body, claim, engine, header, pass, problem};

/// Path of the entry answer.
const ENTRIES: &str = "/v1/entries";

/// Path of the tickets.
const TICKETS: &str = "/v1/tickets";

type Answer = http::Response<body::Body>;

/// Answers a request.
pub async fn run(
    shared: Arc<engine::Shared>,
    activity: Arc<activity::Activity>,
    request: http::Request<Incoming>,
) -> Answer {
    let id = shared.common.request();
    let version = request.version();
    let bodyless = request.method() == Method::HEAD;
    let busy = activity::Busy::new(
        activity,
        shared.common.clone(),
        version == http::Version::HTTP_2,
    );
    let mut busy = Some(busy);
    let named = shared.common.hosts.as_ref();
    let named = named.and_then(|hosts| request.headers().get(&hosts.request).cloned());
    let taken = Taken {
        shared: &shared,
        id,
    };
    let mut response = match taken.answer(request, &mut busy).await {
        Ok(response) => response,
        Err(problem) => {
            let status = problem.status.as_str().to_owned();
            let rejections = &shared.common.metrics.rejections;
            rejections.with_label_values(&[&status]).inc();
            let named = named.as_ref().and_then(|name| name.to_str().ok());
            log::info!(
                request = named.unwrap_or_default(),
                number = id.0,
                status,
                reason = problem.title,
                detail = problem.detail;
                "proxy: request rejected"
            );
            problem.response(&id.to_string())
        }
    };
    let mut length = None;
    if let body::Body::Own(own) = response.body_mut() {
        if let Some(busy) = busy {
            own.busy(busy);
        }
        if bodyless {
            length = Some(own.len());
            own.take();
        }
    }
    let headers = response.headers_mut();
    if let Some(length) = length {
        headers.insert(names::CONTENT_LENGTH, length.into());
    }
    headers.insert(header::REQUEST, id.0.into());
    if shared.common.is_draining() && version < http::Version::HTTP_2 {
        headers.insert(names::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// A request that was taken.
struct Taken<'a> {
    shared: &'a Arc<engine::Shared>,
    id: handle::Request,
}

impl Taken<'_> {
    async fn answer(
        &self,
        request: http::Request<Incoming>,
        busy: &mut Option<activity::Busy>,
    ) -> Result<Answer, problem::Problem> {
        contract::check_head(self.shared, &request)?;
        if let Some(names) = &self.shared.common.hosts {
            let contract = contract::find_by_host(self.shared, names, &request)?;
            return self.pass(request, contract, None, busy).await;
        }
        let path = request.uri().path();
        if path == ENTRIES {
            return entries::answer(self.shared, &request);
        }
        if let Some(rest) = path.strip_prefix(TICKETS) {
            let rest = rest.to_owned();
            return tickets::answer(self.shared, &request, &rest).await;
        }
        if path == "/v1" || path.starts_with("/v1/") {
            return Err(problem::Problem::unknown_path(path));
        }
        let contract = contract::find(self.shared, &request)?;
        let ticket = contract::ticket(&request, contract.ticket)?;
        self.pass(request, contract, ticket, busy).await
    }

    async fn pass(
        &self,
        request: http::Request<Incoming>,
        contract: contract::Contract,
        ticket: Option<ticket::Ticket>,
        busy: &mut Option<activity::Busy>,
    ) -> Result<Answer, problem::Problem> {
        let shared = self.shared;
        let name = contract.service.clone();
        let service = shared
            .service(&name)
            .ok_or_else(problem::Problem::unconfigured)?;
        let (head, incoming) = request.into_parts();
        let mut account = account::Account::new(
            shared.common.clone(),
            self.id,
            contract.organisation.clone(),
            name.clone(),
        );
        if let Some(name) = &contract.name {
            account.named(name.clone(), contract.routing);
        }
        let stall = shared.common.limits().body_timeout.0;
        let limit = contract.body_limit;
        let source = match source::take(incoming, limit, contract.until, stall).await {
            Ok(source) => source,
            Err(mut problem) => {
                if ticket.is_some() {
                    // An earlier attempt with the ticket may have run.
                    problem.run = outcome::Execution::Unknown;
                }
                return Ok(self.refused(account, &problem));
            }
        };
        account.source(source.clone());
        if let Some(ticket) = ticket {
            let claims = shared.common.claims.clone();
            match claim::Claim::ask(claims, ticket, self.id).await {
                Ok(claim) => account.claimed(claim),
                Err(refusal) => return Ok(self.refused(account, &tickets::refused(refusal))),
            }
        }
        let arrival = event::Arrival {
            request: self.id,
            organisation: shared.common.organisation(&contract.organisation),
            weight: contract.weight,
            repeatable: contract.repeatable,
            attempts: contract.attempts,
            priority: contract.priority,
            objective: contract.objective,
            expected_response_bytes: contract
                .sizes
                .as_ref()
                .map_or(0, |key| shared.common.sizes.usual(key)),
            deadline: self.deadline(contract.until),
            fingerprint: onward::fingerprint(&head, &source),
        };
        let Some(busy) = busy.take() else {
            return Err(problem::Problem::malformed("request was taken twice"));
        };
        let pass = pass::Pass {
            common: shared.common.clone(),
            service,
            request: self.id,
            head: Arc::new(onward::head(
                &shared.common,
                head,
                &contract.organisation,
                ticket,
            )),
            source,
            name: contract.name,
            sizes: contract.sizes,
            repeatable: contract.repeatable,
            until: contract.until,
            timeout: contract.timeout,
            account,
            busy,
        };
        Ok(pass.run(arrival).await)
    }

    fn deadline(&self, until: Instant) -> time::Time {
        let left = until.saturating_duration_since(Instant::now());
        self.shared.common.clock.now() + left
    }

    /// Answers a request of a known organisation and service that is not handed to the policy.
    fn refused(&self, mut account: account::Account, problem: &problem::Problem) -> Answer {
        account.refused(problem.status.as_u16(), None);
        let mut response = problem.response(&self.id.to_string());
        if let body::Body::Own(own) = response.body_mut() {
            own.account(account);
        }
        response
    }
}

fn document(status: StatusCode, value: &impl serde::Serialize) -> Answer {
    let bytes = Bytes::from(serde_json::to_vec(value).unwrap_or_default());
    let mut response = http::Response::new(body::Body::own(bytes));
    *response.status_mut() = status;
    let content = HeaderValue::from_static("application/json");
    response.headers_mut().insert(names::CONTENT_TYPE, content);
    let store = HeaderValue::from_static("no-store");
    response.headers_mut().insert(names::CACHE_CONTROL, store);
    response
}
