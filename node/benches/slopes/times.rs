//! The times of steps by kind, and their means.

use hdrhistogram::Histogram;
use std::collections::BTreeMap;

/// Times of steps, in nanoseconds, by kind.
#[derive(Default)]
pub struct Times(BTreeMap<&'static str, Histogram<u64>>);

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(10_000_000_000, 3).expect("valid bounds")
}

impl Times {
    pub fn record(&mut self, kind: &'static str, nanos: u64) {
        self.0.entry(kind).or_insert_with(histogram).saturating_record(nanos);
    }

    pub fn kinds(&self) -> impl Iterator<Item = (&'static str, &Histogram<u64>)> {
        self.0.iter().map(|(kind, times)| (*kind, times))
    }

    /// Returns the number of steps of a kind.
    pub fn count(&self, kind: &str) -> u64 {
        self.0.get(kind).map_or(0, Histogram::len)
    }

    /// Returns the time of all steps of a kind: their number times their mean.
    pub fn total_nanos(&self, kind: &str) -> f64 {
        self.0.get(kind).map_or(0.0, |times| mean(times) * times.len() as f64)
    }
}

/// Returns the mean without the slowest step in a thousand: on a shared machine those were preempted.
pub fn mean(times: &Histogram<u64>) -> f64 {
    let limit = times.value_at_quantile(0.999);
    let included = times.iter_recorded().filter(|step| step.value_iterated_to() <= limit);
    let (sum, count) = included.fold((0.0, 0.0), |(sum, count), step| {
        let steps = step.count_at_value() as f64;
        (sum + step.value_iterated_to() as f64 * steps, count + steps)
    });
    if count > 0.0 { sum / count } else { 0.0 }
}
