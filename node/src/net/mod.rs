//! The wires: each file speaks one of them, turning its messages into the core's inputs and the
//! core's effects into messages. None of them may decide anything.

pub mod admin;
pub mod callbacks;
pub mod digest;
pub mod discovery;
pub mod faktory;
pub mod hosts;
pub mod json_stream;
pub mod loss;
pub mod peers;
pub mod platform;
pub mod runners;
pub mod socket_activation;
pub mod spiffe;
