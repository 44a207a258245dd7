//! The modules of the dispatcher: the core, the wire protocols, the limits and the operators' files. This
//! library is not meant for other projects: its items are public for the program `sablerun` (`main.rs`), the
//! lab and the tests.

#![allow(missing_docs, reason = "public only for the program and its tests; documented where needed")]
#![allow(
    clippy::new_without_default,
    clippy::result_unit_err,
    clippy::should_implement_trait,
    reason = "these lints are for published libraries; the only callers are the program and its tests"
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
pub mod memory;
pub mod metrics;
pub mod net;
pub mod operator;
pub mod publisher;
pub mod replacement;
pub mod runtime;
pub mod shared;
pub mod snapshots;
