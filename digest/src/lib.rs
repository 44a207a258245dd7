//! Load digests: one publisher asks each runner for its load and tells every dispatcher what has changed, so that
//! what a dispatcher pays no longer grows with runners times dispatchers. This crate owns the form of a digest,
//! what is told of it when, and what a follower may believe. It must never read a clock or touch a socket, nor
//! decide where a request goes.

mod follower;
mod frame;
mod publisher;
mod quantize;

pub use follower::{ApplyOutcome, Follower};
pub use frame::{Frame, FrameDecoder, FrameError, Load, MAX_FRAME_BYTES};
pub use publisher::Publisher;
pub use quantize::{dequantize, quantize};
