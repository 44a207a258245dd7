//! Costs of a point: usage by role and dispatcher, messages by kind, and what each fault cost. It owns how they
//! are reckoned from two samples and two counts; it must never read anything itself.

use super::faults::Done;
use super::figures::Values;
use super::joined::Records;
use super::play::Played;
use super::sample::Usage;

/// Counts that are no counters, by their last word or its end: they are taken as they stand at the window's end.
const GAUGES: [&str; 5] = ["running", "queued", "out", "in_core", "up"];
const GAUGE_ENDS: [&str; 5] = ["_now", "_us", "_ms", "_most", "_open"];
/// A second counts as served as before with this part of the starts before.
const AS_BEFORE: f64 = 0.8;
/// Seconds before a fault that tell what was before, and over which starts are averaged after.
const BEFORE_S: usize = 5;
const MEAN_S: usize = 2;

/// Memory, processor time and descriptors.
pub fn usage(played: &Played, values: &mut Values) {
    let hollow = played.layout.dispatchers.iter().filter(|dispatcher| dispatcher.hollow).count();
    for part in ["runners", "discovery", "clients", "publisher"] {
        process(played, part, part, 1.0, values);
    }
    process(played, "dispatchers", "hollow", hollow.max(1) as f64, values);
    let real: Vec<_> = (0..played.numbers.real).map(|number| format!("n{number}")).collect();
    let mut each: Vec<Values> = Vec::new();
    for name in &real {
        let mut own = Values::new();
        process(played, name, "real", 1.0, &mut own);
        each.push(own);
    }
    // The mean, and the one that needs most.
    let Some(names) =
        each.iter().max_by_key(|own| own.len()).map(|own| own.keys().cloned().collect::<Vec<_>>())
    else {
        return;
    };
    for name in names {
        let all: Vec<_> = each.iter().filter_map(|own| own.get(&name).copied()).collect();
        values.insert(name.clone(), all.iter().sum::<f64>() / all.len() as f64);
        values.insert(format!("{name}_most"), all.iter().copied().fold(0.0, f64::max));
    }
}

fn process(played: &Played, process: &str, name: &str, over: f64, values: &mut Values) {
    let [before, after] = &played.samples;
    let mut set = |figure: &str, value: f64| values.insert(format!("{name}.{figure}"), value / over);
    if let Some(spent) = before.spent(after, process) {
        set("cpu_pct", spent.cpu_pct);
        set("cpu_user_pct", spent.user_pct);
        set("cpu_system_pct", spent.system_pct);
    }
    if let Some(usage) = after.usage.get(process) {
        let Usage { rss_mb, anon_mb, file_mb, shmem_mb, descriptors, .. } = *usage;
        set("rss_mb", rss_mb);
        set("anon_mb", anon_mb);
        set("file_mb", file_mb);
        set("shmem_mb", shmem_mb);
        set("descriptors", descriptors);
    }
    if let Some(usage) = played.settled.usage.get(process) {
        // Start and lists, before any request.
        set("started.rss_mb", usage.rss_mb);
        set("started.cpu_s", usage.cpu_s);
    }
}

fn is_gauge(name: &str) -> bool {
    let last = name.rsplit('.').next().unwrap_or(name);
    let level = GAUGES.contains(&last) || last.starts_with("max_");
    level || name.starts_with("connections.") || GAUGE_ENDS.iter().any(|end| last.ends_with(end))
}

/// What the parts counted: counters per second, by side for each dispatcher; the others as they stand.
pub fn messages(played: &Played, values: &mut Values) {
    let [before, after] = &played.counts;
    let hollow = played.layout.dispatchers.iter().filter(|dispatcher| dispatcher.hollow).count().max(1);
    for (role, counts) in after {
        let seconds = before.get(role).map_or(0, |before| counts.at_us - before.at_us) as f64 / 1e6;
        for (name, value) in &counts.values {
            let figure = format!("{role}.{name}");
            if is_gauge(name) {
                values.insert(figure, *value);
                continue;
            }
            let was = before.get(role).and_then(|before| before.values.get(name)).copied().unwrap_or(0.0);
            let over = match name.split('.').next() {
                Some("real") => played.numbers.real.max(1) as f64,
                Some("hollow") => hollow as f64,
                _ => 1.0,
            };
            values.insert(format!("{figure}_per_s"), (value - was) / seconds.max(0.001) / over);
        }
    }
}

/// For each fault: answers in the time after it, starts before it, and until they are as before.
pub fn faults(played: &Played, records: &Records, values: &mut Values) {
    let end = played.samples[1].at_us;
    // A roll-out goes on beneath the others, and ends none of their times.
    let sudden: Vec<_> = played.faults.iter().map(|fault| fault.at_us).collect();
    for fault in &played.faults {
        let next = sudden.iter().copied().filter(|at| *at > fault.at_us.max(fault.back_us)).min();
        let until = next.unwrap_or(end).min(end);
        let mut set = |name: &str, value: f64| values.insert(format!("fault.{}.{name}", fault.name), value);
        for answer in ["served", "refused", "failed", "late", "cut", "lost"] {
            let own = records.requests.iter().filter(|joined| {
                let request = &joined.request;
                request.answer == answer && (fault.at_us..until).contains(&request.answered_us)
            });
            set(answer, own.count() as f64);
        }
        set("seconds", until.saturating_sub(fault.at_us) as f64 / 1e6);
        let (before, recovered) = recovery(&records.starts, fault.at_us, until);
        set("started_per_s_before", before);
        set("served_as_before_after_s", recovered);
        let [there, again, waiting] = stranded(records, fault);
        set("ran_on_what_went", there);
        set("ran_again", again);
        set("unanswered_to_the_end", waiting);
        for (name, value) in &fault.load {
            set(&format!("within_10_s.{name}"), *value);
        }
    }
}

/// Requests that ran on machines as those vanished, how many of them ran again elsewhere, and how many had neither
/// run again nor an answer when the point ended.
fn stranded(records: &Records, fault: &Done) -> [f64; 3] {
    let mut counts = [0.0; 3];
    for joined in &records.requests {
        let before = joined.starts.iter().rfind(|(at, _)| *at <= fault.at_us);
        let there = before.is_some_and(|(_, runner)| fault.gone.contains(runner));
        if !there || joined.request.answered_us <= fault.at_us {
            continue;
        }
        let again = joined.starts.iter().any(|(at, _)| *at > fault.at_us);
        counts[0] += 1.0;
        counts[1] += f64::from(u8::from(again));
        counts[2] += f64::from(u8::from(!again && joined.request.answer == "open"));
    }
    counts
}

/// Starts a second before a moment, and how long after it the last stretch below that is over.
fn recovery(starts: &[u64], at_us: u64, until_us: u64) -> (f64, f64) {
    let between = |from: u64, to: u64| {
        starts.partition_point(|at| *at < to).saturating_sub(starts.partition_point(|at| *at < from)) as f64
    };
    let before = between(at_us.saturating_sub(BEFORE_S as u64 * 1_000_000), at_us) / BEFORE_S as f64;
    let seconds = (until_us.saturating_sub(at_us) / 1_000_000) as usize;
    let low = (0..seconds.saturating_sub(MEAN_S - 1)).rev().find(|second| {
        let from = at_us + *second as u64 * 1_000_000;
        between(from, from + MEAN_S as u64 * 1_000_000) / (MEAN_S as f64) < before * AS_BEFORE
    });
    (before, low.map_or(0.0, |second| (second + MEAN_S) as f64))
}
