//! One request from its first attempt to its completion, with the retries that are safe.

use std::net;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, StatusCode};
use sha2::Digest as _;

use super::{client, entries, exchange, options, report};
use crate::backend::{pattern, server};

/// Delay before a retry if the fleet sends no `Retry-After`.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// State shared by all requests of a caller.
pub struct Shared {
    /// Options of the caller.
    pub options: options::Options,
    /// Entry addresses of the service.
    pub entries: entries::Cache,
    /// Connections to the daemons.
    pub pool: client::Pool,
}

/// A request that is not yet completed.
pub struct Pending<'a> {
    shared: &'a Shared,
    id: String,
    number: u64,
    target: String,
    unrepeatable: bool,
}

/// Result of one attempt.
enum AttemptResult {
    /// A complete and matching response, with its status.
    Answered(StatusCode),
    /// A response that does not match the request.
    Wrong,
    /// The fleet reports that the request was not run; with the delay of `Retry-After`.
    NotRun(Option<Duration>),
    /// An earlier attempt has used the ticket.
    TicketUsed,
    /// No complete response, or one that does not tell whether the request was run; with the delay
    /// of `Retry-After`.
    Unknown(Option<Duration>),
}

/// Fields of the response to `POST /v1/tickets` that a caller uses.
#[derive(serde::Deserialize)]
struct TicketResponse {
    ticket: String,
}

/// Fields of the fleet's own error responses that a caller uses.
#[derive(serde::Deserialize)]
struct Problem {
    title: String,
}

/// Fields of the response to `GET /v1/tickets/{ticket}` that a caller uses.
#[derive(serde::Deserialize)]
struct TicketStatus {
    state: String,
}

impl<'a> Pending<'a> {
    /// Creates the request with a sequence number.
    pub fn new(shared: &'a Shared, number: u64, unrepeatable: bool) -> Self {
        let options = &shared.options;
        let id = format!("{}-{number}", options.seed);
        let path = if unrepeatable {
            &options.post
        } else {
            &options.get
        };
        let mut target = format!("{path}{id}");
        if let Some(bytes) = options.bytes.filter(|_| !unrepeatable) {
            target = format!("{target}?bytes={bytes}");
        }
        Self {
            shared,
            id,
            number,
            target,
            unrepeatable,
        }
    }

    /// Sends the request, with retries, until it is answered or the retries are exhausted.
    ///
    /// The latency counts from `scheduled_at`.
    pub async fn run(self, scheduled_at: Instant) -> report::Completion {
        let ticket = if self.unrepeatable {
            self.request_ticket().await
        } else {
            None
        };
        let mut completion = report::Completion {
            outcome: report::Outcome::Refused,
            is_server_error: false,
            retries: 0,
            latency: Duration::ZERO,
            unrepeatable_id: self.unrepeatable.then(|| self.id.clone()),
        };
        if self.unrepeatable && ticket.is_none() {
            return completion;
        }
        // If an attempt may have run, a later "not run" does not change that.
        let mut may_have_run = false;
        loop {
            let delay = match self
                .send_attempt(completion.retries, ticket.as_deref())
                .await
            {
                AttemptResult::Answered(status) => {
                    completion.outcome = report::Outcome::Answered;
                    completion.is_server_error = status.is_server_error();
                    break;
                }
                AttemptResult::Wrong => {
                    completion.outcome = report::Outcome::Wrong;
                    break;
                }
                AttemptResult::TicketUsed => {
                    completion.outcome = self.ticket_outcome(ticket.as_deref()).await;
                    break;
                }
                AttemptResult::NotRun(delay) => delay.unwrap_or(RETRY_DELAY),
                AttemptResult::Unknown(delay) => {
                    may_have_run = true;
                    delay.unwrap_or(RETRY_DELAY)
                }
            };
            if completion.retries == self.shared.options.retries {
                completion.outcome = if may_have_run {
                    report::Outcome::Lost
                } else {
                    report::Outcome::Refused
                };
                break;
            }
            completion.retries += 1;
            tokio::time::sleep(delay).await;
        }
        completion.latency = scheduled_at.elapsed();
        completion
    }

    /// Returns the next of the entry addresses in turn; `None` if there is none.
    async fn choose_address(&self, retry: u32) -> Option<net::SocketAddr> {
        let shared = self.shared;
        let addresses = shared
            .entries
            .resolve_addresses(&shared.pool, &shared.options)
            .await;
        let index = usize::try_from(self.number + u64::from(retry)).unwrap_or_default();
        let count = addresses.len();
        addresses.get(index.checked_rem(count)?).copied()
    }

    fn build_request(&self, method: &str, target: &str) -> http::request::Builder {
        let options = &self.shared.options;
        Request::builder()
            .method(method)
            .uri(target)
            .header("host", options.service.as_str())
            .header("authorization", format!("Bearer {}", options.key))
    }

    /// Gets a ticket; `None` if no daemon issues one.
    async fn request_ticket(&self) -> Option<String> {
        let options = &self.shared.options;
        for retry in 0..=options.retries {
            if retry > 0 {
                tokio::time::sleep(RETRY_DELAY).await;
            }
            let Some(address) = self.choose_address(retry).await else {
                continue;
            };
            let request = self.build_request("POST", "/v1/tickets");
            let request = request.body(Bytes::new()).ok()?;
            let pool = &self.shared.pool;
            let response = exchange::fetch(pool, address, request, options.timeout).await;
            let response = response.filter(|response| response.status.is_success());
            let ticket_response =
                response.and_then(|r| serde_json::from_slice::<TicketResponse>(&r.body).ok());
            if let Some(ticket_response) = ticket_response {
                return Some(ticket_response.ticket);
            }
        }
        None
    }

    /// Queries the fleet for the outcome of the ticket's request.
    async fn ticket_outcome(&self, ticket: Option<&str>) -> report::Outcome {
        let target = format!("/v1/tickets/{}", ticket.unwrap_or_default());
        let Some(address) = self.choose_address(0).await else {
            return report::Outcome::Lost;
        };
        let Ok(request) = self.build_request("GET", &target).body(Bytes::new()) else {
            return report::Outcome::Lost;
        };
        let (pool, limit) = (&self.shared.pool, self.shared.options.timeout);
        let response = exchange::fetch(pool, address, request, limit).await;
        let ticket_status =
            response.and_then(|r| serde_json::from_slice::<TicketStatus>(&r.body).ok());
        match ticket_status {
            Some(ticket_status) if ticket_status.state == "answered" => report::Outcome::Answered,
            _ => report::Outcome::Lost,
        }
    }

    /// Sends one attempt.
    async fn send_attempt(&self, retry: u32, ticket: Option<&str>) -> AttemptResult {
        let options = &self.shared.options;
        let Some(address) = self.choose_address(retry).await else {
            return AttemptResult::NotRun(None);
        };
        let (method, body) = if self.unrepeatable {
            ("POST", Bytes::from(self.id.clone()))
        } else {
            ("GET", Bytes::new())
        };
        let mut request = self.build_request(method, &self.target);
        request = request.header(server::REQUEST_ID_HEADER, self.id.as_str());
        if let Some(ticket) = ticket {
            request = request.header("monsooncart-ticket", ticket);
        }
        let Ok(request) = request.body(body.clone()) else {
            return AttemptResult::Wrong;
        };
        let pattern = options.bytes.filter(|_| !self.unrepeatable);
        let pattern = pattern.map(|_| pattern::Pattern::new(&self.id));
        let (pool, limit) = (&self.shared.pool, options.timeout);
        let response = exchange::send(pool, address, request, limit, pattern).await;
        response.map_or(AttemptResult::Unknown(None), |response| {
            self.classify_response(method, &body, &response)
        })
    }

    fn classify_response(
        &self,
        method: &str,
        body: &[u8],
        response: &exchange::Response,
    ) -> AttemptResult {
        let header = |name| response.headers.get(name).and_then(|v| v.to_str().ok());
        if let Some(outcome) = header("monsooncart-outcome") {
            let problem: Option<Problem> = serde_json::from_slice(&response.body).ok();
            if problem.is_some_and(|problem| problem.title == "ticket-used") {
                return AttemptResult::TicketUsed;
            }
            let seconds = header("retry-after").and_then(|v| v.parse().ok());
            let delay = seconds.map(Duration::from_secs);
            return match outcome {
                "not-run" => AttemptResult::NotRun(delay),
                _ => AttemptResult::Unknown(delay),
            };
        }
        let is_own = match response.matched {
            Some((received, matches)) => matches && Some(received) == self.shared.options.bytes,
            None => self.is_own_echo(method, body, response),
        };
        if is_own {
            AttemptResult::Answered(response.status)
        } else {
            AttemptResult::Wrong
        }
    }

    /// Whether the body of a response is the echo of this request.
    fn is_own_echo(&self, method: &str, body: &[u8], response: &exchange::Response) -> bool {
        let echo: Result<server::Echo, _> = serde_json::from_slice(&response.body);
        echo.is_ok_and(|echo| {
            echo.method == method
                && echo.target == self.target
                && echo.id == self.id
                && echo.length == body.len() as u64
                && echo.sha256 == hex::encode(sha2::Sha256::digest(body))
        })
    }
}
