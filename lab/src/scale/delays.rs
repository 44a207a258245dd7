//! The delay from a configuration change to its adoption by each dispatcher: the first adoption of its version
//! or a later one.

use super::adoptions::adoptions_in_log;
use super::changes::Change;
use super::protocol::Adoption;
use std::collections::BTreeMap;

/// The delays of one kind of change; one for each pair of change and dispatcher.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Delays {
    /// Delays in milliseconds, sorted, of the pairs with an adoption.
    pub ms: Vec<f64>,
    /// The number of pairs without one.
    pub never: usize,
}

/// Returns the delays of all changes of a kind (`list` or `settings`) at these dispatchers.
pub fn delays(changes: &[Change], adoptions: &[Adoption], what: &str, dispatchers: &[usize]) -> Delays {
    let mut by_dispatcher: BTreeMap<usize, Vec<&Adoption>> = BTreeMap::new();
    for adoption in adoptions.iter().filter(|adoption| adoption.what == what) {
        by_dispatcher.entry(adoption.dispatcher).or_default().push(adoption);
    }
    let mut delays = Delays::default();
    for change in changes.iter().filter(|change| change.what == what) {
        for dispatcher in dispatchers {
            let adopted = by_dispatcher.get(dispatcher).into_iter().flatten();
            let first = adopted
                .filter(|adoption| adoption.version >= change.version)
                .map(|adoption| adoption.at_us)
                .min();
            match first {
                // The time of a change is read after it was made, so an adoption may precede it slightly.
                Some(at_us) => delays.ms.push(at_us.saturating_sub(change.at_us) as f64 / 1e3),
                None => delays.never += 1,
            }
        }
    }
    delays.ms.sort_by(f64::total_cmp);
    delays
}

impl Delays {
    /// Returns the delay at a quantile (0 to 1) of the pairs with an adoption.
    pub fn quantile(&self, share: f64) -> f64 {
        let last = self.ms.len().saturating_sub(1);
        self.ms.get((last as f64 * share).round() as usize).copied().unwrap_or(0.0)
    }
}

/// Returns the adoptions in a real dispatcher's log. The log has no versions of the settings, so an adoption
/// is matched with the last version made before it.
pub fn adoptions_of_real(dispatcher: usize, log: &str, changes: &[Change]) -> Vec<Adoption> {
    let adoptions = adoptions_in_log(log).into_iter().filter_map(|(what, version, at_us)| {
        if what == "list" {
            return Some(Adoption { dispatcher, what, version, at_us });
        }
        // The log's times are truncated to milliseconds.
        let made = changes.iter().filter(|change| change.what == "settings" && change.at_us <= at_us + 1000);
        let version = made.map(|change| change.version).max()?;
        Some(Adoption { dispatcher, what, version, at_us })
    });
    adoptions.collect()
}
