//! Counters of an engine.

use std::sync::atomic::AtomicU64;

/// Counters of an engine, exported as metrics.
#[derive(Debug, Default)]
pub struct Counters {
    /// Datagrams sent.
    pub datagrams_sent: AtomicU64,
    /// Bytes of datagrams sent, without UDP and IP headers.
    pub datagram_bytes_sent: AtomicU64,
    /// Datagrams received and accepted.
    pub datagrams_received: AtomicU64,
    /// Bytes of datagrams received and accepted.
    pub datagram_bytes_received: AtomicU64,
    /// Bytes of calls sent: requests of this daemon and replies to others.
    pub call_bytes_sent: AtomicU64,
    /// Bytes of calls received.
    pub call_bytes_received: AtomicU64,
    /// Datagrams and connections refused.
    pub refused: AtomicU64,
    /// Calls to the platform's object API; each watch counts as one.
    pub platform_calls: AtomicU64,
    /// Times that the platform's store was found to be restored from a backup.
    pub store_restores: AtomicU64,
    /// Bytes of parts of the routing served to other daemons.
    pub part_bytes_served: AtomicU64,
    /// Bytes of parts of the routing received from other daemons.
    pub part_bytes_received: AtomicU64,
    /// Reads of the VM list.
    pub vm_list_reads: AtomicU64,
    /// Deliveries of updates dropped because of the limit on concurrent calls.
    pub updates_dropped: AtomicU64,
}
