//! The scale run: a few real dispatchers beside many hollow ones, hollow runners, discovery and clients, each
//! role in a process of its own so that its cost can be read. It owns what a run consists of; it must never
//! measure one role's cost inside another's process.

pub mod acts;
pub mod changes;
mod checks;
pub mod config;
mod control;
mod costs;
pub mod delays;
mod faults;
pub mod figures;
pub mod fit;
pub mod herd;
pub mod hollow;
pub mod joined;
pub mod layout;
pub mod machine;
pub mod part;
pub mod part_clients;
pub mod part_discovery;
pub mod part_dispatchers;
mod part_link;
pub mod part_runners;
pub mod plan;
pub mod play;
pub mod point;
mod processes;
pub mod publisher;
pub mod records;
pub mod report;
pub mod sample;
pub mod session;
pub mod steps;
pub mod stream;
pub mod words;
