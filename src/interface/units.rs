//! Times, durations and ids. Their arithmetic saturates: it neither overflows nor goes below zero. Contains
//! no clock and no decisions.

use std::ops::{Add, Sub};

/// A point in time on the host's clock, in nanoseconds from an arbitrary start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub u64);

/// A duration in nanoseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub u64);

impl Span {
    /// Returns the duration in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e9
    }

    /// Returns a duration of so many seconds; negative values and NaN become zero.
    pub fn from_secs(secs: f64) -> Span {
        Span((secs * 1e9).max(0.0) as u64)
    }
}

impl Add<Span> for Time {
    type Output = Time;
    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl Sub<Time> for Time {
    type Output = Span;
    /// Returns the time from `earlier` to `self`; zero if `earlier` is later.
    fn sub(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Sub<Span> for Time {
    type Output = Time;
    fn sub(self, span: Span) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

macro_rules! id {
    ($(#[$doc:meta] $name:ident),* $(,)?) => {$(
        #[$doc]
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u32);
    )*};
}

id! {
    /// A worker, numbered from 0 in the order in which lists first named it.
    WorkerId,
    /// A request; ids are never reused.
    RequestId,
    /// A class of request: an index into [`Settings::classes`](super::Settings::classes).
    ClassId,
    /// A tenant: an index into [`Settings::tenants`](super::Settings::tenants).
    TenantId,
    /// A zone.
    ZoneId,
    /// A machine kind.
    KindId,
}
