//! Handles `POST /v1/tickets` and `GET /v1/tickets/T`, and responds to refused claims.

use std::time::Duration;

use http::{Method, StatusCode};
use hyper::body::Incoming;
use monsooncart_policy::claims::{claim, ticket};
use monsooncart_policy::outcome;

use crate::request::{Response, json_response, options};
use crate::{engine, problem};

/// Retry delay for a ticket whose issuing daemon cannot decide now.
const CLAIM_RETRY_AFTER: Duration = Duration::from_secs(1);

#[derive(serde::Serialize)]
struct Minted {
    ticket: String,
}

/// Status document of a ticket.
#[derive(serde::Serialize)]
struct Status {
    ticket: String,
    state: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    status: Option<u16>,
}

impl Status {
    fn new(ticket: ticket::Ticket, state: claim::State) -> Self {
        let status = match state {
            claim::State::Answered(status) => Some(status),
            _ => None,
        };
        Self {
            ticket: ticket.to_string(),
            state: state.to_string(),
            status,
        }
    }
}

/// Issues a ticket or returns the state of one; `rest` is the path after `/v1/tickets`.
///
/// # Errors
///
/// The response if the key, path, method or ticket is invalid or the claim cannot be looked up.
pub async fn respond(
    shared: &engine::Shared,
    request: &http::Request<Incoming>,
    rest: &str,
) -> Result<Response, problem::Problem> {
    options::authenticate(shared, request)?;
    if rest.is_empty() {
        return mint(shared, request);
    }
    let Some(text) = rest.strip_prefix('/') else {
        return Err(problem::Problem::unknown_path(request.uri().path()));
    };
    if request.method() != Method::GET {
        return Err(problem::Problem::wrong_method("GET"));
    }
    let ticket: ticket::Ticket = text
        .parse()
        .map_err(|error: ticket::Error| problem::Problem::malformed(&error.to_string()))?;
    match shared.common.claims.outcome(ticket).await {
        Ok(state) => Ok(json_response(StatusCode::OK, &Status::new(ticket, state))),
        Err(claim::Refusal::Gone) => {
            let state = claim::State::Unknown;
            Ok(json_response(StatusCode::OK, &Status::new(ticket, state)))
        }
        Err(refusal) => Err(refusal_problem(refusal)),
    }
}

fn mint(
    shared: &engine::Shared,
    request: &http::Request<Incoming>,
) -> Result<Response, problem::Problem> {
    if request.method() != Method::POST {
        return Err(problem::Problem::wrong_method("POST"));
    }
    let ticket = shared.common.claims.mint().ok_or_else(|| {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        let detail = "daemon is stopping and mints no tickets";
        problem::Problem::not_run(status, "stopping", detail).retry_after(CLAIM_RETRY_AFTER)
    })?;
    let ticket = ticket.to_string();
    Ok(json_response(StatusCode::CREATED, &Minted { ticket }))
}

/// Returns the response to a request whose claim was refused.
///
/// This attempt was not run, but an earlier one with the same ticket may have been. The outcome
/// describes the ticket's work, so it is unknown; a retry with the same ticket is safe.
pub fn refusal_problem(refusal: claim::Refusal) -> problem::Problem {
    let detail = format!("this attempt was not run: {refusal}");
    let problem = |status, title| {
        let mut problem = problem::Problem::not_run(status, title, detail.clone());
        problem.execution = outcome::Execution::Unknown;
        problem
    };
    match refusal {
        claim::Refusal::Taken {
            state: claim::State::Claimed | claim::State::Open,
        } => problem(StatusCode::CONFLICT, "ticket-claimed").retry_after(CLAIM_RETRY_AFTER),
        claim::Refusal::Taken { .. } => problem(StatusCode::CONFLICT, "ticket-used"),
        claim::Refusal::Forged => problem(StatusCode::BAD_REQUEST, "ticket-forged"),
        claim::Refusal::Expired => problem(StatusCode::CONFLICT, "ticket-expired"),
        claim::Refusal::Stopping | claim::Refusal::Unreachable | claim::Refusal::Released => {
            problem(StatusCode::SERVICE_UNAVAILABLE, "ticket-undecided")
                .retry_after(CLAIM_RETRY_AFTER)
        }
        claim::Refusal::Gone => problem(StatusCode::SERVICE_UNAVAILABLE, "ticket-lost"),
    }
}
