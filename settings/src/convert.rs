//! Converts the settings object to the balancer's settings and the name tables. An invalid value is an error
//! that names its key; values are never corrected.

use crate::env::{Env, Rules};
use crate::tables::{Field, NameTable, Tables};
use sablerun as sr;

impl Env {
    /// Converts to the balancer's settings and the name tables.
    ///
    /// # Errors
    ///
    /// Names the invalid setting.
    pub fn to_settings(&self) -> Result<(sr::Settings, Tables), String> {
        let env = self;
        let mut zones = NameTable::of(&env.failure_domains);
        let kinds = NameTable::of(&env.kinds);
        let classes = env.services.iter().enumerate();
        let max_poll_interval =
            env.rules.ask_within.map_or(sr::Settings::default().max_poll_interval, sr::Span);
        let sr::Settings {
            validity_after_silence,
            validity_after_loss,
            saved_list_validity,
            failed_calls_renew_validity,
            report_age_s,
            ..
        } = sr::Settings::default();
        let settings = sr::Settings {
            dispatchers: env.balancers,
            number: env.me,
            zone: Some(sr::ZoneId(zones.intern(&env.zone))),
            classes: classes
                .map(|(i, service)| {
                    let kind = env.extra.class_kind.get(i).copied().unwrap_or(-1);
                    let stretch = env.extra.class_stretch.get(i).copied();
                    Ok(sr::Class {
                        objective: sr::Span(service.objective),
                        stretch: service.aim_stretch.or(stretch).unwrap_or(0.0),
                        deadline: sr::Span(service.deadline),
                        worth: service.importance,
                        late_worth: service.late_worth,
                        idempotency: idempotency(&service.repeat, service.group.as_deref())?,
                        window: sr::Span(service.window),
                        kind: u32::try_from(kind).ok().map(sr::KindId),
                    })
                })
                .collect::<Result<_, String>>()?,
            tenants: env
                .projects
                .iter()
                .map(|project| sr::Tenant { quota_per_s: project.quota_per_s })
                .collect(),
            over_share_worth: env.over_share_worth,
            prices: sr::Prices {
                cross_zone: env.prices.cross_zone,
                handshake: env.prices.handshake,
                waste: env.prices.waste,
                probe: env.prices.probe,
                late_fail: env.prices.late_fail,
            },
            discovery: match env.membership_mode.as_str() {
                "pushed" => sr::Discovery::Pushed,
                "on_request" => sr::Discovery::OnRequest,
                other => return Err(format!("membershipMode {other:?}")),
            },
            tick: sr::Span(env.tick),
            reports_start: env.extra.tells_start,
            progress: sr::Span(env.extra.progress),
            cancel: env.limits.cancel,
            probing: env.limits.probing,
            parallel_attempts: env.limits.parallel_tries,
            idle_limit: env.limits.conn_idle.map_or(sr::Settings::default().idle_limit, sr::Span),
            max_attempts: env.limits.try_limit,
            budget: budget(&env.rules)?,
            tail: sr::Tail { weight: env.goal.tail_part, tolerated: env.goal.tail_miss },
            worth_by_work: env.worth_by == "work",
            marked_retries: env.client_habits.marks_retry,
            has_worker_sizes: matches!(env.weights.as_str(), "nominal" | "rough"),
            max_hold_off: sr::Span(if env.limits.retry_after { env.limits.max_retry_after } else { 0 }),
            drain_grace: sr::Span(env.rules.drain_grace),
            max_poll_interval,
            // Constants of the protocol, which no setting carries.
            validity_after_silence,
            saved_list_validity,
            failed_calls_renew_validity,
            report_age_s,
            // Without a watch it may be shorter: the list is valid for the time between two calls, less a
            // margin of 200 ms.
            validity_after_loss: validity_after_loss
                .min(sr::Span(max_poll_interval.0.saturating_sub(200_000_000))),
            only_draining_excludes: env.rules.drain_binds_alone,
            cold_from: env.rules.cold_from,
            warm_after: sr::Span(env.rules.warm_after),
            fall_multiple: env.rules.fall_multiple,
            fall_after: sr::Span(env.rules.fall),
        };
        let fields = env.reporting.fields.iter().map(|name| {
            let meaning = match name.as_str() {
                "x0" => env.extra.report_x0.as_deref().unwrap_or(""),
                "x1" => env.extra.report_x1.as_deref().unwrap_or(""),
                name => name,
            };
            let field = match meaning {
                "outstanding" => Field::Inflight,
                "recent_ms" => Field::Latency,
                "free slots" => Field::FreeSlots,
                "free memory" => Field::FreeMemory,
                "errors_per_s" => Field::Errors,
                _ => Field::Unused,
            };
            (name.clone(), field)
        });
        let fields = fields.collect();
        let classes = NameTable::of(env.services.iter().map(|service| &service.name));
        let tenants = NameTable::of(env.projects.iter().map(|project| &project.name));
        // Numbers are indexes into these lists: a duplicate name would shift all later ones.
        for (key, table, count) in
            [("services", &classes, env.services.len()), ("projects", &tenants, env.projects.len())]
        {
            if table.all().len() < count {
                return Err(format!("{key}: a name stands twice"));
            }
        }
        let tables = Tables { workers: NameTable::default(), zones, kinds, classes, tenants, fields };
        settings.validate().map_err(|e| match settings_key(e.0) {
            Some(key) => format!("{e}, by the key {key}"),
            None => e.to_string(),
        })?;
        Ok((settings, tables))
    }
}

/// Returns the key in the file for a setting of the balancer, if it differs from the setting's own name, so
/// that errors name the key that must be corrected.
fn settings_key(setting: &str) -> Option<&'static str> {
    Some(match setting {
        "dispatchers" => "balancers",
        "number" => "me",
        "classes" => "services",
        "classes.deadline" => "services.deadline",
        "classes.worth" => "services.importance",
        "classes.stretch" => "services.aimStretch or extra.classStretch",
        "tenants.quota_per_s" => "projects.quotaPerS",
        "max_attempts" => "limits.tryLimit",
        "progress" => "extra.progress",
        "cold_from" => "rules.coldFrom",
        "fall_multiple" => "rules.fallMultiple",
        "over_share_worth" => "overShareWorth",
        "prices.cross_zone" => "prices.crossZone",
        "prices.late_fail" => "prices.lateFail",
        "budget.floor" => "rules.extraFloor",
        "budget.ratio" => "rules.repeatRatio",
        "budget.window" => "rules.lookBack",
        "tail.weight" => "goal.tailPart",
        "tail.tolerated" => "goal.tailMiss",
        _ => return None,
    })
}

fn idempotency(repeat: &str, group: Option<&str>) -> Result<sr::Idempotency, String> {
    Ok(match (repeat, group) {
        ("retryable", _) => sr::Idempotency::Safe,
        ("fragile", _) => sr::Idempotency::Unsafe,
        ("dedup", Some("zone")) => sr::Idempotency::Keyed(sr::DedupScope::Zone),
        ("dedup", Some("cell")) => sr::Idempotency::Keyed(sr::DedupScope::Cell),
        ("dedup", Some("all") | None) => sr::Idempotency::Keyed(sr::DedupScope::All),
        _ => return Err(format!("services repeat {repeat:?}, group {group:?}")),
    })
}

/// The budget of further attempts: either all three settings are given or none.
fn budget(rules: &Rules) -> Result<Option<sr::Budget>, String> {
    match (rules.extra_floor, rules.repeat_ratio, rules.look_back) {
        (None, None, None) => Ok(None),
        (Some(floor), Some(ratio), Some(window)) => {
            Ok(Some(sr::Budget { floor, ratio, window: sr::Span(window) }))
        }
        _ => Err("rules extraFloor, repeatRatio and lookBack go together".to_owned()),
    }
}
