//! Retuning: new settings taken while requests are under way. It owns which of the classes ever numbered
//! a client may name now, and hands the module and the store of keys what they need of the rest. It must
//! never read a configuration, nor change what a request under way was promised.

use super::Core;
use sablerun as sr;
use sablerun_keys as keys;
use sablerun_settings::{Tables, reconcile};

/// New settings as the configuration gives them, with name tables of their own.
#[derive(Clone, Debug)]
pub struct Reconfiguration {
    pub settings: sr::Settings,
    pub tables: Tables,
    /// For how long keys of each of their classes are kept, where keys are kept.
    pub rules: Vec<keys::Retention>,
    /// Until then a class that is named no more is taken still: clients that have not heard yet, and
    /// requests on their way.
    pub accept_removed_until: sr::Time,
}

impl<J: Clone> Core<J> {
    /// The number and the terms of a class that a client may name now.
    pub fn class(&self, now: sr::Time, name: &str) -> Option<(u32, &sr::Class)> {
        let number = self.tables.classes.get(name)?;
        let gone = self.vanished.get(&number).is_some_and(|until| now >= *until);
        if gone { None } else { Some((number, self.settings.classes.get(number as usize)?)) }
    }

    /// Whether a request must name its tenant.
    pub fn requires_tenant(&self) -> bool {
        self.with_tenants
    }

    /// Puts new settings to use for what comes from now on; what is under way keeps its class, and makes
    /// no more attempts than both settings allow.
    pub(super) fn retune(&mut self, now: sr::Time, retune: Reconfiguration) {
        let Reconfiguration { settings, tables, rules, accept_removed_until: until } = retune;
        self.with_tenants = !settings.tenants.is_empty();
        let before = self.settings.classes.len();
        let renewed = reconcile(&self.settings, &mut self.tables, settings, &tables);
        let report_age_s = self.settings.report_age_s;
        self.settings = sr::Settings { report_age_s, ..renewed.settings };
        for (number, rule) in renewed.classes.iter().zip(rules) {
            if let Some(store) = self.keys.as_mut().filter(|_| *number as usize >= before) {
                store.add_class(rule);
            }
        }
        for number in 0..self.settings.classes.len() as u32 {
            if renewed.classes.contains(&number) {
                self.vanished.remove(&number);
            } else {
                self.vanished.entry(number).or_insert(until);
            }
        }
        self.tell(now, sr::Event::SettingsChanged(Box::new(self.settings.clone())));
    }
}
