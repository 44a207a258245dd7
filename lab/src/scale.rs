//! The scale run: a few real dispatchers beside many hollow (simulated) ones, with hollow runners, discovery
//! and clients. Each simulated role runs in a process of its own, called a part, so that its cost can be
//! measured separately.

pub mod adoptions;
pub mod changes;
mod checks;
pub mod config;
mod control;
mod costs;
pub mod delays;
mod faults;
pub mod figures;
pub mod fit;
pub mod hollow;
pub mod hollow_group;
pub mod layout;
pub mod machine;
pub mod part;
pub mod part_clients;
pub mod part_discovery;
pub mod part_dispatchers;
mod part_process;
pub mod part_runners;
pub mod plan;
pub mod play;
pub mod point;
mod processes;
pub mod protocol;
pub mod publisher;
pub mod record_reader;
pub mod record_writers;
pub mod report;
pub mod sample;
pub mod session;
pub mod steps;
pub mod stream;
