//! The settings object that a dispatcher receives, as JSON, and what follows from it: the module's
//! [`Settings`](sablerun::Settings) and the tables that turn names into ids and back. The adapter reads
//! the object from the simulator's first message and the real program from its configuration, so
//! this crate owns its form and must never read a clock, a file or a socket, nor decide anything.

#![allow(missing_docs, reason = "the fields are the settings' own; the operators' pages explain them")]

mod convert;
mod env;
mod reconcile;
mod tables;

pub use env::*;
pub use reconcile::{Reconciled, reconcile};
pub use tables::{Field, NameTable, Tables};
