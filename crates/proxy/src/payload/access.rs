//! Access of an attempt to a request body.

use std::sync::atomic::{AtomicU64, Ordering};

use super::{Payload, Source};

/// Access of one attempt to the body of its request; it ends when the attempt does, unless a response
/// was received: a server may read on after that.
#[derive(Debug)]
pub struct Access {
    source: Source,
    /// Generation under which the body was granted; 0 if it was not.
    generation: AtomicU64,
}

impl Access {
    /// Access that was not granted yet.
    pub fn new(source: Source) -> Self {
        Self {
            source,
            generation: AtomicU64::new(0),
        }
    }

    pub fn source(&self) -> &Source {
        &self.source
    }

    /// Returns the body, from its beginning; `None` if another attempt has it or has read from it.
    pub fn payload(&self) -> Option<Payload> {
        match &self.source {
            Source::Buffered(bytes) => Some(Payload::Buffered(bytes.clone())),
            Source::Streamed(stream) => {
                let generation = stream.grant()?;
                self.generation.store(generation, Ordering::Release);
                Some(Payload::Streamed {
                    stream: stream.clone(),
                    generation,
                })
            }
        }
    }

    /// Ends the access, and returns whether the body can still be sent from its beginning.
    pub fn revoke(&self) -> bool {
        let generation = self.generation.swap(0, Ordering::AcqRel);
        if let Source::Streamed(stream) = &self.source
            && generation != 0
        {
            stream.revoke(generation);
        }
        self.source.is_intact()
    }

    /// Leaves the body to the server that has responded.
    pub fn keep(&self) {
        self.generation.store(0, Ordering::Release);
    }
}

impl Drop for Access {
    fn drop(&mut self) {
        self.revoke();
    }
}
