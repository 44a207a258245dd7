//! Builds the layout of a point from the numbers of the plan: zones, runners, dispatchers with their
//! addresses, the request stream and the settings. Starts nothing.

use super::plan::Plan;
use super::point::{Point, Quantities};
use super::protocol::{Dispatcher, Layout, Runner, Stream, Zone};
use sablerun_stand_ins::program::free_port;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;

/// Converts seconds to nanoseconds, the unit of times in settings.
fn nanos(seconds: f64) -> u64 {
    (seconds * 1e9) as u64
}

/// Builds the layout of a point.
///
/// # Errors
///
/// If there are no free addresses.
pub fn build_layout(
    plan: &Plan,
    point: &Point,
    quantities: &Quantities,
    seed: u64,
    folder: &Path,
) -> Result<Layout, String> {
    let zones: Vec<_> = zones(plan);
    let hollow = |number: usize| number >= quantities.real;
    let addresses = addresses(quantities.dispatchers)?;
    let dispatchers = addresses.into_iter().enumerate().map(|(number, listen)| Dispatcher {
        name: format!("n{number}"),
        zone: number % zones.len(),
        hollow: hollow(number),
        listen,
        share: 1.0 / quantities.dispatchers as f64,
    });
    let per_zone = plan.site.racks / zones.len();
    let runners = (0..quantities.runners).map(|number| {
        let zone = number % zones.len();
        Runner {
            name: format!("s-{:08x}", (number as u32 + 1).wrapping_mul(0x9e37_79b9)),
            zone,
            kind: kind(plan, number),
            rack: zone * per_zone + number / zones.len() % per_zone,
            slots: quantities.slots,
        }
    });
    let stream = &plan.stream;
    Ok(Layout {
        seed,
        folder: folder.to_owned(),
        runners: runners.collect(),
        dispatchers: dispatchers.collect(),
        stream: Stream {
            fill: fill(quantities.running, point.fill_s, plan.stream.work_mean_s),
            fill_s: point.fill_s,
            rate_per_s: quantities.rate_per_s,
            seconds: point.rest_s + point.measured_s,
            work_mean_s: stream.work_mean_s,
            work_most_s: stream.work_most_s,
            urgent: stream.urgent,
            gang_most: stream.gang_most,
            gang_share: stream.gang_share,
            tenants: quantities.tenants as u32,
            deadline_s: stream.deadline_s,
        },
        settings: settings(plan, quantities, &zones),
        zones,
    })
}

/// Returns the number of requests that must arrive during the fill so that `running` of them run at its end,
/// since some end before.
fn fill(running: usize, fill_s: f64, mean_s: f64) -> u32 {
    let part = fill_s / mean_s;
    (running as f64 * part / (1.0 - (-part).exp())).round() as u32
}

fn zones(plan: &Plan) -> Vec<Zone> {
    let regions = plan.site.zones.iter().enumerate();
    let zones = regions.flat_map(|(region, zones)| {
        (0..*zones).map(move |zone| Zone { name: format!("region-{region}-zone-{zone}"), region })
    });
    zones.collect()
}

/// Returns the kind of a runner. Multiples of the golden ratio spread the kinds evenly over the runners'
/// numbers.
fn kind(plan: &Plan, number: usize) -> usize {
    let position = (number as f64 * 0.618_033_988_749_895).fract();
    let mut sum = 0.0;
    let found = plan.site.kind.iter().position(|kind| {
        sum += kind.share;
        position < sum
    });
    found.unwrap_or(plan.site.kind.len() - 1)
}

/// Returns distinct addresses that stay free while their dispatchers are down.
fn addresses(count: usize) -> Result<BTreeSet<SocketAddr>, String> {
    let mut addresses = BTreeSet::new();
    while addresses.len() < count {
        addresses.insert(free_port().map_err(|e| format!("addresses for dispatchers: {e}"))?);
    }
    Ok(addresses)
}

/// Returns the settings of dispatcher 0, in the platform's form.
fn settings(plan: &Plan, quantities: &Quantities, zones: &[Zone]) -> Value {
    let stream = &plan.stream;
    let class = |name: &str, objective: f64, importance: f64| {
        json!({"name": name, "objective": nanos(objective), "repeat": "retryable", "group": "all",
            "deadline": nanos(stream.deadline_s), "importance": importance, "lateWorth": 0.0,
            "window": nanos(10.0), "streaming": false})
    };
    let weight_sum: f64 = (0..quantities.tenants).map(|n| 1.0 / (n as f64 + 10.0)).sum();
    let project = |n: usize| {
        let share = 1.0 / (n as f64 + 10.0) / weight_sum;
        // Three times the mean rate: quotas are enforced, but are not the subject of the run, so bursts should
        // rarely meet them.
        json!({"name": format!("tenant-{n}"), "share": share, "quotaPerS": (share * quantities.rate_per_s * 3.0).max(0.1)})
    };
    let names = |zones: &[Zone]| zones.iter().map(|zone| zone.name.clone()).collect::<Vec<_>>();
    let kinds: Vec<_> = plan.site.kind.iter().map(|kind| &kind.name).collect();
    json!({
        "balancers": quantities.dispatchers, "me": 0, "clientHabits": {"marksRetry": true},
        "extra": {"classKind": [-1, -1], "classStretch": [2.0, 2.0], "progress": 0, "queueOrder": "fifo",
                  "reportX0": "free slots", "reportX1": "free memory", "tellsStart": true},
        "failureDomains": names(zones), "kinds": kinds,
        "limits": {"cancel": true, "connIdle": nanos(plan.control.conn_idle_s), "connectTimeout": 250_000_000,
                   "maxOpen": 28486, "maxRetryAfter": 2_000_000_000, "parallelTries": true,
                   "probing": plan.control.probing, "retryAfter": true, "tryLimit": 5},
        "membershipMode": "on_request", "overShareWorth": 0.5,
        "prices": {"crossZone": 0.03, "handshake": 0.02, "lateFail": 0.074, "probe": 0.0018, "waste": 0.04},
        "projects": (0..quantities.tenants).map(project).collect::<Vec<_>>(),
        "reporting": {"fields": ["errors_per_s", "recent_ms", "outstanding", "x0"], "how": "piggyback"},
        "rules": {"answerSlack": 16_000_000, "askWithin": 10_000_000_000u64, "coldFrom": 0.32,
                  "drainGrace": 500_000_000, "fall": 1_000_000_000, "fallMultiple": 2.5,
                  "warmAfter": 8_600_000_000u64},
        "services": [class("task", 60.0, 1.0), class("urgent", 5.0, 10.0)],
        "stages": ["runners"], "tier": 0, "workload": "jobs",
        "tick": 4_000_000, "weights": "nominal", "worthBy": "request", "zone": zones[0].name
    })
}
