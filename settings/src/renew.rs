//! New settings brought in line with those in force: what classes, tenants, zones and machine kinds are
//! numbered stays numbered so, since requests under way and everything learned go by number. It owns
//! that numbering and must never read a file, nor decide whether or when the new settings hold.

use crate::{Names, Tables};
use sablerun as sr;

/// New settings, numbered as those before.
#[derive(Clone, Debug, PartialEq)]
pub struct Renewed {
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
pub fn renew(old: &sr::Settings, tables: &mut Tables, new: sr::Settings, names: &Tables) -> Renewed {
    let mut all = old.classes.clone();
    let mut classes = Vec::with_capacity(new.classes.len());
    for (place, mut class) in new.classes.into_iter().enumerate() {
        class.kind = class.kind.map(|kind| match names.kinds.all().get(kind.0 as usize) {
            Some(name) => sr::KindId(tables.kinds.number(name)),
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
        let number = tables.tenants.number(names.tenants.name(place as u32)) as usize;
        match tenants.get_mut(number) {
            Some(known) => *known = tenant,
            None => tenants.push(tenant),
        }
    }
    let zone = new.zone.map(|zone| sr::ZoneId(tables.zones.number(names.zones.name(zone.0))));
    tables.fields.clone_from(&names.fields);
    Renewed { settings: sr::Settings { classes: all, tenants, zone, ..new }, classes }
}

impl Names {
    /// A new number for a name, which stands for that number from now on.
    fn anew(&mut self, name: &str) -> u32 {
        self.numbers.remove(name);
        self.number(name)
    }

    /// Lets a name stand for a number that it had before.
    fn point(&mut self, name: &str, number: u32) {
        self.numbers.insert(name.to_owned(), number);
    }
}

#[cfg(test)]
mod tests {
    use super::renew;
    use crate::Env;
    use sablerun as sr;

    fn env(services: &str, projects: &str) -> Env {
        let text = format!(
            r#"{{"balancers":2,"services":[{services}],"failureDomains":["a","b"],"zone":"b",
            "membershipMode":"pushed","limits":{{"tryLimit":3}},"tick":1000000,"reporting":{{}},
            "projects":[{projects}],
            "rules":{{"coldFrom":1,"warmAfter":1,"fallMultiple":1,"fall":1,"drainGrace":1}}}}"#
        );
        serde_json::from_str(&text).unwrap()
    }

    fn class(name: &str, repeat: &str) -> String {
        format!(
            r#"{{"name":"{name}","objective":1000,"deadline":5000,"importance":1,"repeat":"{repeat}","window":9}}"#
        )
    }

    #[test]
    fn a_class_keeps_its_number_until_its_terms_change_and_has_it_back_with_them() {
        let (pick, bin, wave) =
            (class("pick", "retryable"), class("bin", "retryable"), class("wave", "dedup"));
        let member = |name: &str, quota: u32| format!(r#"{{"name":"{name}","quotaPerS":{quota}}}"#);
        let first = env(&format!("{pick},{bin}"), &format!("{},{}", member("m", 5), member("n", 6)));
        let (settings, mut tables) = first.settle().unwrap();
        // `pick` goes, `wave` comes, `bin` becomes stricter; `m` goes and `o` comes before `n`.
        let strict = class("bin", "fragile");
        let second = env(&format!("{wave},{strict}"), &format!("{},{}", member("o", 7), member("n", 8)));
        let (new, names) = second.settle().unwrap();
        let renewed = renew(&settings, &mut tables, new, &names);
        assert_eq!(renewed.classes, [2, 3]);
        let effects: Vec<_> = renewed.settings.classes.iter().map(|class| class.effect).collect();
        let keyed = sr::Effect::Keyed(sr::Group::All);
        assert_eq!(effects, [sr::Effect::Safe, sr::Effect::Safe, keyed, sr::Effect::Unsafe]);
        assert_eq!((tables.classes.get("bin"), tables.classes.name(1)), (Some(3), "bin"));
        let quotas: Vec<_> = renewed.settings.tenants.iter().map(|tenant| tenant.quota_per_s).collect();
        assert_eq!((quotas, tables.tenants.get("n")), (vec![0.0, 8.0, 7.0], Some(1)));
        assert_eq!(renewed.settings.zone, settings.zone);
        // Back to the first: the old numbers again, and nothing grows.
        let (new, names) = first.settle().unwrap();
        let renewed = renew(&renewed.settings, &mut tables, new, &names);
        assert_eq!((renewed.classes, renewed.settings.classes.len()), (vec![0, 1], 4));
        assert_eq!((tables.classes.get("bin"), tables.classes.all().len()), (Some(1), 4));
    }
}
