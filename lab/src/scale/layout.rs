//! Who there is at a point: zones, runners, dispatchers with their addresses, the stream and the settings. It
//! owns the way from a plan's numbers to the run's words, and must never start anything.

use super::plan::Plan;
use super::point::{Numbers, Point};
use super::words::{Dispatcher, Layout, Runner, Stream, Zone};
use sablerun_stand_ins::program::free_port;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;

/// In nanoseconds, as settings have times.
fn nanos(seconds: f64) -> u64 {
    (seconds * 1e9) as u64
}

/// Lays a point out.
///
/// # Errors
///
/// If there are no free addresses.
pub fn layout(
    plan: &Plan,
    point: &Point,
    numbers: &Numbers,
    seed: u64,
    folder: &Path,
) -> Result<Layout, String> {
    let zones: Vec<_> = zones(plan);
    let hollow = |number: usize| number >= numbers.real;
    let addresses = addresses(numbers.dispatchers)?;
    let dispatchers = addresses.into_iter().enumerate().map(|(number, listen)| Dispatcher {
        name: format!("n{number}"),
        zone: number % zones.len(),
        hollow: hollow(number),
        listen,
        share: 1.0 / numbers.dispatchers as f64,
    });
    let per_zone = plan.site.racks / zones.len();
    let runners = (0..numbers.runners).map(|number| {
        let zone = number % zones.len();
        Runner {
            name: format!("s-{:08x}", (number as u32 + 1).wrapping_mul(0x9e37_79b9)),
            zone,
            kind: kind(plan, number),
            rack: zone * per_zone + number / zones.len() % per_zone,
            slots: numbers.slots,
        }
    });
    let asked = &plan.stream;
    Ok(Layout {
        seed,
        folder: folder.to_owned(),
        runners: runners.collect(),
        dispatchers: dispatchers.collect(),
        stream: Stream {
            fill: fill(numbers.running, point.fill_s, plan.stream.work_mean_s),
            fill_s: point.fill_s,
            rate_per_s: numbers.rate_per_s,
            seconds: point.rest_s + point.measured_s,
            work_mean_s: asked.work_mean_s,
            work_most_s: asked.work_most_s,
            urgent: asked.urgent,
            gang_most: asked.gang_most,
            gang_share: asked.gang_share,
            tenants: numbers.tenants as u32,
            deadline_s: asked.deadline_s,
        },
        settings: settings(plan, numbers, &zones),
        zones,
    })
}

/// What must come within the fill so that so many are out at its end: some of it ends before.
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

/// Kinds by their shares, spread evenly over the numbers (the golden ratio's multiples are).
fn kind(plan: &Plan, number: usize) -> usize {
    let at = (number as f64 * 0.618_033_988_749_895).fract();
    let mut sum = 0.0;
    let found = plan.site.kind.iter().position(|kind| {
        sum += kind.share;
        at < sum
    });
    found.unwrap_or(plan.site.kind.len() - 1)
}

/// Addresses that stay free while their dispatchers are down, each only once.
fn addresses(many: usize) -> Result<BTreeSet<SocketAddr>, String> {
    let mut addresses = BTreeSet::new();
    while addresses.len() < many {
        addresses.insert(free_port().map_err(|e| format!("addresses for dispatchers: {e}"))?);
    }
    Ok(addresses)
}

/// The settings of dispatcher 0, as the platform gives them.
fn settings(plan: &Plan, numbers: &Numbers, zones: &[Zone]) -> Value {
    let asked = &plan.stream;
    let class = |name: &str, objective: f64, importance: f64| {
        json!({"name": name, "objective": nanos(objective), "repeat": "retryable", "group": "all",
            "deadline": nanos(asked.deadline_s), "importance": importance, "lateWorth": 0.0,
            "window": nanos(10.0), "streaming": false})
    };
    let even: f64 = (0..numbers.tenants).map(|n| 1.0 / (n as f64 + 10.0)).sum();
    let project = |n: usize| {
        let share = 1.0 / (n as f64 + 10.0) / even;
        // Room for bursts: quotas are not what this run is about, but they are kept.
        json!({"name": format!("tenant-{n}"), "share": share, "quotaPerS": (share * numbers.rate_per_s * 3.0).max(0.1)})
    };
    let names = |zones: &[Zone]| zones.iter().map(|zone| zone.name.clone()).collect::<Vec<_>>();
    let kinds: Vec<_> = plan.site.kind.iter().map(|kind| &kind.name).collect();
    json!({
        "balancers": numbers.dispatchers, "me": 0, "clientHabits": {"marksRetry": true},
        "extra": {"classKind": [-1, -1], "classStretch": [2.0, 2.0], "progress": 0, "queueOrder": "fifo",
                  "reportX0": "free slots", "reportX1": "free memory", "tellsStart": true},
        "failureDomains": names(zones), "kinds": kinds,
        "limits": {"cancel": true, "connIdle": nanos(plan.control.conn_idle_s), "connectTimeout": 250_000_000,
                   "maxOpen": 28486, "maxRetryAfter": 2_000_000_000, "parallelTries": true,
                   "probing": plan.control.probing, "retryAfter": true, "tryLimit": 5},
        "membershipMode": "on_request", "overShareWorth": 0.5,
        "prices": {"crossZone": 0.03, "handshake": 0.02, "lateFail": 0.074, "probe": 0.0018, "waste": 0.04},
        "projects": (0..numbers.tenants).map(project).collect::<Vec<_>>(),
        "reporting": {"fields": ["errors_per_s", "recent_ms", "outstanding", "x0"], "how": "piggyback"},
        "rules": {"answerSlack": 16_000_000, "askWithin": 10_000_000_000u64, "coldFrom": 0.32,
                  "drainGrace": 500_000_000, "fall": 1_000_000_000, "fallMultiple": 2.5,
                  "warmAfter": 8_600_000_000u64},
        "services": [class("task", 60.0, 1.0), class("urgent", 5.0, 10.0)],
        "stages": ["runners"], "tier": 0, "workload": "jobs",
        "tick": 4_000_000, "weights": "nominal", "worthBy": "request", "zone": zones[0].name
    })
}
