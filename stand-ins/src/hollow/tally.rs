//! What stand-ins count, for each side: what real dispatchers cause and what hollow ones do. It owns the names and
//! the counts; it must never cost more than an addition.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

macro_rules! counted {
    ($(#[$doc:meta])* $name:ident { $($(#[$of:meta])* $what:ident = $text:literal,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum $name { $($(#[$of])* $what,)* }

        impl $name {
            const NAMES: &'static [&'static str] = &[$($text,)*];
        }
    };
}

counted! {
    /// What only grows. Bytes are those of HTTP messages; `in` is toward the stand-in.
    #[allow(missing_docs, reason = "the names say it")]
    Count {
        Requests = "requests",
        Answers202 = "answers_202",
        Answers400 = "answers_400",
        Answers404 = "answers_404",
        Copies = "copies",
        GiveUps = "give_ups",
        GivenUpWaiting = "given_up_waiting",
        GivenUpRunning = "given_up_running",
        Started = "started",
        Ended = "ended",
        Lost = "lost",
        Probes = "probes",
        CallBacks = "callbacks",
        CallBackTries = "callback_tries",
        CallBacksUnheard = "callbacks_unheard",
        Accepted = "connections_accepted",
        Opened = "connections_opened",
        IdleClosed = "connections_idle_closed",
        BytesInRequests = "bytes_in.requests",
        BytesOutRequests = "bytes_out.requests",
        BytesInGiveUps = "bytes_in.give_ups",
        BytesOutGiveUps = "bytes_out.give_ups",
        BytesInProbes = "bytes_in.probes",
        BytesOutProbes = "bytes_out.probes",
        BytesInCallBacks = "bytes_in.callbacks",
        BytesOutCallBacks = "bytes_out.callbacks",
        BytesOutReports = "bytes_out.reports",
    }
}

counted! {
    /// What comes and goes: its value now, and the most that it was, named `max_...`.
    #[allow(missing_docs, reason = "the names say it")]
    Gauge {
        Running = "running",
        Queued = "queued",
        Connections = "connections_open",
        Resting = "callback_connections_open",
    }
}

#[derive(Default)]
struct Level {
    now: AtomicU64,
    most: AtomicU64,
}

#[derive(Default)]
struct Side {
    counts: [AtomicU64; Count::NAMES.len()],
    levels: [Level; Gauge::NAMES.len()],
}

/// The counts of both sides.
#[derive(Default)]
pub struct Tally([Side; 2]);

impl Tally {
    /// Adds to a count of a side.
    pub fn add(&self, hollow: bool, count: Count, more: usize) {
        self.0[usize::from(hollow)].counts[count as usize].fetch_add(more as u64, Relaxed);
    }

    /// One more.
    pub fn up(&self, hollow: bool, gauge: Gauge) {
        let level = &self.0[usize::from(hollow)].levels[gauge as usize];
        let now = level.now.fetch_add(1, Relaxed) + 1;
        level.most.fetch_max(now, Relaxed);
    }

    /// One less.
    pub fn down(&self, hollow: bool, gauge: Gauge) {
        self.0[usize::from(hollow)].levels[gauge as usize].now.fetch_sub(1, Relaxed);
    }

    /// A count of a side.
    pub fn count(&self, hollow: bool, count: Count) -> u64 {
        self.0[usize::from(hollow)].counts[count as usize].load(Relaxed)
    }

    /// A gauge of a side, now.
    pub fn now(&self, hollow: bool, gauge: Gauge) -> u64 {
        self.0[usize::from(hollow)].levels[gauge as usize].now.load(Relaxed)
    }

    /// All of them by name.
    pub fn values(&self) -> BTreeMap<String, f64> {
        let mut values = BTreeMap::new();
        for (side, name) in self.0.iter().zip(["real", "hollow"]) {
            for (count, of) in side.counts.iter().zip(Count::NAMES) {
                values.insert(format!("{name}.{of}"), count.load(Relaxed) as f64);
            }
            for (level, of) in side.levels.iter().zip(Gauge::NAMES) {
                values.insert(format!("{name}.{of}"), level.now.load(Relaxed) as f64);
                values.insert(format!("{name}.max_{of}"), level.most.load(Relaxed) as f64);
            }
        }
        values
    }
}
