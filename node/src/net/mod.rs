//! The network protocols: each module converts the messages of one protocol to inputs of the core, and the
//! core's effects to messages. Decisions are made in `core`.

pub mod admin;
pub mod callbacks;
pub mod digest;
pub mod discovery;
pub mod faktory;
pub mod hosts;
pub mod json_stream;
pub mod peers;
pub mod platform;
pub mod runners;
pub mod socket_activation;
pub mod spiffe;
pub mod watch;
