//! Metrics that operators read from the admin socket: jobs answered, deferred and errored by class, attempts
//! sent, open jobs, runners listed and avoided, configurations loaded and rejected. Counters are updated on
//! the serving thread where the event happens, and read from the admin socket's thread; they are atomic. The
//! registry's lock is taken only to look up a class or to list the classes.

use std::fmt::Write;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};

/// Once this many classes are counted, further class names that clients make up are not; configured classes
/// always are.
const MAX_CLASSES: usize = 64;

/// How a job's final answer counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// Served: the client got the runner's result.
    Answered,
    /// Refused: safe to retry.
    Deferred,
    /// Failed, or rejected as invalid.
    Errored,
}

/// The counters of one class.
#[derive(Debug, Default)]
pub struct ClassMetrics {
    answered: AtomicU64,
    deferred: AtomicU64,
    errored: AtomicU64,
}

impl ClassMetrics {
    pub fn count(&self, kind: AnswerKind) {
        let counter = match kind {
            AnswerKind::Answered => &self.answered,
            AnswerKind::Deferred => &self.deferred,
            AnswerKind::Errored => &self.errored,
        };
        counter.fetch_add(1, Relaxed);
    }
}

/// All metrics of the process, from 0 at its start.
#[derive(Debug, Default)]
pub struct Metrics {
    /// The classes by name, in the order in which they were first seen.
    classes: Mutex<Vec<(String, Arc<ClassMetrics>)>>,
    /// Attempts written completely to runners.
    pub sends: AtomicU64,
    /// Jobs accepted and not finished.
    pub current: AtomicU64,
    /// Runners on the list.
    pub cluster_size: AtomicU64,
    /// Listed runners that are avoided now: disabled, draining, or avoided by the balancer.
    pub cluster_unhealthy: AtomicU64,
    /// Configurations loaded on SIGHUP.
    pub conf_loaded: AtomicU64,
    /// Configurations rejected on SIGHUP.
    pub conf_invalid: AtomicU64,
    /// Whether the process serves and is not shutting down.
    pub ready: AtomicBool,
}

impl Metrics {
    /// Returns the counters of a class, created on first use.
    pub fn class(&self, name: &str) -> Arc<ClassMetrics> {
        self.find_or_create(name, usize::MAX).unwrap_or_default()
    }

    /// Returns the counters of a class that a client names, if they exist or the registry has room for one
    /// more: made-up names must not grow it without bound.
    pub fn class_if_room(&self, name: &str) -> Option<Arc<ClassMetrics>> {
        self.find_or_create(name, MAX_CLASSES)
    }

    /// Returns a class's counters, which are created if fewer than `max_classes` classes are known.
    fn find_or_create(&self, name: &str, max_classes: usize) -> Option<Arc<ClassMetrics>> {
        // A poisoned lock only means that a thread panicked while holding it; the counters are still valid.
        let mut classes = self.classes.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        if let Some((_, metrics)) = classes.iter().find(|(known, _)| known == name) {
            return Some(metrics.clone());
        }
        if classes.len() >= max_classes {
            return None;
        }
        let metrics = Arc::new(ClassMetrics::default());
        classes.push((name.to_owned(), metrics.clone()));
        Some(metrics)
    }

    pub fn add(counter: &AtomicU64) {
        counter.fetch_add(1, Relaxed);
    }

    pub fn set(counter: &AtomicU64, value: usize) {
        counter.store(value as u64, Relaxed);
    }

    /// Renders the metrics as text: one `name=value` a line, each ended by a newline.
    pub fn render(&self) -> String {
        let mut page = String::new();
        let classes = self.classes.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        for (name, metrics) in classes.iter() {
            let counts = [
                ("answered", &metrics.answered),
                ("deferred", &metrics.deferred),
                ("errored", &metrics.errored),
            ];
            for (what, count) in counts {
                let _ = writeln!(page, "transactions.{name}.{what}={}", count.load(Relaxed));
            }
        }
        drop(classes);
        let gauges = [
            ("sends", &self.sends),
            ("current", &self.current),
            ("cluster_size", &self.cluster_size),
            ("cluster_unhealthy", &self.cluster_unhealthy),
            ("conf_loaded", &self.conf_loaded),
            ("conf_invalid", &self.conf_invalid),
        ];
        for (name, value) in gauges {
            let _ = writeln!(page, "{name}={}", value.load(Relaxed));
        }
        page
    }
}
