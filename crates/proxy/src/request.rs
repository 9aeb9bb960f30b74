//! Handles one request of a caller: authentication, routing, and the response.

mod entries;
mod inbound_body;
mod options;
mod outbound;
mod tickets;

use std::pin::pin;
use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderValue, Method, StatusCode, header as names};
use http_body::Body as _;
use hyper::body::Incoming;
use monsooncart_policy::claims::ticket;
use monsooncart_policy::{event, handle, outcome};

use crate::{
    account, activity, body, claim, engine, fingerprint, header, pass, permit, problem, relay,
    response_sizes, screening,
};

const ENTRIES_PATH: &str = "/v1/entries";

const TICKETS_PATH: &str = "/v1/tickets";

type Response = http::Response<body::Body>;

/// Who sent a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A caller.
    Caller,
    /// Another daemon, which has no path to the servers itself.
    Relay,
}

/// Handles a request and returns its response.
pub async fn handle(
    shared: Arc<engine::Shared>,
    activity: Arc<activity::Activity>,
    origin: Origin,
    request: http::Request<Incoming>,
) -> Response {
    let number = shared.common.next_request();
    let version = request.version();
    let is_head_request = request.method() == Method::HEAD;
    let in_flight = activity::InFlight::new(
        activity.clone(),
        shared.common.clone(),
        version == http::Version::HTTP_2,
    );
    let mut in_flight = Some(in_flight);
    let host_headers = shared.common.host_headers.as_ref();
    let caller_request_id =
        host_headers.and_then(|host_headers| request.headers().get(&host_headers.request).cloned());
    let handler = Handler {
        shared: &shared,
        activity: &activity,
        number,
        origin,
    };
    let mut response = match handler.respond(request, &mut in_flight).await {
        Ok(response) => response,
        Err(problem) => {
            let status = problem.status.as_str().to_owned();
            let rejections = &shared.common.metrics.rejections;
            rejections.with_label_values(&[&status]).inc();
            let caller_request_id = caller_request_id.as_ref().and_then(|id| id.to_str().ok());
            log::info!(
                request = caller_request_id.unwrap_or_default(),
                number = number.0,
                status,
                reason = problem.title,
                detail = problem.detail;
                "proxy: request rejected"
            );
            problem.to_response(&number.to_string())
        }
    };
    let mut length = None;
    if let body::Body::Local(reply) = response.body_mut() {
        if let Some(in_flight) = in_flight {
            reply.attach_in_flight(in_flight);
        }
        if is_head_request {
            length = Some(reply.len());
            reply.take();
        }
    }
    let responder = match response.body() {
        body::Body::Local(_) => relay::Responder::Relay,
        body::Body::Forwarded(_) => relay::Responder::Server,
    };
    let headers = response.headers_mut();
    if let Some(length) = length {
        headers.insert(names::CONTENT_LENGTH, length.into());
    }
    headers.insert(header::REQUEST, number.0.into());
    if origin == Origin::Relay {
        let responder: &'static str = responder.into();
        headers.insert(relay::HEADER, HeaderValue::from_static(responder));
    }
    if shared.common.releases_callers() && version < http::Version::HTTP_2 {
        headers.insert(names::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Context for handling one request.
struct Handler<'a> {
    shared: &'a Arc<engine::Shared>,
    /// The connection of the request.
    activity: &'a activity::Activity,
    number: handle::Request,
    origin: Origin,
}

impl Handler<'_> {
    async fn respond(
        &self,
        mut request: http::Request<Incoming>,
        in_flight: &mut Option<activity::InFlight>,
    ) -> Result<Response, problem::Problem> {
        // Taken first, so that it does not count towards the size of the head.
        let allowed_attempts = match self.origin {
            Origin::Caller => u32::MAX,
            Origin::Relay => options::take_allowed_attempts(request.headers_mut()),
        };
        options::check_head(self.shared, &request)?;
        if let Some(host_headers) = &self.shared.common.host_headers {
            let mut options =
                options::resolve_by_host(self.shared, host_headers, &request, self.origin)?;
            options.max_attempts = options.max_attempts.min(allowed_attempts);
            if self.origin == Origin::Relay {
                self.shared.common.metrics.received_for_relay.inc();
            }
            return self.forward(request, options, None, in_flight).await;
        }
        let path = request.uri().path();
        if path == ENTRIES_PATH {
            return entries::respond(self.shared, &request);
        }
        if let Some(rest) = path.strip_prefix(TICKETS_PATH) {
            let rest = rest.to_owned();
            return tickets::respond(self.shared, &request, &rest).await;
        }
        if path == "/v1" || path.starts_with("/v1/") {
            return Err(problem::Problem::unknown_path(path));
        }
        let options = options::resolve_by_key(self.shared, &request)?;
        let ticket = options::parse_ticket(&request, options.ticket)?;
        self.forward(request, options, ticket, in_flight).await
    }

    async fn forward(
        &self,
        request: http::Request<Incoming>,
        options: options::Options,
        ticket: Option<ticket::Ticket>,
        in_flight: &mut Option<activity::InFlight>,
    ) -> Result<Response, problem::Problem> {
        let shared = self.shared;
        let service_name = options.service.clone();
        let service = shared
            .service(&service_name)
            .ok_or_else(problem::Problem::unconfigured)?;
        let hasher = fingerprint::Hasher::new(&options.organisation, &request);
        let (head, incoming) = request.into_parts();
        let size = incoming.size_hint().exact();
        let may_stream = size.is_none_or(|size| size > inbound_body::MAX_BUFFERED_BYTES);
        let rules = inbound_body::Rules {
            limit: options.body_limit,
            deadline: options.deadlines.request(),
            stall_timeout: shared.common.limits().body_timeout.0,
            must_be_whole: shared
                .common
                .must_receive_whole(options.deadlines.request()),
            must_identify: may_stream && service.is_suspected(hasher.clone().finish_head(size)),
        };
        let screening = rules
            .must_identify
            .then(|| screening::Screening::new(hasher.clone(), service.clone(), self.number));
        let refusal = shared.common.wait_for_refusal(rules.deadline);
        let activity = self.activity;
        let bodies = &shared.common.bodies;
        let received = inbound_body::read(bodies, incoming, rules, hasher, screening);
        let received = async {
            tokio::select! {
                biased;
                received = received => received,
                () = refusal => Err(problem::Problem::stopping()),
            }
        };
        let (permit, received) = receive(self.obtain_permit(&options), received, activity).await?;
        let mut account = account::Account::new(
            shared.common.clone(),
            self.number,
            options.organisation.clone(),
            service_name.clone(),
        );
        if let Some(permit) = permit {
            account.set_permit(permit);
        }
        if let Some(request_id) = &options.caller_request_id {
            account.set_caller_request_id(request_id.clone(), options.routing_version);
        }
        let (request_body, fingerprint) = match received {
            Ok(received) => {
                account.hold(received.reservation);
                (received.body, received.fingerprint)
            }
            Err(mut problem) => {
                if ticket.is_some() {
                    // An earlier attempt with this ticket may have run.
                    problem.execution = outcome::Execution::Unknown;
                }
                return Ok(self.reject(account, &problem));
            }
        };
        account.set_request_body(request_body.clone());
        if let Some(ticket) = ticket {
            let claims = shared.common.claims.clone();
            match claim::Claim::acquire(claims, ticket, self.number).await {
                Ok(claim) => account.set_claim(claim),
                Err(refusal) => return Ok(self.reject(account, &tickets::refusal_problem(refusal))),
            }
        }
        let arrival = event::Arrival {
            request: self.number,
            organisation: shared.common.organisation_handle(&options.organisation),
            weight: options.weight,
            repeatable: options.repeatable,
            max_attempts: options.max_attempts,
            route: options
                .route_key
                .as_ref()
                .map(response_sizes::Key::handle)
                .unwrap_or_default(),
            priority: options.priority,
            objective: options.objective,
            expected_response_bytes: options
                .route_key
                .as_ref()
                .map_or(0, |key| shared.common.response_sizes.mean(key)),
            deadline: self.shared.common.clock.now() + options.deadlines.remaining(),
            fingerprint: Some(fingerprint),
            relayed: self.origin == Origin::Relay,
        };
        let Some(in_flight) = in_flight.take() else {
            // Unreachable: `handle` passes the guard, and only this function takes it.
            return Err(problem::Problem::malformed("request was taken twice"));
        };
        let forwarder = pass::Forwarder {
            common: shared.common.clone(),
            service,
            request: self.number,
            origin: self.origin,
            head: Arc::new(outbound::build_head(&shared.common, head, &options, ticket)),
            request_body,
            caller_request_id: options.caller_request_id,
            route_key: options.route_key,
            repeatable: options.repeatable,
            deadlines: options.deadlines,
            account,
            in_flight,
        };
        Ok(forwarder.run(arrival).await)
    }

    /// Obtains a permit if the organisation has an allowance. The daemon that has a request relayed has
    /// obtained it already.
    async fn obtain_permit(
        &self,
        options: &options::Options,
    ) -> Result<Option<permit::Permit>, problem::Problem> {
        let organisation = options.grant.organisation();
        let organisation = organisation.filter(|_| self.origin == Origin::Caller);
        let allowance = organisation.and_then(|organisation| organisation.allowance.as_ref());
        let Some((organisation, allowance)) = organisation.zip(allowance) else {
            return Ok(None);
        };
        let common = &self.shared.common;
        let name = &organisation.name;
        let deadline = options.deadlines.request();
        let permit = permit::Permit::obtain(common, name, allowance, deadline).await?;
        Ok(Some(permit))
    }

    /// Rejects a request of a known organisation and service before it reaches the policy.
    fn reject(&self, mut account: account::Account, problem: &problem::Problem) -> Response {
        account.record_local_reply(problem.status.as_u16(), None);
        let mut response = problem.to_response(&self.number.to_string());
        if let body::Body::Local(reply) = response.body_mut() {
            reply.attach_account(account);
        }
        response
    }
}

/// Awaits the permit of a request and receives its body meanwhile, so that a caller that leaves is noticed.
/// Nothing is received for a request that is refused at once.
///
/// # Errors
///
/// The response if there is no permit.
async fn receive(
    permit: impl Future<Output = Result<Option<permit::Permit>, problem::Problem>>,
    received: impl Future<Output = Result<inbound_body::Received, problem::Problem>>,
    activity: &activity::Activity,
) -> Result<
    (
        Option<permit::Permit>,
        Result<inbound_body::Received, problem::Problem>,
    ),
    problem::Problem,
> {
    let (mut permit, mut received) = (pin!(permit), pin!(received));
    let body = tokio::select! {
        biased;
        permit = permit.as_mut() => return Ok((permit?, received.await)),
        body = received.as_mut() => body,
    };
    let Ok(body) = body else {
        return Ok((None, body));
    };
    tokio::select! {
        biased;
        permit = permit => Ok((permit?, Ok(body))),
        fault = body.body.read_ahead(activity) => Ok((None, Err(problem::Problem::body(fault)))),
    }
}

fn json_response(status: StatusCode, value: &impl serde::Serialize) -> Response {
    let bytes = Bytes::from(serde_json::to_vec(value).unwrap_or_default());
    let mut response = http::Response::new(body::Body::local(bytes));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(names::CONTENT_TYPE, content_type);
    let cache_control = HeaderValue::from_static("no-store");
    response
        .headers_mut()
        .insert(names::CACHE_CONTROL, cache_control);
    response
}
