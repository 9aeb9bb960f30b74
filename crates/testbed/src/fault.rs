//! A fault-injecting proxy for TCP and UDP.
//!
//! A [`proxy::Proxy`] has named [`link::Link`]s. A link listens on one address for both protocols
//! and forwards everything to its target, subject to [`rule::Rule`]s for each direction, which can
//! change at run time. All random choices follow from the seed of the proxy.
//!
//! While a link is cut, the bytes of a TCP connection are buffered, and forwarded once the cut is
//! removed, as with retransmission; a connection opened while either direction is cut reaches the
//! target only afterwards. Datagrams are lost during a cut.

pub mod control;
pub mod link;
pub mod proxy;
pub mod rule;

mod datagrams;
mod streams;
