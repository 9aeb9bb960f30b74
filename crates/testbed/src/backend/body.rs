//! Bodies of responses.

use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Frame, SizeHint};

use super::pattern;

/// Delay before a cut, so that the preceding bytes are sent.
const CUT_DELAY: Duration = Duration::from_millis(20);

/// Error that truncates a response on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("response is truncated on purpose")]
pub struct Cut;

#[derive(Debug)]
enum Content {
    Text(Bytes),
    Pattern(pattern::Pattern),
}

/// Body of a response.
#[derive(Debug)]
pub struct Body {
    content: Content,
    total_bytes: u64,
    sent_bytes: u64,
    cut_after: Option<u64>,
    cut_delay: Option<Pin<Box<tokio::time::Sleep>>>,
    /// Held until the complete response was sent.
    slot: Option<super::slots::Slot>,
}

impl Body {
    /// Creates a body of the given bytes.
    pub fn text(bytes: Bytes) -> Self {
        let total_bytes = bytes.len() as u64;
        Self::new(Content::Text(bytes), total_bytes)
    }

    /// Creates a body of `total_bytes` bytes of a pattern.
    pub fn pattern(pattern: pattern::Pattern, total_bytes: u64) -> Self {
        Self::new(Content::Pattern(pattern), total_bytes)
    }

    fn new(content: Content, total_bytes: u64) -> Self {
        Self {
            content,
            total_bytes,
            sent_bytes: 0,
            cut_after: None,
            cut_delay: None,
            slot: None,
        }
    }

    /// Breaks the connection after the given number of bytes.
    pub fn cut_after(mut self, bytes: Option<u64>) -> Self {
        self.cut_after = bytes;
        self
    }

    /// Holds a slot until the complete response was sent.
    pub fn holding(mut self, slot: super::slots::Slot) -> Self {
        self.slot = Some(slot);
        self
    }

    fn next_piece(&self) -> Option<Bytes> {
        match &self.content {
            Content::Text(bytes) => {
                let sent = usize::try_from(self.sent_bytes).unwrap_or(usize::MAX);
                (sent < bytes.len()).then(|| bytes.slice(sent..))
            }
            Content::Pattern(pattern) => pattern.piece(self.sent_bytes, self.total_bytes),
        }
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        let remaining = self
            .cut_after
            .map(|cut| cut.saturating_sub(self.sent_bytes));
        if remaining == Some(0) {
            let delay = || Box::pin(tokio::time::sleep(CUT_DELAY));
            let delay = self.cut_delay.get_or_insert_with(delay);
            ready!(delay.as_mut().poll(cx));
            return Poll::Ready(Some(Err(Cut)));
        }
        let Some(mut piece) = self.next_piece() else {
            self.slot = None;
            return Poll::Ready(None);
        };
        if let Some(remaining) = remaining {
            piece.truncate(usize::try_from(remaining).unwrap_or(usize::MAX));
        }
        self.sent_bytes += piece.len() as u64;
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.sent_bytes == self.total_bytes && self.cut_after.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.total_bytes - self.sent_bytes)
    }
}
