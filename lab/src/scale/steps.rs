//! How long single decisions take, by the kind of what they are about. It owns the histograms and the names of
//! their figures; it must never time anything itself.

use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::time::Duration;

/// The longest time told apart.
const LONGEST_NS: u64 = 60_000_000_000;

/// The times of steps, by kind of input.
#[derive(Clone, Debug, Default)]
pub struct Steps(BTreeMap<&'static str, Histogram<u64>>);

impl Steps {
    /// A step on an input of this kind took so long.
    pub fn record(&mut self, input: &'static str, took: Duration) {
        let times = self.0.entry(input).or_insert_with(|| {
            Histogram::new_with_bounds(1, LONGEST_NS, 2).expect("the bounds are in order")
        });
        times.saturating_record(took.as_nanos() as u64);
    }

    /// Adds what another thread has seen.
    pub fn add(&mut self, others: &Steps) {
        for (input, times) in &others.0 {
            match self.0.get_mut(input) {
                Some(own) => own.add(times).expect("all have the same bounds"),
                None => _ = self.0.insert(input, times.clone()),
            }
        }
    }

    /// Figures by name: `decision.KIND.count`, `.mean_us`, `.p50_us`, `.p99_us`, `.max_us`, and the same of `all`.
    pub fn figures(&self) -> Vec<(String, f64)> {
        let mut all = Histogram::new_with_bounds(1, LONGEST_NS, 2).expect("the bounds are in order");
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
