//! Histograms of the durations of single steps of the reducer, by kind of input, and their figures. Measures
//! nothing itself.

use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::time::Duration;

/// The longest duration that the histograms resolve.
const MAX_STEP_NS: u64 = 60_000_000_000;

/// The durations of steps, by kind of input.
#[derive(Clone, Debug, Default)]
pub struct StepTimes(BTreeMap<&'static str, Histogram<u64>>);

impl StepTimes {
    /// Records the duration of a step on an input of this kind.
    pub fn record(&mut self, input: &'static str, duration: Duration) {
        let times = self.0.entry(input).or_insert_with(|| {
            Histogram::new_with_bounds(1, MAX_STEP_NS, 2).expect("the bounds are in order")
        });
        times.saturating_record(duration.as_nanos() as u64);
    }

    /// Adds the durations of another thread.
    pub fn add(&mut self, others: &StepTimes) {
        for (input, times) in &others.0 {
            match self.0.get_mut(input) {
                Some(merged) => merged.add(times).expect("all have the same bounds"),
                None => _ = self.0.insert(input, times.clone()),
            }
        }
    }

    /// Returns the figures `decision.KIND.count`, `.mean_us`, `.p50_us`, `.p99_us`, `.max_us`, and the same
    /// of `all`.
    pub fn figures(&self) -> Vec<(String, f64)> {
        let mut all = Histogram::new_with_bounds(1, MAX_STEP_NS, 2).expect("the bounds are in order");
        self.0.values().for_each(|times| all.add(times).expect("all have the same bounds"));
        let kinds = self.0.iter().map(|(input, times)| (*input, times)).chain([("all", &all)]);
        let figures = kinds.flat_map(|(kind, times)| {
            let us = |ns: u64| ns as f64 / 1e3;
            [
                ("count", times.len() as f64),
                ("mean_us", times.mean() / 1e3),
                ("p50_us", us(times.value_at_quantile(0.5))),
                ("p99_us", us(times.value_at_quantile(0.99))),
                ("max_us", us(times.max())),
            ]
            .map(|(figure, value)| (format!("decision.{kind}.{figure}"), value))
        });
        figures.collect()
    }
}
