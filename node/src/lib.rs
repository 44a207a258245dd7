//! The dispatcher's parts, which the program `sablerun` (`main.rs`) puts together and the tests take
//! apart: the reducer, the wires, the limits and the files an operator writes. It owns no more than
//! their names, and must never start, stop or decide anything. It is no library for others: what is
//! public here is so for the program and its tests.

#![allow(missing_docs, reason = "public for the program and its tests alone; comments stand where needed")]
#![allow(
    clippy::new_without_default,
    clippy::result_unit_err,
    clippy::should_implement_trait,
    reason = "asked of libraries for others; these parts have the program and its tests as callers"
)]

pub mod admin_calls;
pub mod assembly;
pub mod cli;
pub mod config;
pub mod core;
pub mod disabled_file;
pub mod jobs_cli;
pub mod limits;
pub mod logging;
pub mod metrics;
pub mod net;
pub mod operator;
pub mod publisher;
pub mod runtime;
pub mod snapshots;
