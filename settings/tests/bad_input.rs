//! Unusual and invalid settings objects: each is either accepted, and then requests are run against it, or
//! rejected with an error that names the key. A panic, or an error that names no key, fails the test.

use sablerun::*;
use sablerun_settings::{Env, Tables};
use serde_json::{Value, json};

/// A valid object with a class for each value of `repeat`, two tenants and prices.
fn valid_object() -> Value {
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

/// The valid object with the value at a JSON pointer replaced, or removed if the value is `null`.
fn with(pointer: &str, value: Value) -> Value {
    let mut env = valid_object();
    let (parent, key) = pointer.rsplit_once('/').expect("a pointer");
    let parent = env.pointer_mut(parent).expect("it is there");
    match (parent, value) {
        (Value::Object(map), Value::Null) => drop(map.remove(key)),
        (parent, value) => parent[key] = value,
    }
    env
}

/// Parses and converts an object from text, as the program does.
fn parse(text: &str) -> Result<(Settings, Tables), String> {
    let mut json = serde_json::Deserializer::from_str(text);
    let env: Result<Env, _> = serde_path_to_error::deserialize(&mut json);
    env.map_err(|e| format!("{}: {}", e.path(), e.inner()))?.to_settings()
}

/// A dispatcher with these settings and two workers in the south, one of which has just started.
struct World {
    balancer: Balancer,
    now: Time,
    tables: Tables,
}

impl World {
    fn new((settings, mut tables): (Settings, Tables)) -> World {
        let zone = ZoneId(tables.zones.intern("south"));
        let now = Time(5_000_000_000);
        let balancer = Balancer::new(settings, 7, now).expect("converted settings are valid");
        let mut world = World { balancer, now, tables };
        let entries = (0..2).map(|n| ListEntry {
            worker: WorkerId(n),
            zone,
            kind: KindId(0),
            cell: 0,
            state: WorkerState::Ready,
            size: 1.0,
            up_since: (n == 1).then_some(now),
        });
        world.notify(Event::List(ListKind::Full, entries.collect()));
        world
    }

    fn notify(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions
    }

    /// Whether a request of this class is sent at once.
    fn is_sent(&mut self, request: u32, class: u32, tenant: Option<u32>) -> bool {
        let sent = self.notify(Event::Arrival(Arrival {
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

    fn end_attempt(
        &mut self,
        request: u32,
        attempt: u32,
        outcome: Outcome,
        report: Option<Report>,
    ) -> Vec<Action> {
        let (request, closed) = (RequestId(request), outcome == Outcome::Ok);
        self.notify(Event::AttemptUpdate(request, attempt, AttemptUpdate::Started));
        self.now = self.now + Span(20_000_000);
        self.notify(Event::Ended { request, attempt, outcome, closed, report })
    }
}

#[test]
fn unusual_but_valid_settings_are_accepted() {
    let max = u64::MAX;
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
        ("/services/2/window", json!(max)),
        ("/services/2/deadline", json!(max)),
        ("/balancers", json!(4_000_000_000u32)),
        ("/zone", json!("nowhere")),
        ("/failureDomains", json!([])),
        ("/failureDomains", json!(["east"])),
        ("/rules/drainGrace", json!(0)),
        ("/rules/drainGrace", json!(max)),
        ("/rules/coldFrom", json!(1)),
        ("/rules/warmAfter", json!(0)),
        ("/rules/warmAfter", json!(max)),
        ("/rules/fall", json!(0)),
        ("/rules/fall", json!(max)),
        ("/rules/fallMultiple", json!(1e300)),
        ("/prices", Value::Null),
    ] {
        let text = with(pointer, value.clone()).to_string();
        let converted = parse(&text).unwrap_or_else(|e| panic!("{pointer} {value}: {e}"));
        let mut world = World::new(converted);
        // Each class and tenant, a tenant that the settings do not name, and none.
        for (n, tenant) in [Some(0), Some(1), Some(99), None].into_iter().enumerate() {
            for class in 0..3 {
                let request = n as u32 * 3 + class;
                assert!(world.is_sent(request, class, tenant), "{pointer} {value}: {class} of {tenant:?}");
                let row = vec![Some(1.0); world.tables.fields.len()];
                let report = world.tables.report(row);
                world.end_attempt(request, 0, Outcome::Ok, Some(report));
            }
        }
    }
}

#[test]
fn invalid_settings_are_rejected_with_the_name_of_the_key() {
    let max = u64::MAX;
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
        ("/tick", json!(max), "tick"),
        ("/extra/progress", json!(max), "extra.progress"),
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
        let error = parse(&with(pointer, value.clone()).to_string()).err();
        let error = error.unwrap_or_else(|| panic!("{pointer} {value} is accepted"));
        assert!(error.contains(key), "{pointer} {value}: {error}");
    }
    // JSON has no literal for NaN or infinity, and a number that is too large must not be read as infinite.
    for literal in ["NaN", "Infinity", "1e999"] {
        let text =
            valid_object().to_string().replacen("\"quotaPerS\":10", &format!("\"quotaPerS\":{literal}"), 1);
        let error = parse(&text).err().unwrap_or_else(|| panic!("a quota of {literal} is accepted"));
        assert!(error.contains("quotaPerS"), "{literal}: {error}");
    }
    // A host that creates the settings directly may pass such values.
    for quota_per_s in [f64::NAN, f64::INFINITY, -0.5] {
        let (settings, _) = parse(&valid_object().to_string()).expect("it is valid");
        let settings = Settings { tenants: vec![Tenant { quota_per_s }], ..settings };
        let error = Balancer::new(settings, 7, Time(0)).err();
        assert_eq!(error, Some(SettingsError("tenants.quota_per_s")), "{quota_per_s}");
    }
}

/// Without a window the runners do not deduplicate for any time, so a request that may have run must not be
/// sent again, as in an unsafe class.
#[test]
fn a_keyed_class_without_a_window_is_never_repeated() {
    let repeats = |window: Value| {
        let mut world =
            World::new(parse(&with("/services/2/window", window).to_string()).expect("it is served"));
        assert!(world.is_sent(0, 2, None));
        let after = world.end_attempt(0, 0, Outcome::Error, None);
        after.iter().any(|action| matches!(action, Action::Send(..)))
    };
    assert!(repeats(json!(2_000_000_000)), "the window makes the difference");
    assert!(!repeats(Value::Null) && !repeats(json!(0)));
}
