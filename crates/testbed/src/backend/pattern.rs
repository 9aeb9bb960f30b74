//! Large bodies in which every byte is a function of the request id and the offset.

use bytes::{Bytes, BytesMut};

const BLOCK_BYTES: u64 = 8;

/// Size of a piece of a streamed body.
const PIECE_BYTES: u64 = 64 << 10;

/// The body for a request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pattern(u64);

/// Offset basis and prime of the 64-bit FNV-1a hash.
const FNV: (u64, u64) = (0xcbf2_9ce4_8422_2325, 0x0100_0000_01b3);

impl Pattern {
    /// Creates the pattern of an id.
    #[must_use]
    pub fn new(id: &str) -> Self {
        let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV.1);
        Self(id.bytes().fold(FNV.0, mix))
    }

    /// Returns a block, generated with splitmix64.
    fn block(self, index: u64) -> [u8; 8] {
        let mut z = self
            .0
            .wrapping_add(index.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (z ^ (z >> 31)).to_le_bytes()
    }

    /// Returns `length` bytes from `offset`.
    #[must_use]
    pub fn bytes(self, offset: u64, length: u64) -> Bytes {
        let (first, last) = (
            offset / BLOCK_BYTES,
            (offset + length).div_ceil(BLOCK_BYTES),
        );
        let size = usize::try_from((last - first) * BLOCK_BYTES).unwrap_or_default();
        let mut bytes = BytesMut::with_capacity(size);
        for index in first..last {
            bytes.extend_from_slice(&self.block(index));
        }
        let skip = usize::try_from(offset % BLOCK_BYTES).unwrap_or_default();
        let length = usize::try_from(length).unwrap_or_default();
        bytes.freeze().slice(skip..skip + length)
    }

    /// Returns the piece at `offset` of a body of `total` bytes; `None` at the end.
    #[must_use]
    pub fn piece(self, offset: u64, total: u64) -> Option<Bytes> {
        let length = PIECE_BYTES.min(total.saturating_sub(offset));
        (length > 0).then(|| self.bytes(offset, length))
    }

    /// Whether `bytes` are the content at `offset`.
    #[must_use]
    pub fn matches(self, offset: u64, bytes: &[u8]) -> bool {
        self.bytes(offset, bytes.len() as u64) == bytes
    }
}
