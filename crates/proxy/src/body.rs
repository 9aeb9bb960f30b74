//! The body of an answer to a caller.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Frame, SizeHint};

use crate::{answer, own};

/// The body of an answer to a caller.
pub enum Body {
    /// The fleet's own.
    Own(Box<own::Own>),
    /// A server's.
    Passed(Box<answer::Answer>),
}

impl Body {
    /// The fleet's own bytes.
    pub fn own(bytes: Bytes) -> Self {
        Self::Own(Box::new(own::Own::new(bytes)))
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = answer::Fault;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, answer::Fault>>> {
        match &mut *self {
            Self::Own(own) => Poll::Ready(own.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Passed(answer) => Pin::new(answer.as_mut()).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Own(own) => own.len() == 0,
            Self::Passed(answer) => answer.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Own(own) => SizeHint::with_exact(own.len() as u64),
            Self::Passed(answer) => answer.size_hint(),
        }
    }
}
