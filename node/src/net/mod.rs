//! The wires: each file speaks one of them, turning its messages into the core's inputs and the
//! core's effects into messages. None of them may decide anything.

pub mod callbacks;
pub mod digest;
pub mod discovery;
pub mod door;
pub mod faktory;
pub mod hosts;
pub mod inherit;
pub mod loss;
pub mod objects;
pub mod peers;
pub mod platform;
pub mod runners;
pub mod spiffe;
