//! Reconciling new settings with those in force: a number refers to the same class settings, and to the same
//! tenant, for as long as the program runs.

use sablerun as sr;
use sablerun_settings::{Env, NameTable, reconcile};

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
fn a_class_keeps_its_number_until_its_settings_change_and_regains_it_when_they_return() {
    let (pick, bin, wave) = (class("pick", "retryable"), class("bin", "retryable"), class("wave", "dedup"));
    let member = |name: &str, quota: u32| format!(r#"{{"name":"{name}","quotaPerS":{quota}}}"#);
    let first = env(&format!("{pick},{bin}"), &format!("{},{}", member("m", 5), member("n", 6)));
    let (settings, mut tables) = first.to_settings().unwrap();
    // Removes `pick`, adds `wave`, makes `bin` stricter; removes `m` and adds `o` before `n`.
    let strict = class("bin", "fragile");
    let second = env(&format!("{wave},{strict}"), &format!("{},{}", member("o", 7), member("n", 8)));
    let (new, names) = second.to_settings().unwrap();
    let reconciled = reconcile(&settings, &mut tables, new, &names);
    assert_eq!(reconciled.classes, [2, 3]);
    let idempotency: Vec<_> = reconciled.settings.classes.iter().map(|class| class.idempotency).collect();
    let keyed = sr::Idempotency::Keyed(sr::DedupScope::All);
    assert_eq!(idempotency, [sr::Idempotency::Safe, sr::Idempotency::Safe, keyed, sr::Idempotency::Unsafe]);
    assert_eq!((tables.classes.get("bin"), tables.classes.name(1)), (Some(3), "bin"));
    let quotas: Vec<_> = reconciled.settings.tenants.iter().map(|tenant| tenant.quota_per_s).collect();
    assert_eq!((quotas, tables.tenants.get("n")), (vec![0.0, 8.0, 7.0], Some(1)));
    assert_eq!(reconciled.settings.zone, settings.zone);
    // Back to the first settings: the old numbers are restored, and the tables do not grow.
    let (new, names) = first.to_settings().unwrap();
    let reconciled = reconcile(&reconciled.settings, &mut tables, new, &names);
    assert_eq!((reconciled.classes, reconciled.settings.classes.len()), (vec![0, 1], 4));
    assert_eq!((tables.classes.get("bin"), tables.classes.all().len()), (Some(1), 4));
}

/// A number that is passed on keeps its place; no name ever stands for two numbers.
#[test]
fn a_number_passes_to_a_new_name_only() {
    let mut table = NameTable::of(&["a".to_owned(), "b".to_owned()]);
    assert!(!table.rename("a", "b"));
    assert!(!table.rename("nobody", "c"));
    assert!(table.rename("a", "c"));
    assert_eq!(
        (table.get("a"), table.get("c"), table.name(0), table.quoted(0)),
        (None, Some(0), "c", "\"c\"")
    );
    assert_eq!((table.intern("a"), table.all().len()), (2, 3));
}
