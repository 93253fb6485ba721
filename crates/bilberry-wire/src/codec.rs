//! The codec for length-delimited frames.

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use prost::Message;
use thiserror::Error;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;
use tokio_util::codec::LengthDelimitedCodec;

use crate::Frame;

/// The maximum size of a frame that is sent or accepted.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// The size of the length that precedes a frame, in network byte order.
const LENGTH_BYTES: usize = 3;

/// Why a frame could not be sent or read.
#[derive(Debug, Error)]
pub enum WireError {
    /// The connection failed, or a frame exceeded [`MAX_FRAME_BYTES`].
    #[error("the connection failed: {0}; it is reopened on the next call")]
    Io(#[from] std::io::Error),
    /// The bytes do not decode as a [`Frame`].
    #[error("failed to decode a frame: {0}; check that both peers run the same release")]
    Decode(#[from] prost::DecodeError),
}

/// Encodes and decodes frames.
#[derive(Debug)]
pub struct FrameCodec {
    length_codec: LengthDelimitedCodec,
}

impl FrameCodec {
    /// Creates a codec.
    pub fn new() -> Self {
        let length_codec = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .length_field_length(LENGTH_BYTES)
            .new_codec();
        Self { length_codec }
    }
}

impl Default for FrameCodec {
    fn default() -> Self {
        Self::new()
    }
}

impl Encoder<Frame> for FrameCodec {
    type Error = WireError;

    fn encode(&mut self, frame: Frame, out: &mut BytesMut) -> Result<(), WireError> {
        let bytes = Bytes::from(frame.encode_to_vec());
        Ok(self.length_codec.encode(bytes, out)?)
    }
}

impl Decoder for FrameCodec {
    type Item = Frame;
    type Error = WireError;

    fn decode(&mut self, bytes: &mut BytesMut) -> Result<Option<Frame>, WireError> {
        // The codec's own decoder reserves the announced length before a byte of the frame
        // has arrived, for as many connections as there are.
        let Some(mut header) = bytes.get(..LENGTH_BYTES) else { return Ok(None) };
        let length = header.get_uint(LENGTH_BYTES) as usize;
        if length > MAX_FRAME_BYTES {
            let kind = std::io::ErrorKind::InvalidData;
            return Err(std::io::Error::new(kind, "frame size too big").into());
        }
        if bytes.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        bytes.advance(LENGTH_BYTES);
        Ok(Some(Frame::decode(bytes.split_to(length))?))
    }
}
