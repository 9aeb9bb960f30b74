//! Swaps the responses of two concurrent requests.

use std::sync::{Mutex, PoisonError};

use tokio::sync::oneshot;

/// The fields that identify a response.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Id of the request.
    pub id: String,
    /// Attempt id set by the fleet.
    pub attempt: String,
    /// Path and query.
    pub target: String,
}

#[derive(Debug)]
struct Waiting {
    identity: Identity,
    swap: oneshot::Sender<Identity>,
}

/// A request that waits for another one to swap responses with.
#[derive(Debug, Default)]
pub struct Crossing(Mutex<Option<Waiting>>);

impl Crossing {
    /// Waits for another request, swaps identities with it and returns its identity.
    pub async fn swap(&self, identity: Identity) -> Identity {
        let own = identity.clone();
        let receiver = {
            let mut waiting = self.0.lock().unwrap_or_else(PoisonError::into_inner);
            match waiting.take().filter(|other| !other.swap.is_closed()) {
                Some(other) => {
                    let theirs = other.identity;
                    if other.swap.send(identity).is_ok() {
                        return theirs;
                    }
                    return own;
                }
                None => {
                    let (swap, receiver) = oneshot::channel();
                    *waiting = Some(Waiting { identity, swap });
                    receiver
                }
            }
        };
        receiver.await.unwrap_or(own)
    }
}
