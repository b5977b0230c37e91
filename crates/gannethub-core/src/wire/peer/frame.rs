//! Frames: a message's length in four bytes, most significant first, and the message.

use bytes::{Buf, BufMut, BytesMut};
use prost::Message;

use super::message::Envelope;

/// A longer frame is garbage, and ends the connection.
pub const MAX_FRAME_BYTES: usize = 256 * 1024;

const LENGTH_BYTES: usize = 4;

/// A frame that cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    #[error("a frame of {0} bytes is over the limit")]
    TooLong(usize),
    #[error("not a message: {0}")]
    Garbled(#[from] prost::DecodeError),
}

/// Appends a message to `out` as one frame.
pub fn encode_frame(message: &Envelope, out: &mut BytesMut) {
    out.put_u32(message.encoded_len() as u32);
    // A BytesMut grows, so encoding cannot run out of room.
    let _ = message.encode(out);
}

/// Takes the next whole frame off `buf`, if there is one.
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
