//! The project's own rig: stand-ins for all that a dispatcher speaks to, written from the platform's
//! public pages, real dispatcher processes between them, and experiments that are played on both. It owns
//! the truth about what ran where; it must never share code with the dispatcher, whose claims it tests,
//! nor leave the loopback addresses.

pub mod census;
pub mod chart;
pub mod clients;
pub mod discovery;
pub mod experiment;
pub mod fleet;
pub mod hall;
pub mod http;
pub mod play;
pub mod scripted;
