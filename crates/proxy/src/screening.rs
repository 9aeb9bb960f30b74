//! Identification of suspected requests whose bodies are streamed.
//!
//! A server begins to run a request when it has all of it. So the last part of the body is held back until
//! the whole of it was received and its fingerprint is known. A quarantined request is broken off then,
//! however large it is, without more of it in memory than one part.

use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;

use bytes::Bytes;
use http_body::Frame;
use monsooncart_policy::handle;

use crate::{fingerprint, service};

/// Identifies one request while its body is streamed.
pub struct Screening {
    hasher: fingerprint::Hasher,
    service: Arc<service::Service>,
    request: handle::Request,
    /// Frames that are held back.
    held: VecDeque<Frame<Bytes>>,
    /// Whether the request was identified and may be sent to its end.
    is_passed: bool,
}

impl Screening {
    /// Screens a request, whose head the hasher has.
    pub fn new(
        hasher: fingerprint::Hasher,
        service: Arc<service::Service>,
        request: handle::Request,
    ) -> Self {
        Self {
            hasher,
            service,
            request,
            held: VecDeque::new(),
            is_passed: false,
        }
    }

    /// Adds the next frame of the body.
    pub fn push(&mut self, frame: Frame<Bytes>) {
        if let Some(data) = frame.data_ref() {
            self.hasher.update(data);
        }
        self.held.push_back(frame);
    }

    /// Returns the next frame that may be sent.
    pub fn pop(&mut self) -> Option<Frame<Bytes>> {
        let first_data = self.held.iter().position(Frame::is_data);
        let is_last_data = first_data.is_none_or(|first| {
            let mut later = self.held.iter().skip(first + 1);
            !later.any(Frame::is_data)
        });
        if is_last_data && !self.is_passed {
            return None;
        }
        self.held.pop_front()
    }

    /// Whether no frame is held back.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Identifies the request, all of whose body was pushed; returns whether it may be sent to its end.
    pub fn pass(&mut self) -> bool {
        let fingerprint = self.hasher.clone().finish(&[]);
        self.is_passed = !self.service.identify(self.request, fingerprint);
        self.is_passed
    }
}

impl fmt::Debug for Screening {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Screening")
            .field("request", &self.request)
            .field("held", &self.held.len())
            .finish_non_exhaustive()
    }
}
