//! What stand-ins count, for each side: what real dispatchers cause and what hollow ones do. It owns the counting
//! and how counts are named; it must never cost more than an addition, nor know what is counted.

use std::collections::BTreeMap;
use std::marker::PhantomData;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Who causes what is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrafficSource {
    /// Dispatchers that are processes of their own.
    Real,
    /// Dispatchers of which many are in one process.
    Hollow,
    /// What runs on control machines.
    Control,
}

impl TrafficSource {
    /// Their names, in order.
    pub const NAMES: [&str; 3] = ["real", "hollow", "control"];

    /// The side of a dispatcher.
    pub fn of_dispatcher(hollow: bool) -> TrafficSource {
        if hollow { TrafficSource::Hollow } else { TrafficSource::Real }
    }
}

/// Things that are counted, numbered in the order of their names.
pub trait MetricNames: Copy {
    /// Their names.
    const NAMES: &'static [&'static str];

    /// The number of one.
    fn index(self) -> usize;
}

/// An enum of things that are counted, each with its name.
macro_rules! metric_names {
    ($(#[$doc:meta])* $name:ident { $($what:ident = $text:literal,)* }) => {
        $(#[$doc])*
        #[allow(missing_docs, reason = "the names say it")]
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum $name { $($what,)* }

        impl $crate::metrics::MetricNames for $name {
            const NAMES: &'static [&'static str] = &[$($text,)*];

            fn index(self) -> usize {
                self as usize
            }
        }
    };
}
pub(crate) use metric_names;

#[derive(Default)]
struct GaugeValue {
    now: AtomicU64,
    max: AtomicU64,
}

struct SourceMetrics {
    counters: Vec<AtomicU64>,
    gauges: Vec<GaugeValue>,
}

/// The counts `C`, which only grow, and the levels `G`, which come and go, of all sides.
pub struct Metrics<C, G>([SourceMetrics; 3], PhantomData<(C, G)>);

impl<C: MetricNames, G: MetricNames> Default for Metrics<C, G> {
    fn default() -> Metrics<C, G> {
        let zeroed = || SourceMetrics {
            counters: C::NAMES.iter().map(|_| AtomicU64::default()).collect(),
            gauges: G::NAMES.iter().map(|_| GaugeValue::default()).collect(),
        };
        Metrics([zeroed(), zeroed(), zeroed()], PhantomData)
    }
}

impl<C: MetricNames, G: MetricNames> Metrics<C, G> {
    /// Adds to a count of a side.
    pub fn add(&self, source: TrafficSource, counter: C, amount: usize) {
        self.0[source as usize].counters[counter.index()].fetch_add(amount as u64, Relaxed);
    }

    /// One more.
    pub fn increment(&self, source: TrafficSource, gauge: G) {
        let value = &self.0[source as usize].gauges[gauge.index()];
        let now = value.now.fetch_add(1, Relaxed) + 1;
        value.max.fetch_max(now, Relaxed);
    }

    /// One less.
    pub fn decrement(&self, source: TrafficSource, gauge: G) {
        self.0[source as usize].gauges[gauge.index()].now.fetch_sub(1, Relaxed);
    }

    /// One more, until what it returns is dropped.
    pub fn hold(&self, source: TrafficSource, gauge: G) -> GaugeGuard<'_, C, G> {
        self.increment(source, gauge);
        GaugeGuard { metrics: self, source, gauge }
    }

    /// All of them by name, its side's name and a dot before it: a level's value now ends in `_now`, the most that it
    /// was in `_most`.
    pub fn values(&self) -> BTreeMap<String, f64> {
        let mut values = BTreeMap::new();
        for (source, source_name) in self.0.iter().zip(TrafficSource::NAMES) {
            for (counter, name) in source.counters.iter().zip(C::NAMES) {
                values.insert(format!("{source_name}.{name}"), counter.load(Relaxed) as f64);
            }
            for (gauge, name) in source.gauges.iter().zip(G::NAMES) {
                values.insert(format!("{source_name}.{name}_now"), gauge.now.load(Relaxed) as f64);
                values.insert(format!("{source_name}.{name}_most"), gauge.max.load(Relaxed) as f64);
            }
        }
        values
    }
}

/// One that is counted in a level.
pub struct GaugeGuard<'a, C: MetricNames, G: MetricNames> {
    metrics: &'a Metrics<C, G>,
    source: TrafficSource,
    gauge: G,
}

impl<C: MetricNames, G: MetricNames> Drop for GaugeGuard<'_, C, G> {
    fn drop(&mut self) {
        self.metrics.decrement(self.source, self.gauge);
    }
}
