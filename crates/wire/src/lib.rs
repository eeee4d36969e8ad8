//! The encoding of messages between instances: protobuf in length-delimited frames.
//!
//! Invariants:
//! - decoding what was encoded yields the same message;
//! - no input makes the decoder panic; a message that lacks a required part is an error;
//! - a frame never exceeds [`MAX_FRAME_BYTES`].

mod decode;
mod encode;
mod generated;

#[cfg(test)]
mod tests;

pub use decode::{DecodeError, decode};
pub use encode::encode;
use tokio_util::codec::LengthDelimitedCodec;

/// Largest frame: a published configuration of a megabyte and its envelope.
pub const MAX_FRAME_BYTES: usize = 1_100_000;

/// Returns the framing of a connection between two instances.
pub fn framing() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}
