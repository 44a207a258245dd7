//! The scale run: a few real dispatchers beside many hollow ones, hollow runners, discovery and clients, each
//! role in a process of its own so that its cost can be read. It owns what a run consists of; it must never
//! measure one role's cost inside another's process.

pub mod acts;
pub mod config;
pub mod herd;
pub mod hollow;
pub mod part;
pub mod part_clients;
pub mod part_discovery;
pub mod part_dispatchers;
pub mod part_runners;
pub mod records;
pub mod steps;
pub mod stream;
pub mod words;
