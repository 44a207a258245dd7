//! What stand-ins count, for each side: what real dispatchers cause and what hollow ones do. It owns the counting
//! and how counts are named; it must never cost more than an addition, nor know what is counted.

use std::collections::BTreeMap;
use std::marker::PhantomData;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Who causes what is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Dispatchers that are processes of their own.
    Real,
    /// Dispatchers of which many are in one process.
    Hollow,
    /// What runs on control machines.
    Control,
}

impl Side {
    /// Their names, in order.
    pub const NAMES: [&str; 3] = ["real", "hollow", "control"];

    /// The side of a dispatcher.
    pub fn of(hollow: bool) -> Side {
        if hollow { Side::Hollow } else { Side::Real }
    }
}

/// Things that are counted, numbered in the order of their names.
pub trait Named: Copy {
    /// Their names.
    const NAMES: &'static [&'static str];

    /// The number of one.
    fn number(self) -> usize;
}

/// An enum of things that are counted, each with its name.
macro_rules! named {
    ($(#[$doc:meta])* $name:ident { $($what:ident = $text:literal,)* }) => {
        $(#[$doc])*
        #[allow(missing_docs, reason = "the names say it")]
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum $name { $($what,)* }

        impl $crate::tally::Named for $name {
            const NAMES: &'static [&'static str] = &[$($text,)*];

            fn number(self) -> usize {
                self as usize
            }
        }
    };
}
pub(crate) use named;

#[derive(Default)]
struct Level {
    now: AtomicU64,
    most: AtomicU64,
}

struct Counted {
    counts: Vec<AtomicU64>,
    levels: Vec<Level>,
}

/// The counts `C`, which only grow, and the levels `L`, which come and go, of all sides.
pub struct Tally<C, L>([Counted; 3], PhantomData<(C, L)>);

impl<C: Named, L: Named> Default for Tally<C, L> {
    fn default() -> Tally<C, L> {
        let side = || Counted {
            counts: C::NAMES.iter().map(|_| AtomicU64::default()).collect(),
            levels: L::NAMES.iter().map(|_| Level::default()).collect(),
        };
        Tally([side(), side(), side()], PhantomData)
    }
}

impl<C: Named, L: Named> Tally<C, L> {
    /// Adds to a count of a side.
    pub fn add(&self, side: Side, count: C, more: usize) {
        self.0[side as usize].counts[count.number()].fetch_add(more as u64, Relaxed);
    }

    /// One more.
    pub fn up(&self, side: Side, level: L) {
        let level = &self.0[side as usize].levels[level.number()];
        let now = level.now.fetch_add(1, Relaxed) + 1;
        level.most.fetch_max(now, Relaxed);
    }

    /// One less.
    pub fn down(&self, side: Side, level: L) {
        self.0[side as usize].levels[level.number()].now.fetch_sub(1, Relaxed);
    }

    /// One more, until what it returns is dropped.
    pub fn hold(&self, side: Side, level: L) -> Held<'_, C, L> {
        self.up(side, level);
        Held { tally: self, side, level }
    }

    /// All of them by name, its side's name and a dot before it: a level's value now ends in `_now`, the most that it
    /// was in `_most`.
    pub fn values(&self) -> BTreeMap<String, f64> {
        let mut values = BTreeMap::new();
        for (side, name) in self.0.iter().zip(Side::NAMES) {
            for (count, of) in side.counts.iter().zip(C::NAMES) {
                values.insert(format!("{name}.{of}"), count.load(Relaxed) as f64);
            }
            for (level, of) in side.levels.iter().zip(L::NAMES) {
                values.insert(format!("{name}.{of}_now"), level.now.load(Relaxed) as f64);
                values.insert(format!("{name}.{of}_most"), level.most.load(Relaxed) as f64);
            }
        }
        values
    }
}

/// One that is counted in a level.
pub struct Held<'a, C: Named, L: Named> {
    tally: &'a Tally<C, L>,
    side: Side,
    level: L,
}

impl<C: Named, L: Named> Drop for Held<'_, C, L> {
    fn drop(&mut self) {
        self.tally.down(self.side, self.level);
    }
}
