//! Counters and gauges of the stand-ins, kept separately for each traffic source. An update costs one or
//! two atomic operations.

use std::collections::BTreeMap;
use std::marker::PhantomData;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// The kind of process that causes the counted traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrafficSource {
    /// Dispatchers that are separate processes.
    Real,
    /// Simulated dispatchers, many of them in one process.
    Hollow,
    /// The processes on control machines.
    Control,
}

impl TrafficSource {
    /// The names, in the order of the variants.
    pub const NAMES: [&str; 3] = ["real", "hollow", "control"];

    /// Returns the source of a dispatcher.
    pub fn of_dispatcher(hollow: bool) -> TrafficSource {
        if hollow { TrafficSource::Hollow } else { TrafficSource::Real }
    }
}

/// An enum of metrics with a name for each variant.
pub trait MetricNames: Copy {
    /// The names, in the order of the variants.
    const NAMES: &'static [&'static str];

    /// Returns the index of a variant.
    fn index(self) -> usize;
}

/// Defines an enum of metrics with their names.
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

/// Counters `C` and gauges `G` for each traffic source.
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
    /// Adds to a counter.
    pub fn add(&self, source: TrafficSource, counter: C, amount: usize) {
        self.0[source as usize].counters[counter.index()].fetch_add(amount as u64, Relaxed);
    }

    /// Adds one to a gauge.
    pub fn increment(&self, source: TrafficSource, gauge: G) {
        let value = &self.0[source as usize].gauges[gauge.index()];
        let now = value.now.fetch_add(1, Relaxed) + 1;
        value.max.fetch_max(now, Relaxed);
    }

    /// Subtracts one from a gauge.
    pub fn decrement(&self, source: TrafficSource, gauge: G) {
        self.0[source as usize].gauges[gauge.index()].now.fetch_sub(1, Relaxed);
    }

    /// Adds one to a gauge until the returned guard is dropped.
    pub fn hold(&self, source: TrafficSource, gauge: G) -> GaugeGuard<'_, C, G> {
        self.increment(source, gauge);
        GaugeGuard { metrics: self, source, gauge }
    }

    /// Returns all values by name, prefixed by the source's name and a dot. A gauge has its current value
    /// under `_now` and its maximum under `_most`.
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

/// Subtracts one from a gauge when dropped.
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
