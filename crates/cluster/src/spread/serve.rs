//! Serves parts of the routing to other daemons.

use std::sync::Arc;
use std::time::Duration;

use monsooncart_config::object;
use monsooncart_wire::{configuration, frame};
use tokio::time;

use crate::shared;

/// Time for which a request waits for parts to arrive.
const MAX_WAIT: Duration = Duration::from_millis(200);

/// Answers a request with what this daemon has, as soon as it has anything that the caller lacks.
pub(crate) async fn answer_parts(
    shared: &Arc<shared::Shared>,
    request: configuration::PartsRequest,
) -> configuration::PartsReply {
    let replica = &shared.replica;
    // The caller may have heard of the version earlier than this daemon.
    replica.record_announcement(&object::Key::Routing, request.version, request.holder);
    let deadline = time::Instant::now() + MAX_WAIT;
    let mut arrivals = replica.staging.arrivals();
    loop {
        arrivals.borrow_and_update();
        let reply = replica.staging.reply(&replica.snapshot(), &request);
        if reply.manifest.is_some() || !reply.contents.is_empty() {
            return pace(shared, reply).await;
        }
        if !matches!(
            time::timeout_at(deadline, arrivals.changed()).await,
            Ok(Ok(()))
        ) {
            return configuration::PartsReply::default();
        }
    }
}

/// Delays a reply to keep to the upload rate; an empty reply makes the caller try another member.
async fn pace(
    shared: &shared::Shared,
    reply: configuration::PartsReply,
) -> configuration::PartsReply {
    let size_bytes = frame::encode(&reply).map_or(0, |bytes| bytes.len());
    let now = shared.now();
    let Some(send_at) = shared::lock(&shared.upload_pacer).admit(now, size_bytes) else {
        return configuration::PartsReply::default();
    };
    time::sleep(send_at.since(now)).await;
    shared::add(&shared.counters.part_bytes_served, size_bytes);
    reply
}
