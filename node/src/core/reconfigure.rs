//! Reconfiguration: new settings are applied while requests are in progress. Tracks which classes a client
//! may name now, and updates the balancer and the key store. Requests in progress keep their class's terms.

use super::Core;
use sablerun as sr;
use sablerun_keys as keys;
use sablerun_settings::{Tables, reconcile};

/// New settings as converted from the configuration, numbered by their own name tables.
#[derive(Clone, Debug)]
pub struct Reconfiguration {
    pub settings: sr::Settings,
    pub tables: Tables,
    /// The retention rule of idempotency keys for each of these classes; empty if keys are disabled. Applied
    /// to new classes only: existing ones keep theirs.
    pub rules: Vec<keys::Retention>,
    /// Until when a removed class is still accepted, for requests on their way and clients that do not know
    /// the new settings yet.
    pub accept_removed_until: sr::Time,
}

impl<J: Clone> Core<J> {
    /// Returns the number and the settings of a class if a client may name it now.
    pub fn class(&self, now: sr::Time, name: &str) -> Option<(u32, &sr::Class)> {
        let number = self.tables.classes.get(name)?;
        let removed = self.removed_classes.get(&number).is_some_and(|until| now >= *until);
        if removed { None } else { Some((number, self.settings.classes.get(number as usize)?)) }
    }

    /// Whether a request must name its tenant.
    pub fn requires_tenant(&self) -> bool {
        self.requires_tenant
    }

    /// Applies new settings to requests that arrive from now on. Requests in progress keep their class, and
    /// make no more attempts than both settings allow.
    pub(super) fn reconfigure(&mut self, now: sr::Time, reconfiguration: Reconfiguration) {
        let Reconfiguration { settings, tables, rules, accept_removed_until } = reconfiguration;
        self.requires_tenant = !settings.tenants.is_empty();
        let before = self.settings.classes.len();
        let reconciled = reconcile(&self.settings, &mut self.tables, settings, &tables);
        // The report age follows the load digest, not the configuration.
        let report_age_s = self.settings.report_age_s;
        self.settings = sr::Settings { report_age_s, ..reconciled.settings };
        for (number, rule) in reconciled.classes.iter().zip(rules) {
            if let Some(store) = self.keys.as_mut().filter(|_| *number as usize >= before) {
                store.add_class(rule);
            }
        }
        for number in 0..self.settings.classes.len() as u32 {
            if reconciled.classes.contains(&number) {
                self.removed_classes.remove(&number);
            } else {
                self.removed_classes.entry(number).or_insert(accept_removed_until);
            }
        }
        self.notify(now, sr::Event::SettingsChanged(Box::new(self.settings.clone())));
    }
}
