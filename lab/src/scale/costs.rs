//! Computes the costs of a point from two samples and two counts: resource usage by role and dispatcher,
//! messages by kind, and the effects of each fault.

use super::faults::InjectedFault;
use super::figures::Values;
use super::play::PlayedPoint;
use super::record_reader::Records;
use super::sample::Usage;

/// The last words of names of counts that are gauges, whose values at the window's end are used.
const GAUGES: [&str; 5] = ["running", "queued", "out", "in_core", "up"];
/// The suffixes of last words that also mark a gauge.
const GAUGE_SUFFIXES: [&str; 5] = ["_now", "_us", "_ms", "_most", "_open"];
/// The service counts as recovered from a fault at this part of the rate of starts before it.
const RECOVERED_SHARE: f64 = 0.8;
/// Seconds before a fault over which the rate of starts is averaged.
const BASELINE_S: usize = 5;
/// The width of the sliding window over which the rate after a fault is averaged, in seconds.
const RECOVERY_WINDOW_S: usize = 2;

/// Adds memory, processor time and descriptors of each process.
pub fn usage(played: &PlayedPoint, values: &mut Values) {
    let hollow = played.layout.dispatchers.iter().filter(|dispatcher| dispatcher.hollow).count();
    for part in ["runners", "discovery", "clients", "publisher"] {
        process_usage(played, part, part, 1.0, values);
    }
    process_usage(played, "dispatchers", "hollow", hollow.max(1) as f64, values);
    let real: Vec<_> = (0..played.quantities.real).map(|number| format!("n{number}")).collect();
    let mut each: Vec<Values> = Vec::new();
    for name in &real {
        let mut usage = Values::new();
        process_usage(played, name, "real", 1.0, &mut usage);
        each.push(usage);
    }
    // The mean of the real dispatchers, and the largest value of any.
    let Some(names) =
        each.iter().max_by_key(|usage| usage.len()).map(|usage| usage.keys().cloned().collect::<Vec<_>>())
    else {
        return;
    };
    for name in names {
        let all: Vec<_> = each.iter().filter_map(|usage| usage.get(&name).copied()).collect();
        values.insert(name.clone(), all.iter().sum::<f64>() / all.len() as f64);
        values.insert(format!("{name}_most"), all.iter().copied().fold(0.0, f64::max));
    }
}

fn process_usage(played: &PlayedPoint, process: &str, name: &str, divisor: f64, values: &mut Values) {
    let [before, after] = &played.samples;
    let mut set = |figure: &str, value: f64| values.insert(format!("{name}.{figure}"), value / divisor);
    if let Some(cpu) = before.cpu_usage_until(after, process) {
        set("cpu_pct", cpu.cpu_pct);
        set("cpu_user_pct", cpu.user_pct);
        set("cpu_system_pct", cpu.system_pct);
    }
    if let Some(usage) = after.usage.get(process) {
        let Usage { rss_mb, anon_mb, file_mb, shmem_mb, descriptors, .. } = *usage;
        set("rss_mb", rss_mb);
        set("anon_mb", anon_mb);
        set("file_mb", file_mb);
        set("shmem_mb", shmem_mb);
        set("descriptors", descriptors);
    }
    if let Some(usage) = played.before_stream.usage.get(process) {
        // After start and the first list, before any request.
        set("started.rss_mb", usage.rss_mb);
        set("started.cpu_s", usage.cpu_s);
    }
}

fn is_gauge(name: &str) -> bool {
    let last = name.rsplit('.').next().unwrap_or(name);
    let listed = GAUGES.contains(&last) || last.starts_with("max_");
    listed || name.starts_with("connections.") || GAUGE_SUFFIXES.iter().any(|end| last.ends_with(end))
}

/// Adds what the parts counted: counters as rates per second, those of real or hollow dispatchers divided by
/// the number of these, and gauges unchanged.
pub fn messages(played: &PlayedPoint, values: &mut Values) {
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
            let value_before =
                before.get(role).and_then(|before| before.values.get(name)).copied().unwrap_or(0.0);
            let divisor = match name.split('.').next() {
                Some("real") => played.quantities.real.max(1) as f64,
                Some("hollow") => hollow as f64,
                _ => 1.0,
            };
            values.insert(format!("{figure}_per_s"), (value - value_before) / seconds.max(0.001) / divisor);
        }
    }
}

/// Adds for each fault the answers after it, the rate of starts before it, and the time until that rate is
/// back.
pub fn faults(played: &PlayedPoint, records: &Records, values: &mut Values) {
    let end = played.samples[1].at_us;
    // A fault's time lasts until the next fault that begins after it is over. Faults that begin earlier, as
    // during a roll-out, do not end it.
    let begins: Vec<_> = played.faults.iter().map(|fault| fault.at_us).collect();
    for fault in &played.faults {
        let next = begins.iter().copied().filter(|at| *at > fault.at_us.max(fault.back_us)).min();
        let until = next.unwrap_or(end).min(end);
        let mut set = |name: &str, value: f64| values.insert(format!("fault.{}.{name}", fault.name), value);
        for answer in ["served", "refused", "failed", "late", "cut", "lost"] {
            let answered = records.requests.iter().filter(|joined| {
                let request = &joined.request;
                request.answer == answer && (fault.at_us..until).contains(&request.answered_us)
            });
            set(answer, answered.count() as f64);
        }
        set("seconds", until.saturating_sub(fault.at_us) as f64 / 1e6);
        let (before, recovered) = recovery(&records.starts, fault.at_us, until);
        set("started_per_s_before", before);
        set("served_as_before_after_s", recovered);
        let [running_there, restarted, unanswered] = stranded(records, fault);
        set("ran_on_what_went", running_there);
        set("ran_again", restarted);
        set("unanswered_to_the_end", unanswered);
        for (name, value) in &fault.load {
            set(&format!("within_10_s.{name}"), *value);
        }
    }
}

/// Counts the requests that were running on machines that failed, how many of them started again, and how
/// many had neither started again nor got an answer when the point ended.
fn stranded(records: &Records, fault: &InjectedFault) -> [f64; 3] {
    let mut counts = [0.0; 3];
    for joined in &records.requests {
        let before = joined.starts.iter().rfind(|(at, _)| *at <= fault.at_us);
        let was_running = before.is_some_and(|(_, runner)| fault.failed_runners.contains(runner));
        if !was_running || joined.request.answered_us <= fault.at_us {
            continue;
        }
        let restarted = joined.starts.iter().any(|(at, _)| *at > fault.at_us);
        counts[0] += 1.0;
        counts[1] += f64::from(u8::from(restarted));
        counts[2] += f64::from(u8::from(!restarted && joined.request.answer == "open"));
    }
    counts
}

/// Returns the starts a second before a fault, and the seconds from the fault to the end of the last window
/// whose rate of starts is too low.
fn recovery(starts: &[u64], at_us: u64, until_us: u64) -> (f64, f64) {
    let between = |from: u64, to: u64| {
        starts.partition_point(|at| *at < to).saturating_sub(starts.partition_point(|at| *at < from)) as f64
    };
    let before = between(at_us.saturating_sub(BASELINE_S as u64 * 1_000_000), at_us) / BASELINE_S as f64;
    let seconds = (until_us.saturating_sub(at_us) / 1_000_000) as usize;
    let last_low = (0..seconds.saturating_sub(RECOVERY_WINDOW_S - 1)).rev().find(|second| {
        let from = at_us + *second as u64 * 1_000_000;
        between(from, from + RECOVERY_WINDOW_S as u64 * 1_000_000) / (RECOVERY_WINDOW_S as f64)
            < before * RECOVERED_SHARE
    });
    (before, last_low.map_or(0.0, |second| (second + RECOVERY_WINDOW_S) as f64))
}
