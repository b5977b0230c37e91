//! Frames: the length of a message in four bytes, most significant first, followed by the message.

use bytes::{Buf, BufMut, BytesMut};
use prost::Message;

use super::message::Envelope;

/// Maximum length of the message in a frame, in bytes. A longer frame is malformed and ends the connection.
pub const MAX_FRAME_BYTES: usize = 256 * 1024;

const LENGTH_BYTES: usize = 4;

/// An error in a received frame.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    #[error("frame of {0} bytes exceeds the size limit")]
    TooLong(usize),
    #[error("cannot decode message: {0}")]
    Malformed(#[from] prost::DecodeError),
}

/// Appends a message to `out` as one frame.
pub fn encode_frame(message: &Envelope, out: &mut BytesMut) {
    out.put_u32(message.encoded_len() as u32);
    // Encoding fails only if the buffer is full, and a BytesMut grows.
    let _ = message.encode(out);
}

/// Removes the next complete frame from `buf` and decodes it. Returns `None` if no frame is complete yet.
pub fn decode_frame(buf: &mut BytesMut) -> Result<Option<Envelope>, FrameError> {
    let Some(length) = buf.first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*length) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong(length));
    }
    if buf.len() < LENGTH_BYTES + length {
        return Ok(None);
    }
    buf.advance(LENGTH_BYTES);
    let message = buf.split_to(length).freeze();
    Ok(Some(Envelope::decode(message)?))
}

#[cfg(test)]
mod tests;
