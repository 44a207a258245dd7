//! The figures that operators read at the door: jobs answered, deferred and errored by class, attempts
//! sent, jobs under way, runners listed and avoided, configurations taken and turned down. It owns the
//! counters and their names on the page. Counters are bumped where the event happens, on the serving
//! thread, and read from the door's thread without a lock; only a class seen for the first time takes
//! the registry's lock. It must never decide anything, nor hold a figure that it could not count.

use std::fmt::Write;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};

/// Most classes counted; what clients name beyond that is not.
const MOST_CLASSES: usize = 64;

/// How a job's final answer counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// Served: the runner's result went back.
    Answered,
    /// Refused: trying again is harmless.
    Deferred,
    /// Failed, or never of use.
    Errored,
}

/// The three counts of one class.
#[derive(Debug, Default)]
pub struct ClassMetrics {
    answered: AtomicU64,
    deferred: AtomicU64,
    errored: AtomicU64,
}

impl ClassMetrics {
    pub fn count(&self, counted: AnswerKind) {
        let counter = match counted {
            AnswerKind::Answered => &self.answered,
            AnswerKind::Deferred => &self.deferred,
            AnswerKind::Errored => &self.errored,
        };
        counter.fetch_add(1, Relaxed);
    }
}

/// Every figure of the process, from 0 at its start.
#[derive(Debug, Default)]
pub struct Metrics {
    /// Each class by its name, in the order they were first seen.
    classes: Mutex<Vec<(String, Arc<ClassMetrics>)>>,
    /// Attempts written whole to runners.
    pub sends: AtomicU64,
    /// Jobs taken and not ended.
    pub current: AtomicU64,
    /// Runners on the list.
    pub cluster_size: AtomicU64,
    /// Listed runners that the dispatcher avoids now: by hand, because the list drains them, or by choice.
    pub cluster_unhealthy: AtomicU64,
    /// Configurations taken at SIGHUP.
    pub conf_loaded: AtomicU64,
    /// Configurations turned down at SIGHUP.
    pub conf_invalid: AtomicU64,
    /// The process serves, and is not ending.
    pub ready: AtomicBool,
}

impl Metrics {
    /// The counters of a class, made on first use.
    pub fn class(&self, name: &str) -> Arc<ClassMetrics> {
        self.find_or_make(name, usize::MAX).unwrap_or_default()
    }

    /// The counters of a class that clients name, where the registry has room for one more: names
    /// that no class has must not grow it without end.
    pub fn class_if_room(&self, name: &str) -> Option<Arc<ClassMetrics>> {
        self.find_or_make(name, MOST_CLASSES)
    }

    /// A class's counters, made where fewer than `most` classes are known.
    fn find_or_make(&self, name: &str, most: usize) -> Option<Arc<ClassMetrics>> {
        // A poisoned lock only means that a thread panicked while it held it; the counters stay true.
        let mut classes = self.classes.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        if let Some((_, figures)) = classes.iter().find(|(known, _)| known == name) {
            return Some(figures.clone());
        }
        if classes.len() >= most {
            return None;
        }
        let figures = Arc::new(ClassMetrics::default());
        classes.push((name.to_owned(), figures.clone()));
        Some(figures)
    }

    pub fn add(counter: &AtomicU64) {
        counter.fetch_add(1, Relaxed);
    }

    pub fn set(counter: &AtomicU64, value: usize) {
        counter.store(value as u64, Relaxed);
    }

    /// The page: one `name=value` a line, each ended by a newline.
    pub fn render(&self) -> String {
        let mut page = String::new();
        let classes = self.classes.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        for (name, figures) in classes.iter() {
            let counts = [
                ("answered", &figures.answered),
                ("deferred", &figures.deferred),
                ("errored", &figures.errored),
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
