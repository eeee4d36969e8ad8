//! Wire format of the messages between instances: protobuf in length-delimited frames.
//!
//! Invariants:
//! - decoding an encoded message yields the same message, with durations truncated to whole
//!   milliseconds and to [`model::SPAN_MAX`];
//! - no input makes the decoder panic; a missing required field is an error;
//! - the codec neither sends nor accepts a frame larger than [`MAX_FRAME_BYTES`].

mod decode;
mod encode;
mod generated;

#[cfg(test)]
mod tests;

pub use decode::{DecodeError, decode};
pub use encode::encode;
use tokio_util::codec::LengthDelimitedCodec;

/// Largest frame that is sent or accepted: a published configuration of one megabyte and the other
/// fields of its message.
pub const MAX_FRAME_BYTES: usize = 1_100_000;

/// Returns the frame codec for a connection between two instances.
pub fn framing() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}
