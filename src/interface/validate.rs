//! Which settings make sense. It names the first that does not, and must never mend one, nor decide
//! anything beside that.

use super::{Settings, Span};
use std::fmt;

/// Most that a tick, or the time between progress notes, may be: an hour. Multiples of them are reckoned
/// with, and by far more they would overflow.
const LONGEST: Span = Span(3_600_000_000_000);

impl Settings {
    /// Whether the settings make sense.
    ///
    /// # Errors
    ///
    /// Names the first setting that does not.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let share = |x: f64| (0.0..=1.0).contains(&x);
        let price = |x: f64| x.is_finite() && x >= 0.0;
        let positive = |x: f64| x.is_finite() && x > 0.0;
        let tests = [
            (self.dispatchers > 0, "dispatchers"),
            (self.number < self.dispatchers, "number"),
            (!self.classes.is_empty(), "classes"),
            (self.max_attempts > 0 && self.max_attempts < 255, "max_attempts"),
            (self.tick.0 > 0 && self.tick <= LONGEST, "tick"),
            (self.progress <= LONGEST, "progress"),
            (share(self.cold_from) && self.cold_from > 0.0, "cold_from"),
            (positive(self.fall_multiple), "fall_multiple"),
            (share(self.over_share_worth), "over_share_worth"),
            (price(self.prices.cross_zone), "prices.cross_zone"),
            (price(self.prices.handshake), "prices.handshake"),
            (price(self.prices.waste), "prices.waste"),
            (price(self.prices.probe), "prices.probe"),
            (price(self.prices.late_fail), "prices.late_fail"),
            (self.budget.is_none_or(|b| price(b.floor)), "budget.floor"),
            (self.budget.is_none_or(|b| share(b.ratio)), "budget.ratio"),
            (self.budget.is_none_or(|b| b.window.0 > 0), "budget.window"),
            (price(self.tail.weight), "tail.weight"),
            (share(self.tail.tolerated), "tail.tolerated"),
            (self.classes.iter().all(|c| c.deadline.0 > 0), "classes.deadline"),
            (self.classes.iter().all(|c| positive(c.worth)), "classes.worth"),
            (self.classes.iter().all(|c| c.stretch.is_finite() && c.stretch >= 0.0), "classes.stretch"),
            (
                self.tenants.iter().all(|t| t.quota_per_s.is_finite() && t.quota_per_s >= 0.0),
                "tenants.quota_per_s",
            ),
        ];
        match tests.into_iter().find(|(good, _)| !good) {
            Some((_, name)) => Err(SettingsError(name)),
            None => Ok(()),
        }
    }
}

/// Settings that make no sense; names the setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub &'static str);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "senseless setting: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}
