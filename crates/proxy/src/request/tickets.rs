//! Answers `POST /v1/tickets` and `GET /v1/tickets/T`, and refused claims.

use std::time::Duration;

use http::{Method, StatusCode};
use hyper::body::Incoming;
use monsooncart_policy::claims::{claim as claims, ticket};
use monsooncart_policy::outcome;

use crate::request::{Answer, contract, document};
use crate::{engine, problem};

/// When to come back for a ticket whose minter cannot decide now.
const CLAIM_RETRY: Duration = Duration::from_secs(1);

#[derive(serde::Serialize)]
struct Minted {
    ticket: String,
}

/// Where the work of a ticket stands.
#[derive(serde::Serialize)]
struct Standing {
    ticket: String,
    state: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    status: Option<u16>,
}

impl Standing {
    fn new(ticket: ticket::Ticket, state: claims::State) -> Self {
        let status = match state {
            claims::State::Answered(status) => Some(status),
            _ => None,
        };
        Self {
            ticket: ticket.to_string(),
            state: state.to_string(),
            status,
        }
    }
}

/// Mints a ticket, or tells where the work of one stands; `rest` is the path after `/v1/tickets`.
///
/// # Errors
///
/// The answer where there is no ticket to speak of.
pub async fn answer(
    shared: &engine::Shared,
    request: &http::Request<Incoming>,
    rest: &str,
) -> Result<Answer, problem::Problem> {
    contract::organisation(shared, request)?;
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
        Ok(state) => Ok(document(StatusCode::OK, &Standing::new(ticket, state))),
        Err(claims::Refusal::Gone) => {
            let state = claims::State::Unknown;
            Ok(document(StatusCode::OK, &Standing::new(ticket, state)))
        }
        Err(refusal) => Err(refused(refusal)),
    }
}

fn mint(
    shared: &engine::Shared,
    request: &http::Request<Incoming>,
) -> Result<Answer, problem::Problem> {
    if request.method() != Method::POST {
        return Err(problem::Problem::wrong_method("POST"));
    }
    let ticket = shared.common.claims.mint().ok_or_else(|| {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        let detail = "daemon is stopping and mints no tickets";
        problem::Problem::not_run(status, "stopping", detail).retry_after(CLAIM_RETRY)
    })?;
    let ticket = ticket.to_string();
    Ok(document(StatusCode::CREATED, &Minted { ticket }))
}

/// The answer to a request whose claim was not granted.
///
/// This attempt was not run, but an earlier one with the ticket may have been, and the outcome
/// speaks of the work: it is unknown, and sending again with the same ticket is safe.
pub fn refused(refusal: claims::Refusal) -> problem::Problem {
    let detail = format!("this attempt was not run: {refusal}");
    let problem = |status, title| {
        let mut problem = problem::Problem::not_run(status, title, detail.clone());
        problem.run = outcome::Execution::Unknown;
        problem
    };
    match refusal {
        claims::Refusal::Taken {
            state: claims::State::Claimed | claims::State::Open,
        } => problem(StatusCode::CONFLICT, "ticket-claimed").retry_after(CLAIM_RETRY),
        claims::Refusal::Taken { .. } => problem(StatusCode::CONFLICT, "ticket-used"),
        claims::Refusal::Forged => problem(StatusCode::BAD_REQUEST, "ticket-forged"),
        claims::Refusal::Expired => problem(StatusCode::CONFLICT, "ticket-expired"),
        claims::Refusal::Stopping | claims::Refusal::Unreachable | claims::Refusal::Released => {
            problem(StatusCode::SERVICE_UNAVAILABLE, "ticket-undecided").retry_after(CLAIM_RETRY)
        }
        claims::Refusal::Gone => problem(StatusCode::SERVICE_UNAVAILABLE, "ticket-lost"),
    }
}
