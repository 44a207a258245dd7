//! The balancer's interface: settings, events, actions, ids and times. Contains no decisions.
//!
//! The host maps every name (worker, class, tenant, zone, machine kind) to a small dense number before it
//! reaches the library, and keeps the tables that turn numbers back into names.

mod events;
mod settings;
mod units;
mod validate;

pub use events::*;
pub use settings::*;
pub use units::*;
pub use validate::SettingsError;
