//! From a change to the dispatchers that act by it. It owns what counts as acting: the first act at or after the
//! change by its version or a later one; it must never read a file.

use super::changes::Change;
use super::words::Act;
use std::collections::BTreeMap;

/// Delays of one kind of change, in milliseconds, sorted; one for each pair of change and dispatcher.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Delays {
    /// Of pairs that acted.
    pub ms: Vec<f64>,
    /// Pairs that never did.
    pub never: usize,
}

/// The delays of all changes of a kind (`list` or `settings`) at these dispatchers.
pub fn delays(changes: &[Change], acts: &[Act], what: &str, dispatchers: &[usize]) -> Delays {
    let mut by_dispatcher: BTreeMap<usize, Vec<&Act>> = BTreeMap::new();
    for act in acts.iter().filter(|act| act.what == what) {
        by_dispatcher.entry(act.dispatcher).or_default().push(act);
    }
    let mut delays = Delays::default();
    for change in changes.iter().filter(|change| change.what == what) {
        for dispatcher in dispatchers {
            let own = by_dispatcher.get(dispatcher).into_iter().flatten();
            let first = own.filter(|act| act.version >= change.version).map(|act| act.at_us).min();
            match first {
                // The clock of a change is read after it was made, so that an act may even precede it a little.
                Some(at_us) => delays.ms.push(at_us.saturating_sub(change.at_us) as f64 / 1e3),
                None => delays.never += 1,
            }
        }
    }
    delays.ms.sort_by(f64::total_cmp);
    delays
}

impl Delays {
    /// The delay within which this share of all pairs that acted did.
    pub fn at(&self, share: f64) -> f64 {
        let last = self.ms.len().saturating_sub(1);
        self.ms.get((last as f64 * share).round() as usize).copied().unwrap_or(0.0)
    }
}

/// The acts in a real dispatcher's log. Its settings bear no version: an act is by the last one made before it.
pub fn acts_of_log(dispatcher: usize, log: &str, changes: &[Change]) -> Vec<Act> {
    log.lines().filter_map(|line| act(dispatcher, line, changes)).collect()
}

fn act(dispatcher: usize, line: &str, changes: &[Change]) -> Option<Act> {
    let at_us = time_us(line)?;
    if let Some((_, told)) = line.split_once("] list ") {
        // A list that was overtaken was not acted by.
        let mut words = told.split_whitespace();
        let version = words.nth(1)?.trim_end_matches(':').parse().ok()?;
        let entries = words.nth(1)? == "entries";
        return entries.then(|| Act { dispatcher, what: "list".to_owned(), version, at_us });
    }
    if !line.contains("new settings are in use") {
        return None;
    }
    let made = changes.iter().filter(|change| change.what == "settings" && change.at_us <= at_us + 1000);
    let version = made.map(|change| change.version).max()?;
    Some(Act { dispatcher, what: "settings".to_owned(), version, at_us })
}

/// The time of a log's line, `[2026-12-02T05:06:07.890Z ...`, in microseconds of Unix time.
fn time_us(line: &str) -> Option<u64> {
    let text = line.strip_prefix('[')?.split_once('Z')?.0;
    let (date, time) = text.split_once('T')?;
    let mut date = date.splitn(3, '-').map(str::parse::<i64>);
    let (year, month, day) = (date.next()?.ok()?, date.next()?.ok()?, date.next()?.ok()?);
    let mut time = time.splitn(3, ':');
    let (hours, minutes): (i64, i64) = (time.next()?.parse().ok()?, time.next()?.parse().ok()?);
    let seconds: f64 = time.next()?.parse().ok()?;
    // Days from the civil date, by Howard Hinnant's algorithm; years from March on.
    let year = if month <= 2 { year - 1 } else { year };
    let (era, month) = (year.div_euclid(400), (month + 9) % 12);
    let of_era = year - era * 400;
    let of_year = (153 * month + 2) / 5 + day - 1;
    let days = era * 146_097 + of_era * 365 + of_era / 4 - of_era / 100 + of_year - 719_468;
    let whole = days * 86_400 + hours * 3600 + minutes * 60;
    Some(whole as u64 * 1_000_000 + (seconds * 1e6) as u64)
}
