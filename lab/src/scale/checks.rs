//! What a scale run's file must keep, whatever machine plays it: sizes and rates of use, names that exist. It
//! owns those rules and their words; it must never mend a value.

use super::plan::Plan;
use std::collections::BTreeSet;

/// Checks the whole file.
///
/// # Errors
///
/// Names the key at fault, and what would do.
pub fn check(plan: &Plan) -> Result<(), String> {
    if plan.kind != "scale" {
        return Err(format!("kind: there is no {:?}; a scale run has \"scale\"", plan.kind));
    }
    above("size", plan.size)?;
    let whole = &plan.whole;
    let whole = [
        ("whole.runners", whole.runners),
        ("whole.dispatchers", whole.dispatchers),
        ("whole.tenants", whole.tenants),
        ("whole.running", whole.running),
    ];
    whole.iter().try_for_each(|(key, value)| if *value >= 1.0 { Ok(()) } else { above(key, *value) })?;
    least("whole.changes", plan.whole.changes)?;
    if plan.site.zones.is_empty() || plan.site.zones.contains(&0) {
        return Err("site.zones: at least one zone for each region, e.g. [3, 2]".to_owned());
    }
    if plan.site.racks < plan.site.zones.iter().sum() {
        return Err(format!(
            "site.racks: at least {}, one for each zone",
            plan.site.zones.iter().sum::<usize>()
        ));
    }
    share("site.load", plan.site.load)?;
    above("site.load", plan.site.load)?;
    let kinds: f64 = plan.site.kind.iter().map(|kind| kind.share).sum();
    if (kinds - 1.0).abs() > 1e-6 {
        return Err(format!("site.kind.share: all together are {kinds}, not 1"));
    }
    let stream = &plan.stream;
    above("stream.work_mean_s", stream.work_mean_s)?;
    above("stream.deadline_s", stream.deadline_s)?;
    if stream.work_most_s < stream.work_mean_s {
        return Err(format!("stream.work_most_s: at least {}, the mean", stream.work_mean_s));
    }
    share("stream.urgent", stream.urgent)?;
    share("stream.gang_share", stream.gang_share)?;
    above("control.conn_idle_s", plan.control.conn_idle_s)?;
    sweep(plan)?;
    points(plan)?;
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
        Some(figure) => Err(format!("{figure}: of no point")),
        None => Ok(()),
    }
}

fn sweep(plan: &Plan) -> Result<(), String> {
    let sweep = &plan.sweep;
    if sweep.sizes.len() < 2 || !sweep.sizes.is_sorted() {
        return Err("sweep.sizes: at least two, in rising order".to_owned());
    }
    sweep.sizes.iter().try_for_each(|size| above("sweep.sizes", *size))?;
    if !sweep.sizes.contains(&sweep.base) {
        return Err(format!("sweep.base: {} is none of sweep.sizes", sweep.base));
    }
    if let Some(check) = sweep.check.filter(|check| !sweep.sizes.contains(check)) {
        return Err(format!("sweep.check: {check} is none of sweep.sizes"));
    }
    above("sweep.fill_s", sweep.fill_s)?;
    above("sweep.measured_s", sweep.measured_s)?;
    least("sweep.rest_s", sweep.rest_s)
}

fn points(plan: &Plan) -> Result<(), String> {
    let mut names = BTreeSet::new();
    for point in plan.points() {
        let key = |key: &str| format!("point.{}.{key}", point.name);
        if point.name.is_empty() || point.name.contains('.') || !names.insert(point.name.clone()) {
            return Err(format!("point.name: {:?} is empty, holds a dot, or stands twice", point.name));
        }
        above(&key("size"), point.size)?;
        for quantity in super::plan::QUANTITIES {
            above(&key(quantity), point.size_of(quantity))?;
        }
        if point.dispatchers_exactly == Some(0) {
            return Err(format!("{}: 0; at least 1", key("dispatchers_exactly")));
        }
        above(&key("fill_s"), point.fill_s)?;
        above(&key("measured_s"), point.measured_s)?;
        least(&key("rest_s"), point.rest_s)?;
        for fault in &point.fault {
            let key = key(&format!("fault.{}.at_s", fault.name));
            least(&key, fault.at_s)?;
            least(&key.replace("at_s", "back_s"), fault.back_s)?;
            if fault.at_s + fault.back_s > point.measured_s {
                let most = (point.measured_s - fault.back_s).max(0.0);
                return Err(format!("{key}: {} leaves no time to be back; at most {most}", fault.at_s));
            }
        }
    }
    Ok(())
}

fn above(key: &str, value: f64) -> Result<(), String> {
    if value > 0.0 && value.is_finite() { Ok(()) } else { Err(format!("{key}: {value}; more than 0")) }
}

fn least(key: &str, value: f64) -> Result<(), String> {
    if value >= 0.0 && value.is_finite() { Ok(()) } else { Err(format!("{key}: {value}; 0 or more")) }
}

fn share(key: &str, value: f64) -> Result<(), String> {
    if (0.0..=1.0).contains(&value) { Ok(()) } else { Err(format!("{key}: {value}; from 0 to 1")) }
}
