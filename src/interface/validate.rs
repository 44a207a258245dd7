//! Validation of settings. Reports the first invalid setting by name and never corrects one.

use super::{Settings, Span};
use std::fmt;

/// Maximum of a tick and of the time between progress updates: one hour. Multiples of them are computed,
/// which would overflow for far longer ones.
const MAX_PERIOD: Span = Span(3_600_000_000_000);

impl Settings {
    /// Checks that the settings are valid.
    ///
    /// # Errors
    ///
    /// Names the first invalid setting.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let fraction = |x: f64| (0.0..=1.0).contains(&x);
        let non_negative = |x: f64| x.is_finite() && x >= 0.0;
        let positive = |x: f64| x.is_finite() && x > 0.0;
        let checks = [
            (self.dispatchers > 0, "dispatchers"),
            (self.number < self.dispatchers, "number"),
            (!self.classes.is_empty(), "classes"),
            (self.max_attempts > 0 && self.max_attempts < 255, "max_attempts"),
            (self.tick.0 > 0 && self.tick <= MAX_PERIOD, "tick"),
            (self.progress <= MAX_PERIOD, "progress"),
            (fraction(self.cold_from) && self.cold_from > 0.0, "cold_from"),
            (positive(self.fall_multiple), "fall_multiple"),
            (fraction(self.over_share_worth), "over_share_worth"),
            (non_negative(self.prices.cross_zone), "prices.cross_zone"),
            (non_negative(self.prices.handshake), "prices.handshake"),
            (non_negative(self.prices.waste), "prices.waste"),
            (non_negative(self.prices.probe), "prices.probe"),
            (non_negative(self.prices.late_fail), "prices.late_fail"),
            (self.budget.is_none_or(|b| non_negative(b.floor)), "budget.floor"),
            (self.budget.is_none_or(|b| fraction(b.ratio)), "budget.ratio"),
            (self.budget.is_none_or(|b| b.window.0 > 0), "budget.window"),
            (non_negative(self.tail.weight), "tail.weight"),
            (fraction(self.tail.tolerated), "tail.tolerated"),
            (self.classes.iter().all(|c| c.deadline.0 > 0), "classes.deadline"),
            (self.classes.iter().all(|c| positive(c.worth)), "classes.worth"),
            (self.classes.iter().all(|c| c.stretch.is_finite() && c.stretch >= 0.0), "classes.stretch"),
            (
                self.tenants.iter().all(|t| t.quota_per_s.is_finite() && t.quota_per_s >= 0.0),
                "tenants.quota_per_s",
            ),
        ];
        match checks.into_iter().find(|(valid, _)| !valid) {
            Some((_, name)) => Err(SettingsError(name)),
            None => Ok(()),
        }
    }
}

/// An invalid setting, by its name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub &'static str);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "senseless setting: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}
