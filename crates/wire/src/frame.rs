//! Frames on a connection between daemons: a four-byte length followed by postcard.
//!
//! A length above the maximum closes the connection before memory is allocated for the frame.

use std::io;
use std::marker::PhantomData;
use std::pin::Pin;

use bytes::{Bytes, BytesMut};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Maximum size of a frame.
pub const MAX_BYTES: usize = 4 << 20;

/// Maximum size of a frame before the handshake has completed.
pub const MAX_HELLO_BYTES: usize = 1024;

/// Check of a frame's bytes that runs before they are decoded.
pub type Check = fn(&[u8]) -> io::Result<()>;

/// Encodes values of `O`, and decodes values of `I` whose bytes pass a check.
pub struct Codec<I, O> {
    check: Check,
    types: PhantomData<fn(O) -> I>,
}

impl<I, O> Codec<I, O> {
    /// Creates a codec that runs `check` before decoding.
    #[must_use]
    pub const fn new(check: Check) -> Self {
        Self {
            check,
            types: PhantomData,
        }
    }
}

/// Encodes one value.
///
/// # Errors
///
/// If the value cannot be encoded, or its frame would exceed [`MAX_BYTES`].
pub fn encode<T: serde::Serialize>(value: &T) -> io::Result<Bytes> {
    let encoded = postcard::to_stdvec(value);
    let encoded = encoded.map_err(|e| io::Error::new(io::ErrorKind::InvalidInput, e))?;
    if encoded.len() > MAX_BYTES {
        let text = format!(
            "frame of {} bytes exceeds the limit of {MAX_BYTES}",
            encoded.len()
        );
        return Err(io::Error::new(io::ErrorKind::InvalidInput, text));
    }
    Ok(Bytes::from(encoded))
}

/// Decodes one value from all of `bytes`.
///
/// # Errors
///
/// If `bytes` is not exactly one value.
pub fn decode<T: for<'de> serde::Deserialize<'de>>(bytes: &[u8]) -> io::Result<T> {
    let invalid = |text: String| io::Error::new(io::ErrorKind::InvalidData, text);
    let decoded = postcard::take_from_bytes(bytes);
    let (value, rest) =
        decoded.map_err(|e| invalid(format!("frame is not a valid message: {e}")))?;
    if !rest.is_empty() {
        let text = format!("frame has {} trailing bytes after its message", rest.len());
        return Err(invalid(text));
    }
    Ok(value)
}

impl<I: for<'de> serde::Deserialize<'de>, O> tokio_serde::Deserializer<I> for Codec<I, O> {
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, source: &BytesMut) -> io::Result<I> {
        (self.check)(source)?;
        decode(source)
    }
}

impl<I, O: serde::Serialize> tokio_serde::Serializer<O> for Codec<I, O> {
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, item: &O) -> io::Result<Bytes> {
        encode(item)
    }
}

/// Splits a byte stream into frames of up to [`MAX_HELLO_BYTES`] bytes.
pub fn framed<S: tokio::io::AsyncRead + tokio::io::AsyncWrite>(
    stream: S,
) -> Framed<S, LengthDelimitedCodec> {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_HELLO_BYTES)
        .new_codec();
    Framed::new(stream, codec)
}

/// tarpc transport over frames.
pub type Transport<S, I, O> = tarpc::serde_transport::Transport<S, I, O, Codec<I, O>>;

/// Creates a tarpc transport over `frames` and raises their maximum size to [`MAX_BYTES`].
pub fn transport<S, I, O>(
    mut frames: Framed<S, LengthDelimitedCodec>,
    check: Check,
) -> Transport<S, I, O>
where
    S: tokio::io::AsyncRead + tokio::io::AsyncWrite,
    I: for<'de> serde::Deserialize<'de>,
    O: serde::Serialize,
{
    frames.codec_mut().set_max_frame_length(MAX_BYTES);
    tarpc::serde_transport::new(frames, Codec::new(check))
}
