//! From a change to the dispatchers that act by it. It owns what counts as acting: the first act at or after the
//! change by its version or a later one; it must never read a file.

use super::acts::acts_of_log;
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
pub fn of_real(dispatcher: usize, log: &str, changes: &[Change]) -> Vec<Act> {
    let acts = acts_of_log(log).into_iter().filter_map(|(what, version, at_us)| {
        if what == "list" {
            return Some(Act { dispatcher, what, version, at_us });
        }
        // The log counts in milliseconds, cut off.
        let made = changes.iter().filter(|change| change.what == "settings" && change.at_us <= at_us + 1000);
        let version = made.map(|change| change.version).max()?;
        Some(Act { dispatcher, what, version, at_us })
    });
    acts.collect()
}
