//! Load digests: one publisher polls each runner for its load and sends the changes to every dispatcher, so
//! that the total cost of polling no longer grows with runners times dispatchers. This crate contains the
//! encoding of a digest, the publisher's choice of what to send when, and the follower's check of what it
//! receives. Contains no clock, no I/O and no routing decisions.

mod follower;
mod frame;
mod publisher;
mod quantize;

pub use follower::{ApplyOutcome, Follower};
pub use frame::{Frame, FrameDecoder, FrameError, Load, MAX_FRAME_BYTES};
pub use publisher::Publisher;
pub use quantize::{dequantize, quantize};
