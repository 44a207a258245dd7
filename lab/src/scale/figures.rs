//! Figures of a point by name: starts, answers, orders, delays of changes, usage and messages by role, and what
//! each fault cost. It owns their names and how each is reckoned; it must never start or read anything.

use super::control::control;
use super::costs;
use super::delays::{delays, of_real};
use super::joined::{Joined, Records};
use super::play::Played;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;

/// The figures of one point.
pub type Values = BTreeMap<String, f64>;

/// An order counts as whole if its members start within this time of each other, in microseconds.
const TOGETHER_US: u64 = 5_000_000;

/// The operators' bound on the start of urgent work, in microseconds.
const SOON_US: u64 = 1_300_000;

/// The longest wait told apart, in microseconds.
const LONGEST_US: u64 = 3_600_000_000;

/// All figures of a point.
pub fn figures(played: &Played, records: &Records) -> Values {
    let mut values = Values::new();
    let numbers = &played.numbers;
    for (name, value) in [
        ("size.runners", numbers.runners as f64),
        ("size.dispatchers", numbers.dispatchers as f64),
        ("size.real", numbers.real as f64),
        ("size.tenants", numbers.tenants as f64),
        ("size.running", numbers.running as f64),
        ("size.rate_per_s", numbers.rate_per_s),
        ("size.changes_per_s", numbers.changes_per_s),
        ("size.slots", f64::from(numbers.slots)),
    ] {
        values.insert(name.to_owned(), value);
    }
    answers(played, records, &mut values);
    starts(&records.requests, window(played), &mut values);
    orders(records, &mut values);
    changes(played, records, &mut values);
    costs::usage(played, &mut values);
    costs::messages(played, &mut values);
    control(played, &mut values);
    costs::faults(played, records, &mut values);
    values
}

/// The window, in microseconds of Unix time.
pub fn window(played: &Played) -> (u64, u64) {
    (played.samples[0].at_us, played.samples[1].at_us)
}

fn answers(played: &Played, records: &Records, values: &mut Values) {
    let side = |joined: &Joined| match played.layout.dispatchers.get(joined.request.dispatcher) {
        Some(dispatcher) if !dispatcher.hollow => "real",
        _ => "hollow",
    };
    for answer in ["served", "refused", "failed", "late", "cut", "lost", "open"] {
        // So that a bound finds a zero, and not nothing.
        values.insert(format!("answers.{answer}"), 0.0);
    }
    for joined in &records.requests {
        *values.entry(format!("answers.{}", joined.request.answer)).or_default() += 1.0;
        *values.entry(format!("answers.{}.{}", side(joined), joined.request.answer)).or_default() += 1.0;
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
    // Out at once in the middle of the window: taken, and not answered yet.
    let middle = begin + (end - begin) / 2;
    let out = records.requests.iter().filter(|joined| {
        let request = &joined.request;
        request.taken_us <= middle && (request.answered_us > middle || request.answer == "open")
    });
    let running = out.clone().filter(|joined| joined.started_us.is_some_and(|at| at <= middle)).count();
    let out = out.count() as f64;
    values.insert("window.out_at_once".to_owned(), out);
    if played.numbers.running > 0 {
        values.insert("window.out_share".to_owned(), out / played.numbers.running as f64);
    }
    values.insert("window.running_at_once".to_owned(), running as f64);
}

/// From taken to started. What has neither started nor been answered counts with the time for which it has waited
/// by the end, which is less than it will be: to leave it out would make a queue look short.
pub fn starts(requests: &[Joined], (begin, end): (u64, u64), values: &mut Values) {
    for (name, class) in [("urgent", Some("urgent")), ("all", None)] {
        // One that grows by itself would not for what is recorded saturating.
        let mut waits = Histogram::<u64>::new_with_bounds(1, LONGEST_US, 3).expect("the bounds are in order");
        let (mut waiting, mut refused) = (0.0, 0.0);
        for joined in requests {
            let request = &joined.request;
            if !(begin..end).contains(&request.taken_us) || class.is_some_and(|class| request.class != class)
            {
                continue;
            }
            let until = match joined.started_us {
                Some(at) => at,
                None if request.answer == "open" => {
                    waiting += 1.0;
                    request.answered_us
                }
                None => {
                    refused += 1.0;
                    continue;
                }
            };
            waits.saturating_record(until.saturating_sub(request.taken_us).max(1));
        }
        let mut set = |figure: &str, value: f64| values.insert(format!("start.{name}_{figure}"), value);
        set("count", waits.len() as f64);
        set("still_waiting", waiting);
        set("never", refused);
        if !waits.is_empty() {
            set("p50_ms", waits.value_at_quantile(0.5) as f64 / 1e3);
            set("p99_ms", waits.value_at_quantile(0.99) as f64 / 1e3);
            set("most_ms", waits.max() as f64 / 1e3);
            let soon = waits.count_between(0, SOON_US) as f64 / waits.len() as f64;
            set("within_1300_ms_share", soon);
        }
    }
}

/// Orders of which all members have started, and how far apart.
fn orders(records: &Records, values: &mut Values) {
    let mut members: BTreeMap<(usize, u64), Vec<&Joined>> = BTreeMap::new();
    for joined in records.requests.iter().filter(|joined| joined.request.gang > 1) {
        members.entry((joined.request.dispatcher, joined.request.order)).or_default().push(joined);
    }
    let (mut started, mut together) = (0.0, 0.0);
    for order in members.values() {
        let times: Vec<_> = order.iter().filter_map(|joined| joined.started_us).collect();
        if times.len() < order.len() {
            continue;
        }
        started += 1.0;
        let span = times.iter().max().zip(times.iter().min()).map_or(0, |(last, first)| last - first);
        together += f64::from(u8::from(span <= TOGETHER_US));
    }
    let all = members.len() as f64;
    values.insert("orders.gangs".to_owned(), all);
    if all > 0.0 {
        values.insert("orders.all_started_share".to_owned(), started / all);
        values.insert("orders.together_share".to_owned(), together / all);
    }
}

fn changes(played: &Played, records: &Records, values: &mut Values) {
    let mut acts = records.acts.clone();
    for (number, log) in played.logs.iter().enumerate() {
        acts.extend(of_real(number, log, &played.changes));
    }
    let dispatchers = played.layout.dispatchers.iter().enumerate();
    for (side, hollow) in [("real", false), ("hollow", true)] {
        let own = dispatchers.clone().filter(|(_, dispatcher)| dispatcher.hollow == hollow);
        let own: Vec<_> = own.map(|(number, _)| number).collect();
        if own.is_empty() {
            continue;
        }
        for what in ["list", "settings"] {
            let delays = delays(&played.changes, &acts, what, &own);
            let mut set =
                |name: &str, value: f64| values.insert(format!("changes.{side}.{what}_{name}"), value);
            set("p99_ms", delays.at(0.99));
            set("last_ms", delays.at(1.0));
            set("never", delays.never as f64);
        }
    }
    values.insert("changes.made".to_owned(), played.changes.len() as f64);
}
