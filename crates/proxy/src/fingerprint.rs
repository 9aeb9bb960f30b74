//! Fingerprints of requests, by which repeats of a request are recognised.
//!
//! Requests are the same if their organisation, method, target and body are: what crashes a server for one
//! caller may be answered for another. A relay knows the organisation by the name that the requesting daemon
//! sets, so both form the same fingerprint. Daemons of earlier builds leave the organisation out, and what
//! they report is about no request of this one.
//!
//! The fingerprint of a whole request is formed once its body was received, so that a body that turns
//! out to be streamed is not hashed. That of a head, with the length that it states, stands for all
//! requests that could be the same one as long as their bodies are unknown.

use monsooncart_policy::handle;
use monsooncart_types::id;
use sha2::Digest as _;

/// Forms the fingerprints of a request.
#[derive(Clone)]
pub struct Hasher(sha2::Sha256);

impl Hasher {
    /// Starts with the organisation, the method and the target of a request.
    pub fn new<B>(organisation: &id::Organisation, request: &http::Request<B>) -> Self {
        let mut digest = sha2::Sha256::new();
        let target = request.uri().path_and_query();
        let target = target.map_or("/", |target| target.as_str());
        let (organisation, method) = (organisation.as_str(), request.method().as_str());
        for part in [organisation, "\n", method, " ", target, "\n"] {
            digest.update(part);
        }
        Self(digest)
    }

    /// Adds a part of the body.
    pub fn update(&mut self, body: &[u8]) {
        self.0.update(body);
    }

    /// Fingerprint of the request with this body, or with this rest of one.
    pub fn finish(mut self, body: &[u8]) -> handle::Fingerprint {
        self.0.update(body);
        handle::Fingerprint::of_request(truncate(self.0))
    }

    /// Fingerprint of a head whose body has this length; `None` if the head does not state it.
    pub fn finish_head(mut self, body_bytes: Option<u64>) -> handle::Fingerprint {
        match body_bytes {
            Some(bytes) => self.0.update(bytes.to_be_bytes()),
            None => self.0.update("unknown"),
        }
        handle::Fingerprint::of_head(truncate(self.0))
    }
}

fn truncate(digest: sha2::Sha256) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&digest.finalize()[..8]);
    u64::from_be_bytes(first)
}
