//! Connections between daemons that carry relayed requests.

use tokio::io::{AsyncRead, AsyncWrite};

/// A byte stream between two daemons, with or without TLS.
pub trait Stream: AsyncRead + AsyncWrite + Unpin + Send + std::fmt::Debug {}

impl<S: AsyncRead + AsyncWrite + Unpin + Send + std::fmt::Debug> Stream for S {}
