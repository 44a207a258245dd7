//! The times of steps by their kind. It owns how they are kept and what counts as their mean.

use hdrhistogram::Histogram;
use std::collections::BTreeMap;

/// Times of steps, in nanoseconds, by kind.
#[derive(Default)]
pub struct Times(BTreeMap<&'static str, Histogram<u64>>);

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(10_000_000_000, 3).expect("sound bounds")
}

impl Times {
    pub fn record(&mut self, kind: &'static str, nanos: u64) {
        self.0.entry(kind).or_insert_with(histogram).saturating_record(nanos);
    }

    pub fn kinds(&self) -> impl Iterator<Item = (&'static str, &Histogram<u64>)> {
        self.0.iter().map(|(kind, times)| (*kind, times))
    }

    /// How many steps of a kind there were.
    pub fn count(&self, kind: &str) -> u64 {
        self.0.get(kind).map_or(0, Histogram::len)
    }

    /// The time of all steps of a kind, by their mean.
    pub fn spent(&self, kind: &str) -> f64 {
        self.0.get(kind).map_or(0.0, |times| mean(times) * times.len() as f64)
    }
}

/// The mean without the dearest in a thousand: on a shared machine those are other programs' turns.
pub fn mean(times: &Histogram<u64>) -> f64 {
    let most = times.value_at_quantile(0.999);
    let kept = times.iter_recorded().filter(|step| step.value_iterated_to() <= most);
    let (sum, count) = kept.fold((0.0, 0.0), |(sum, count), step| {
        let steps = step.count_at_value() as f64;
        (sum + step.value_iterated_to() as f64 * steps, count + steps)
    });
    if count > 0.0 { sum / count } else { 0.0 }
}
