//! What an odd settings object leads to: each one is either served, and then a request is played against it,
//! or turned down with an error that names the key. It owns the table of oddities; it must never take a
//! panic, or an error that names no key, for an answer.

use sablerun::*;
use sablerun_settings::{Env, Tables};
use serde_json::{Value, json};

/// A sound object with a class of each effect, two tenants and a price for each thing.
fn sound() -> Value {
    let class = |name: &str, repeat: &str| {
        json!({"name": name, "objective": 200_000_000, "deadline": 5_000_000_000u64, "importance": 1,
               "repeat": repeat, "window": 2_000_000_000})
    };
    json!({
        "balancers": 2, "me": 0, "failureDomains": ["north", "south"], "zone": "north",
        "services": [class("pick", "retryable"), class("bin", "fragile"), class("wave", "dedup")],
        "projects": [{"name": "m", "quotaPerS": 10}, {"name": "n", "quotaPerS": 10}],
        "prices": {"crossZone": 0.03, "handshake": 0.02}, "extra": {"tellsStart": true},
        "limits": {"tryLimit": 3, "cancel": true}, "membershipMode": "pushed", "tick": 5_000_000,
        "reporting": {"fields": ["outstanding", "recent_ms"]}, "worthBy": "work",
        "rules": {"coldFrom": 0.1, "warmAfter": 30_000_000_000u64, "fallMultiple": 2, "fall": 1_000_000_000,
                  "drainGrace": 500_000_000},
    })
}

/// The sound object with the value at a pointer changed, or taken out by `null`.
fn with(pointer: &str, value: Value) -> Value {
    let mut env = sound();
    let (parent, key) = pointer.rsplit_once('/').expect("a pointer");
    let parent = env.pointer_mut(parent).expect("it is there");
    match (parent, value) {
        (Value::Object(map), Value::Null) => drop(map.remove(key)),
        (parent, value) => parent[key] = value,
    }
    env
}

/// Reads and settles an object, as text, as the program does.
fn settle(text: &str) -> Result<(Settings, Tables), String> {
    let mut json = serde_json::Deserializer::from_str(text);
    let env: Result<Env, _> = serde_path_to_error::deserialize(&mut json);
    env.map_err(|e| format!("{}: {}", e.path(), e.inner()))?.to_settings()
}

/// A dispatcher with such settings and a worker in the south that has just started.
struct Played {
    balancer: Balancer,
    now: Time,
    tables: Tables,
}

impl Played {
    fn new((settings, mut tables): (Settings, Tables)) -> Played {
        let zone = ZoneId(tables.zones.intern("south"));
        let now = Time(5_000_000_000);
        let balancer = Balancer::new(settings, 7, now).expect("settled settings are sound");
        let mut played = Played { balancer, now, tables };
        let entries = (0..2).map(|n| ListEntry {
            worker: WorkerId(n),
            zone,
            kind: KindId(0),
            cell: 0,
            state: WorkerState::Ready,
            size: 1.0,
            up_since: (n == 1).then_some(now),
        });
        played.tell(Event::List(ListKind::Full, entries.collect()));
        played
    }

    fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions
    }

    /// Whether a request of this class is sent at once, or its repeat after one that broke.
    fn asks(&mut self, request: u32, class: u32, tenant: Option<u32>) -> bool {
        let sent = self.tell(Event::Arrival(Arrival {
            request: RequestId(request),
            class: ClassId(class),
            tenant: tenant.map(TenantId),
            deadline: self.now + Span::from_secs(4.0),
            slots: 1.0,
            memory: 0.0,
            estimate: Span(0),
            retry: false,
            prior: None,
        }));
        sent.iter().any(|action| matches!(action, Action::Send(..)))
    }

    fn ends(&mut self, request: u32, attempt: u32, outcome: Outcome, report: Option<Report>) -> Vec<Action> {
        let (request, closed) = (RequestId(request), outcome == Outcome::Ok);
        self.tell(Event::AttemptUpdate(request, attempt, AttemptUpdate::Started));
        self.now = self.now + Span(20_000_000);
        self.tell(Event::Ended { request, attempt, outcome, closed, report })
    }
}

#[test]
fn what_can_be_served_is() {
    let most = u64::MAX;
    for (pointer, value) in [
        ("/reporting/fields", Value::Null),
        ("/reporting/fields", json!([])),
        ("/reporting/fields", json!(["no such field", "x0"])),
        ("/streams", json!(1)),
        ("/projects", Value::Null),
        ("/projects/0/quotaPerS", json!(0)),
        ("/projects/0/quotaPerS", json!(1e300)),
        ("/projects/0/quotaPerS", json!(1e-300)),
        ("/services/2/window", Value::Null),
        ("/services/2/window", json!(most)),
        ("/services/2/deadline", json!(most)),
        ("/balancers", json!(4_000_000_000u32)),
        ("/zone", json!("nowhere")),
        ("/failureDomains", json!([])),
        ("/failureDomains", json!(["east"])),
        ("/rules/drainGrace", json!(0)),
        ("/rules/drainGrace", json!(most)),
        ("/rules/coldFrom", json!(1)),
        ("/rules/warmAfter", json!(0)),
        ("/rules/warmAfter", json!(most)),
        ("/rules/fall", json!(0)),
        ("/rules/fall", json!(most)),
        ("/rules/fallMultiple", json!(1e300)),
        ("/prices", Value::Null),
    ] {
        let text = with(pointer, value.clone()).to_string();
        let settled = settle(&text).unwrap_or_else(|e| panic!("{pointer} {value}: {e}"));
        let mut played = Played::new(settled);
        // Each class and tenant, a tenant that nobody has named, and none.
        for (n, tenant) in [Some(0), Some(1), Some(99), None].into_iter().enumerate() {
            for class in 0..3 {
                let request = n as u32 * 3 + class;
                assert!(played.asks(request, class, tenant), "{pointer} {value}: {class} of {tenant:?}");
                let row = vec![Some(1.0); played.tables.fields.len()];
                let report = played.tables.report(row);
                played.ends(request, 0, Outcome::Ok, Some(report));
            }
        }
    }
}

#[test]
fn what_makes_no_sense_is_turned_down_by_the_name_of_its_key() {
    let most = u64::MAX;
    for (pointer, value, key) in [
        ("/balancers", json!(0), "balancers"),
        ("/balancers", Value::Null, "balancers"),
        ("/balancers", json!(-1), "balancers"),
        ("/balancers", json!(1e12), "balancers"),
        ("/balancers", json!(1_000_000_000_000u64), "balancers"),
        ("/me", json!(2), "me"),
        ("/services", json!([]), "services"),
        ("/services/2/window", json!(-1), "services[2].window"),
        ("/services/2/window", json!(1e30), "services[2].window"),
        ("/services/2/window", json!("long"), "services[2].window"),
        ("/services/2/group", json!("planet"), "group"),
        ("/services/0/deadline", json!(0), "services.deadline"),
        ("/services/0/importance", json!(0), "services.importance"),
        ("/projects/0/quotaPerS", json!(-1), "projects.quotaPerS"),
        ("/projects/0/quotaPerS", json!("many"), "projects[0].quotaPerS"),
        ("/projects/0/quotaPerS", Value::Null, "quotaPerS"),
        ("/projects/1/name", json!("m"), "projects"),
        ("/zone", Value::Null, "zone"),
        ("/tick", json!(0), "tick"),
        ("/tick", json!(most), "tick"),
        ("/extra/progress", json!(most), "extra.progress"),
        ("/limits/tryLimit", json!(0), "limits.tryLimit"),
        ("/rules/drainGrace", json!(-1), "rules.drainGrace"),
        ("/rules/coldFrom", json!(0), "rules.coldFrom"),
        ("/rules/coldFrom", json!(1.5), "rules.coldFrom"),
        ("/rules/fallMultiple", json!(0), "rules.fallMultiple"),
        ("/rules/fallMultiple", json!(-2), "rules.fallMultiple"),
        ("/rules/warmAfter", json!(-1), "rules.warmAfter"),
        ("/overShareWorth", json!(2), "overShareWorth"),
        ("/prices/crossZone", json!(-1), "prices.crossZone"),
    ] {
        let error = settle(&with(pointer, value.clone()).to_string()).err();
        let error = error.unwrap_or_else(|| panic!("{pointer} {value} is taken"));
        assert!(error.contains(key), "{pointer} {value}: {error}");
    }
    // JSON has no word for what is not a number, and what is too large for one is not taken for infinite.
    for word in ["NaN", "Infinity", "1e999"] {
        let text = sound().to_string().replacen("\"quotaPerS\":10", &format!("\"quotaPerS\":{word}"), 1);
        let error = settle(&text).err().unwrap_or_else(|| panic!("a quota of {word} is taken"));
        assert!(error.contains("quotaPerS"), "{word}: {error}");
    }
    // A host that fills the settings in by itself may hold one.
    for quota_per_s in [f64::NAN, f64::INFINITY, -0.5] {
        let (settings, _) = settle(&sound().to_string()).expect("it is sound");
        let settings = Settings { tenants: vec![Tenant { quota_per_s }], ..settings };
        let error = Balancer::new(settings, 7, Time(0)).err();
        assert_eq!(error, Some(SettingsError("tenants.quota_per_s")), "{quota_per_s}");
    }
}

/// Nobody promises to drop repeats for any time: what may have run is never sent again, as if unsafe.
#[test]
fn a_keyed_class_without_a_window_is_never_repeated() {
    let repeats = |window: Value| {
        let mut played =
            Played::new(settle(&with("/services/2/window", window).to_string()).expect("it is served"));
        assert!(played.asks(0, 2, None));
        let after = played.ends(0, 0, Outcome::Error, None);
        after.iter().any(|action| matches!(action, Action::Send(..)))
    };
    assert!(repeats(json!(2_000_000_000)), "the window makes the difference");
    assert!(!repeats(Value::Null) && !repeats(json!(0)));
}
