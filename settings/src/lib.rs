//! The settings object that a dispatcher receives as JSON, and its conversion to the balancer's
//! [`Settings`](sablerun::Settings) and to the tables that map names to ids and back. The adapter to the
//! simulator reads the object from the first message, the dispatcher program from its configuration. Contains
//! no I/O and no clock.

#![allow(missing_docs, reason = "fields are named after the settings; the operators' pages explain them")]

mod convert;
mod env;
mod reconcile;
mod tables;

pub use env::*;
pub use reconcile::{Reconciled, reconcile};
pub use tables::{Field, NameTable, Tables};
