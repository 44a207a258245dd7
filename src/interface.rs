//! The module's interface: settings, events, actions, ids and times. Nothing here decides.
//!
//! The host interns every name (worker, class, tenant, zone, machine kind) to a small dense number
//! before it reaches the library and keeps the tables to turn numbers back into names.

mod events;
mod settings;
mod units;
mod validate;

pub use events::*;
pub use settings::*;
pub use units::*;
pub use validate::SettingsError;
