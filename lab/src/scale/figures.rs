//! Computes the figures of a point by name: start delays, answers, gangs, adoption delays of changes, usage
//! and messages by role, and the costs of each fault.

use super::control::control_costs;
use super::costs;
use super::delays::{adoptions_of_real, delays};
use super::play::PlayedPoint;
use super::record_reader::{JoinedRequest, Records};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;

/// The figures of one point.
pub type Values = BTreeMap<String, f64>;

/// A gang counts as started together if its members start within this time of each other, in microseconds.
const MAX_GANG_SPREAD_US: u64 = 5_000_000;

/// The operators' bound on the start delay of urgent requests, in microseconds.
const URGENT_BOUND_US: u64 = 1_300_000;

/// The largest wait that the histogram resolves, in microseconds.
const MAX_WAIT_US: u64 = 3_600_000_000;

/// Returns all figures of a point.
pub fn figures(played: &PlayedPoint, records: &Records) -> Values {
    let mut values = Values::new();
    let quantities = &played.quantities;
    for (name, value) in [
        ("size.runners", quantities.runners as f64),
        ("size.dispatchers", quantities.dispatchers as f64),
        ("size.real", quantities.real as f64),
        ("size.tenants", quantities.tenants as f64),
        ("size.running", quantities.running as f64),
        ("size.rate_per_s", quantities.rate_per_s),
        ("size.changes_per_s", quantities.changes_per_s),
        ("size.slots", f64::from(quantities.slots)),
    ] {
        values.insert(name.to_owned(), value);
    }
    answers(played, records, &mut values);
    start_delays(&records.requests, window(played), &mut values);
    gangs(records, &mut values);
    adoption_delays(played, records, &mut values);
    costs::usage(played, &mut values);
    costs::messages(played, &mut values);
    control_costs(played, &mut values);
    costs::faults(played, records, &mut values);
    values
}

/// Returns the measured window, in microseconds of Unix time.
pub fn window(played: &PlayedPoint) -> (u64, u64) {
    (played.samples[0].at_us, played.samples[1].at_us)
}

fn answers(played: &PlayedPoint, records: &Records, values: &mut Values) {
    let source = |joined: &JoinedRequest| match played.layout.dispatchers.get(joined.request.dispatcher) {
        Some(dispatcher) if !dispatcher.hollow => "real",
        _ => "hollow",
    };
    for answer in ["served", "refused", "failed", "late", "cut", "lost", "open"] {
        // A bound fails on a missing figure, so each starts as zero.
        values.insert(format!("answers.{answer}"), 0.0);
    }
    for joined in &records.requests {
        *values.entry(format!("answers.{}", joined.request.answer)).or_default() += 1.0;
        *values.entry(format!("answers.{}.{}", source(joined), joined.request.answer)).or_default() += 1.0;
    }
    values.insert("answers.taken".to_owned(), records.requests.len() as f64);
    let (begin, end) = window(played);
    let seconds = (end - begin) as f64 / 1e6;
    let within = |at: u64| (begin..end).contains(&at);
    let taken = records.requests.iter().filter(|joined| within(joined.request.taken_us)).count();
    let started = records.starts.iter().filter(|at| within(**at)).count();
    values.insert("window.seconds".to_owned(), seconds);
    values.insert("window.taken_per_s".to_owned(), taken as f64 / seconds);
    values.insert("window.started_per_s".to_owned(), started as f64 / seconds);
    // The requests open in the middle of the window: taken and not answered yet.
    let middle = begin + (end - begin) / 2;
    let open = records.requests.iter().filter(|joined| {
        let request = &joined.request;
        request.taken_us <= middle && (request.answered_us > middle || request.answer == "open")
    });
    let running = open.clone().filter(|joined| joined.started_us.is_some_and(|at| at <= middle)).count();
    let open = open.count() as f64;
    values.insert("window.out_at_once".to_owned(), open);
    if played.quantities.running > 0 {
        values.insert("window.out_share".to_owned(), open / played.quantities.running as f64);
    }
    values.insert("window.running_at_once".to_owned(), running as f64);
}

/// Adds the delays from a request's arrival to its start. A request with neither a start nor an answer counts
/// with its wait until the end, a lower bound: leaving it out would make a queue look short.
pub fn start_delays(requests: &[JoinedRequest], (begin, end): (u64, u64), values: &mut Values) {
    for (name, class) in [("urgent", Some("urgent")), ("all", None)] {
        // Bounded: a histogram that resizes itself does not do so in `saturating_record`.
        let mut waits =
            Histogram::<u64>::new_with_bounds(1, MAX_WAIT_US, 3).expect("the bounds are in order");
        let (mut still_waiting, mut never_started) = (0.0, 0.0);
        for joined in requests {
            let request = &joined.request;
            if !(begin..end).contains(&request.taken_us) || class.is_some_and(|class| request.class != class)
            {
                continue;
            }
            let until = match joined.started_us {
                Some(at) => at,
                None if request.answer == "open" => {
                    still_waiting += 1.0;
                    request.answered_us
                }
                None => {
                    never_started += 1.0;
                    continue;
                }
            };
            waits.saturating_record(until.saturating_sub(request.taken_us).max(1));
        }
        let mut set = |figure: &str, value: f64| values.insert(format!("start.{name}_{figure}"), value);
        set("count", waits.len() as f64);
        set("still_waiting", still_waiting);
        set("never", never_started);
        if !waits.is_empty() {
            set("p50_ms", waits.value_at_quantile(0.5) as f64 / 1e3);
            set("p99_ms", waits.value_at_quantile(0.99) as f64 / 1e3);
            set("most_ms", waits.max() as f64 / 1e3);
            let within_bound = waits.count_between(0, URGENT_BOUND_US) as f64 / waits.len() as f64;
            set("within_1300_ms_share", within_bound);
        }
    }
}

/// Adds the share of gangs whose members have all started, and of those that started together.
fn gangs(records: &Records, values: &mut Values) {
    let mut members: BTreeMap<(usize, u64), Vec<&JoinedRequest>> = BTreeMap::new();
    for joined in records.requests.iter().filter(|joined| joined.request.gang > 1) {
        members.entry((joined.request.dispatcher, joined.request.order)).or_default().push(joined);
    }
    let (mut started, mut together) = (0.0, 0.0);
    for order in members.values() {
        let start_times: Vec<_> = order.iter().filter_map(|joined| joined.started_us).collect();
        if start_times.len() < order.len() {
            continue;
        }
        started += 1.0;
        let span =
            start_times.iter().max().zip(start_times.iter().min()).map_or(0, |(last, first)| last - first);
        together += f64::from(u8::from(span <= MAX_GANG_SPREAD_US));
    }
    let gang_count = members.len() as f64;
    values.insert("orders.gangs".to_owned(), gang_count);
    if gang_count > 0.0 {
        values.insert("orders.all_started_share".to_owned(), started / gang_count);
        values.insert("orders.together_share".to_owned(), together / gang_count);
    }
}

/// Adds the delays with which real and hollow dispatchers adopted the changes.
fn adoption_delays(played: &PlayedPoint, records: &Records, values: &mut Values) {
    let mut adoptions = records.adoptions.clone();
    for (number, log) in played.logs.iter().enumerate() {
        adoptions.extend(adoptions_of_real(number, log, &played.changes));
    }
    let dispatchers = played.layout.dispatchers.iter().enumerate();
    for (source, hollow) in [("real", false), ("hollow", true)] {
        let numbers = dispatchers.clone().filter(|(_, dispatcher)| dispatcher.hollow == hollow);
        let numbers: Vec<_> = numbers.map(|(number, _)| number).collect();
        if numbers.is_empty() {
            continue;
        }
        for what in ["list", "settings"] {
            let delays = delays(&played.changes, &adoptions, what, &numbers);
            let mut set =
                |name: &str, value: f64| values.insert(format!("changes.{source}.{what}_{name}"), value);
            set("p99_ms", delays.quantile(0.99));
            set("last_ms", delays.quantile(1.0));
            set("never", delays.never as f64);
        }
    }
    values.insert("changes.made".to_owned(), played.changes.len() as f64);
}
