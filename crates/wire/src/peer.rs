//! The RPC service that every daemon offers to its peers.

use std::io;
use std::time::Duration;

use monsooncart_policy::claims::{claim, handover};

use crate::{claims, configuration, floor, sync, update, usage};

/// Calls between daemons; their order is part of the wire format.
#[tarpc::service]
pub trait Peer {
    /// Claims a ticket that the callee minted.
    async fn claim(request: claims::Claim) -> Result<(), claim::Refusal>;
    /// Releases the claim on a ticket, which can then be claimed again.
    async fn release(request: claims::Release) -> Result<(), claim::Refusal>;
    /// Records the outcome of a claimed request.
    async fn settle(request: claims::Settle) -> Result<(), claim::Refusal>;
    /// Returns the state of a ticket.
    async fn outcome(request: claims::Outcome) -> Result<claim::State, claim::Refusal>;
    /// Transfers a part of a claim table to the callee.
    async fn hand_over(request: claims::HandOver) -> handover::Reply;
    /// Compares the caller's configuration with the callee's.
    async fn digest(request: configuration::Digest) -> configuration::Difference;
    /// Returns configuration objects that are newer than the caller's.
    async fn pull(request: configuration::Pull) -> configuration::Objects;
    /// Delivers updates.
    async fn news(items: Vec<update::Item>);
    /// Stores a copy of the caller's usage counters.
    async fn keep_usage(copy: usage::Copy);
    /// Returns stored copies of usage counters.
    async fn fetch_usage(request: usage::Fetch) -> usage::Copies;
    /// Sends a request to a holder of ejection tokens.
    async fn floor(request: floor::Request) -> floor::Reply;
    /// Reconciles the membership tables and the retained updates.
    async fn sync(request: sync::Request) -> sync::Reply;
    /// Returns parts of the routing, or waits briefly for some to arrive.
    async fn parts(request: configuration::PartsRequest) -> configuration::PartsReply;
}

/// Maximum time until the deadline of a request. tarpc panics on a deadline that overflows
/// `Instant`.
const MAX_TIME_TO_DEADLINE: Duration = Duration::from_secs(3600);

/// First fields of tarpc's encoding of a request or a cancellation.
#[derive(serde::Deserialize)]
enum Prefix {
    Request { deadline: Duration },
    Cancel,
}

/// Checks the bytes of a request before tarpc decodes them.
///
/// # Errors
///
/// If the bytes are not the start of a request or a cancellation, or the deadline of the request is
/// more than one hour away.
pub fn check_request(bytes: &[u8]) -> io::Result<()> {
    let invalid = |text: String| io::Error::new(io::ErrorKind::InvalidData, text);
    let prefix = postcard::take_from_bytes(bytes);
    match prefix.map_err(|e| invalid(format!("frame is not a valid request: {e}")))? {
        (Prefix::Request { deadline }, _) if deadline > MAX_TIME_TO_DEADLINE => {
            let text = format!(
                "request deadline {deadline:?} exceeds the limit of {MAX_TIME_TO_DEADLINE:?}"
            );
            Err(invalid(text))
        }
        _ => Ok(()),
    }
}

/// Accepts the bytes of any reply.
///
/// # Errors
///
/// Never.
pub fn check_reply(_: &[u8]) -> io::Result<()> {
    Ok(())
}
