//! The network protocols: each module converts the messages of one protocol to inputs of the core, and the
//! core's effects to messages. Decisions are made in `core`.

pub mod admin;
pub mod callbacks;
pub mod digest;
pub mod discovery;
pub mod faktory;
pub mod head_scanner;
pub mod hosts;
pub mod json_stream;
pub mod peers;
pub mod platform;
pub mod runners;
mod sliced_body;
pub mod socket_activation;
pub mod spiffe;
pub mod watch;
