//! New settings brought in line with those in force: what classes, tenants, zones and machine kinds are
//! numbered stays numbered so, since requests under way and everything learned go by number. It owns
//! that numbering and must never read a file, nor decide whether or when the new settings hold.

use crate::{NameTable, Tables};
use sablerun as sr;

/// New settings, numbered as those before.
#[derive(Clone, Debug, PartialEq)]
pub struct Reconciled {
    /// Every class and tenant ever numbered, in place: those the new settings name with their terms, the
    /// others as they were.
    pub settings: sr::Settings,
    /// The numbers of the classes that the new settings name, in their order.
    pub classes: Vec<u32>,
}

/// Numbers new settings, whose own tables are `names`, by the tables in force. A class whose name and
/// terms stay keeps its number; new terms make a new class of the same name, and the name then stands for
/// that, so that a request keeps the terms it came under. Terms that come back get their old number back:
/// tables grow with the terms ever seen, not with the reloads.
pub fn reconcile(old: &sr::Settings, tables: &mut Tables, new: sr::Settings, names: &Tables) -> Reconciled {
    let mut all = old.classes.clone();
    let mut classes = Vec::with_capacity(new.classes.len());
    for (place, mut class) in new.classes.into_iter().enumerate() {
        class.kind = class.kind.map(|kind| match names.kinds.all().get(kind.0 as usize) {
            Some(name) => sr::KindId(tables.kinds.intern(name)),
            // A kind that has no name is no runner's.
            None => sr::KindId(u32::MAX),
        });
        let name = names.classes.name(place as u32);
        let known = (0..all.len()).find(|&n| tables.classes.name(n as u32) == name && all[n] == class);
        classes.push(match known {
            Some(number) => {
                tables.classes.point(name, number as u32);
                number as u32
            }
            None => {
                all.push(class);
                tables.classes.anew(name)
            }
        });
    }
    // A tenant that is not named any more has no share.
    let mut tenants = vec![sr::Tenant { quota_per_s: 0.0 }; old.tenants.len()];
    for (place, tenant) in new.tenants.into_iter().enumerate() {
        let number = tables.tenants.intern(names.tenants.name(place as u32)) as usize;
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
    /// A new number for a name, which stands for that number from now on.
    fn anew(&mut self, name: &str) -> u32 {
        self.numbers.remove(name);
        self.intern(name)
    }

    /// Lets a name stand for a number that it had before.
    fn point(&mut self, name: &str, number: u32) {
        self.numbers.insert(name.to_owned(), number);
    }
}
