//! Reconciles new settings with those in force: classes, tenants, zones and machine kinds keep their numbers,
//! since requests in progress and everything the balancer has learned refer to them by number.

use crate::{NameTable, Tables};
use sablerun as sr;

/// New settings, numbered like those in force.
#[derive(Clone, Debug, PartialEq)]
pub struct Reconciled {
    /// The settings with every class and tenant ever numbered, at its index: as in the new settings if
    /// they name it, else a class as before and a tenant with no quota.
    pub settings: sr::Settings,
    /// The numbers of the classes that the new settings name, in the order of the new settings.
    pub classes: Vec<u32>,
}

/// Renumbers new settings, whose own tables are `names`, by the tables in force. A class whose name and
/// settings are unchanged keeps its number. If its settings change, it becomes a new class of the same name,
/// and the name refers to the new number from then on, so that requests in progress keep the settings under
/// which they arrived. Settings that were in force before get their old number back: the tables grow with the
/// distinct settings seen, not with the number of reloads.
pub fn reconcile(old: &sr::Settings, tables: &mut Tables, new: sr::Settings, names: &Tables) -> Reconciled {
    let mut all = old.classes.clone();
    let mut classes = Vec::with_capacity(new.classes.len());
    for (index, mut class) in new.classes.into_iter().enumerate() {
        class.kind = class.kind.map(|kind| match names.kinds.all().get(kind.0 as usize) {
            Some(name) => sr::KindId(tables.kinds.intern(name)),
            // No runner is of a kind without a name.
            None => sr::KindId(u32::MAX),
        });
        let name = names.classes.name(index as u32);
        let known = (0..all.len()).find(|&n| tables.classes.name(n as u32) == name && all[n] == class);
        classes.push(match known {
            Some(number) => {
                tables.classes.alias(name, number as u32);
                number as u32
            }
            None => {
                all.push(class);
                tables.classes.reassign(name)
            }
        });
    }
    // A tenant that is no longer named has no share.
    let mut tenants = vec![sr::Tenant { quota_per_s: 0.0 }; old.tenants.len()];
    for (index, tenant) in new.tenants.into_iter().enumerate() {
        let number = tables.tenants.intern(names.tenants.name(index as u32)) as usize;
        match tenants.get_mut(number) {
            Some(known) => *known = tenant,
            None => tenants.push(tenant),
        }
    }
    let zone = new.zone.map(|zone| sr::ZoneId(tables.zones.intern(names.zones.name(zone.0))));
    tables.fields.clone_from(&names.fields);
    Reconciled { settings: sr::Settings { classes: all, tenants, zone, ..new }, classes }
}

impl NameTable {
    /// Assigns a new number to a name, which refers to that number from now on.
    fn reassign(&mut self, name: &str) -> u32 {
        self.numbers.remove(name);
        self.intern(name)
    }

    /// Makes a name refer to a number that it had before.
    fn alias(&mut self, name: &str, number: u32) {
        self.numbers.insert(name.to_owned(), number);
    }
}
