//! Load digests: one publisher asks each runner for its load and tells every dispatcher what has changed, so that
//! what a dispatcher pays no longer grows with runners times dispatchers. This crate owns the form of a digest,
//! what is told of it when, and what a follower may believe. It must never read a clock or touch a socket, nor
//! decide where a request goes.

mod code;
mod follower;
mod frame;
mod publisher;

pub use code::{decode, encode};
pub use follower::{Follower, Taken};
pub use frame::{Frame, LONGEST, Load, Stream, Unreadable};
pub use publisher::Publisher;
