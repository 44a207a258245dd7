//! Validates a scale run's file independently of the machine that plays it: ranges of sizes, rates and
//! shares, and references between names. Never corrects a value.

use super::plan::Plan;
use std::collections::BTreeSet;

/// Checks the whole file.
///
/// # Errors
///
/// Names the invalid key and the values it may have.
pub fn check(plan: &Plan) -> Result<(), String> {
    if plan.kind != "scale" {
        return Err(format!("kind: there is no {:?}; a scale run has \"scale\"", plan.kind));
    }
    require_positive("size", plan.size)?;
    let whole = &plan.whole;
    let quantities = [
        ("whole.runners", whole.runners),
        ("whole.dispatchers", whole.dispatchers),
        ("whole.tenants", whole.tenants),
        ("whole.running", whole.running),
    ];
    quantities
        .iter()
        .try_for_each(|(key, value)| if *value >= 1.0 { Ok(()) } else { require_positive(key, *value) })?;
    require_non_negative("whole.changes", plan.whole.changes)?;
    if plan.site.zones.is_empty() || plan.site.zones.contains(&0) {
        return Err("site.zones: at least one zone for each region, e.g. [3, 2]".to_owned());
    }
    if plan.site.racks < plan.site.zones.iter().sum() {
        return Err(format!(
            "site.racks: at least {}, one for each zone",
            plan.site.zones.iter().sum::<usize>()
        ));
    }
    require_share("site.load", plan.site.load)?;
    require_positive("site.load", plan.site.load)?;
    let sum: f64 = plan.site.kind.iter().map(|kind| kind.share).sum();
    if (sum - 1.0).abs() > 1e-6 {
        return Err(format!("site.kind.share: all together are {sum}, not 1"));
    }
    let stream = &plan.stream;
    require_positive("stream.work_mean_s", stream.work_mean_s)?;
    require_positive("stream.deadline_s", stream.deadline_s)?;
    if stream.work_most_s < stream.work_mean_s {
        return Err(format!("stream.work_most_s: at least {}, the mean", stream.work_mean_s));
    }
    require_share("stream.urgent", stream.urgent)?;
    require_share("stream.gang_share", stream.gang_share)?;
    require_positive("control.conn_idle_s", plan.control.conn_idle_s)?;
    check_sweep(plan)?;
    check_points(plan)?;
    if plan.bound.iter().any(|bound| bound.min.is_none() && bound.max.is_none()) {
        return Err("bound: neither min nor max".to_owned());
    }
    let mut names: BTreeSet<_> = plan.points().into_iter().map(|point| point.name).collect();
    for compare in &plan.compare {
        if let Some(name) = [&compare.real, &compare.hollow].into_iter().find(|name| !names.contains(*name)) {
            return Err(format!("compare.{}: there is no point {name:?}", compare.name));
        }
    }
    names.extend(plan.compare.iter().map(|compare| compare.name.clone()));
    let known = |figure: &str| names.iter().any(|name| figure.starts_with(&format!("{name}.")));
    match plan.bound.iter().map(|bound| &bound.figure).chain([&plan.main]).find(|figure| !known(figure)) {
        Some(figure) => Err(format!("{figure}: belongs to no point")),
        None => Ok(()),
    }
}

fn check_sweep(plan: &Plan) -> Result<(), String> {
    let sweep = &plan.sweep;
    if sweep.sizes.len() < 2 || !sweep.sizes.is_sorted() {
        return Err("sweep.sizes: at least two, in rising order".to_owned());
    }
    sweep.sizes.iter().try_for_each(|size| require_positive("sweep.sizes", *size))?;
    if !sweep.sizes.contains(&sweep.base) {
        return Err(format!("sweep.base: {} is none of sweep.sizes", sweep.base));
    }
    if let Some(check) = sweep.check.filter(|check| !sweep.sizes.contains(check)) {
        return Err(format!("sweep.check: {check} is none of sweep.sizes"));
    }
    require_positive("sweep.fill_s", sweep.fill_s)?;
    require_positive("sweep.measured_s", sweep.measured_s)?;
    require_non_negative("sweep.rest_s", sweep.rest_s)
}

fn check_points(plan: &Plan) -> Result<(), String> {
    let mut names = BTreeSet::new();
    for point in plan.points() {
        let key = |key: &str| format!("point.{}.{key}", point.name);
        if point.name.is_empty() || point.name.contains('.') || !names.insert(point.name.clone()) {
            return Err(format!("point.name: {:?} is empty, contains a dot, or is a duplicate", point.name));
        }
        require_positive(&key("size"), point.size)?;
        for quantity in super::plan::QUANTITIES {
            require_positive(&key(quantity), point.size_of(quantity))?;
        }
        if point.dispatchers_exactly == Some(0) {
            return Err(format!("{}: 0; at least 1", key("dispatchers_exactly")));
        }
        require_positive(&key("fill_s"), point.fill_s)?;
        require_positive(&key("measured_s"), point.measured_s)?;
        require_non_negative(&key("rest_s"), point.rest_s)?;
        for fault in &point.fault {
            let key = key(&format!("fault.{}.at_s", fault.name));
            require_non_negative(&key, fault.at_s)?;
            require_non_negative(&key.replace("at_s", "back_s"), fault.back_s)?;
            if fault.at_s + fault.back_s > point.measured_s {
                let max_at_s = (point.measured_s - fault.back_s).max(0.0);
                return Err(format!(
                    "{key}: {} leaves no time for the fault to end; at most {max_at_s}",
                    fault.at_s
                ));
            }
        }
    }
    Ok(())
}

fn require_positive(key: &str, value: f64) -> Result<(), String> {
    if value > 0.0 && value.is_finite() { Ok(()) } else { Err(format!("{key}: {value}; more than 0")) }
}

fn require_non_negative(key: &str, value: f64) -> Result<(), String> {
    if value >= 0.0 && value.is_finite() { Ok(()) } else { Err(format!("{key}: {value}; 0 or more")) }
}

fn require_share(key: &str, value: f64) -> Result<(), String> {
    if (0.0..=1.0).contains(&value) { Ok(()) } else { Err(format!("{key}: {value}; from 0 to 1")) }
}
