//! A bounded store of idempotency keys. For each key it records whether its request is in progress, was
//! served (with the result), or may have run (with where and when), and decides what a new request with the
//! key may do: start, join the one in progress, receive its stored result, or be sent again to the place
//! where the first one may have run. A key that is in progress or inside its window is never evicted; when
//! the store is full, new keys are refused. Contains no clock and no I/O, and never chooses a runner.

mod snapshot;
mod store;

pub use snapshot::{FORMAT, Names, Snapshot, SnapshotError};
pub use store::{Record, Store};

use bytes::Bytes;
use sablerun::{Span, Time, ZoneId};

/// The owner of a key: the number of a member, or [`Member::NONE`] where members are not distinguished. Keys
/// of different members are independent of each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
pub struct Member(pub u32);

impl Member {
    /// No member.
    pub const NONE: Member = Member(u32::MAX);
}

/// A hash of a request's path, query and body. Two requests with the same key and different fingerprints are
/// in conflict.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Fingerprint(pub [u8; 16]);

/// Identifies a request in progress; a number chosen by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RunId(pub u64);

/// How long the keys of a class are kept, counted from the resolution of their requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retention {
    /// How long a stored result is returned, and a request that may have run may be sent again to the same
    /// place. The runners there count their own window from the first sending, so resending ends when that
    /// window ends.
    pub window: Span,
    /// How long a request that may have run is remembered; at least the window. After the window a repeat
    /// fails, because the runners would no longer recognise it and would run it again.
    pub uncertain_ttl: Span,
}

/// The limits of a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum number of keys, in progress and resolved.
    pub max_entries: usize,
    /// Maximum memory for keys, results and overhead, as counted by [`Store::bytes`].
    pub max_bytes: usize,
    /// Maximum size of a stored result, in bytes.
    pub max_result_bytes: usize,
    /// Maximum length of a key, in bytes.
    pub max_key_bytes: usize,
    /// Maximum number of keys of one member.
    pub max_entries_per_member: usize,
    /// Retry delay of a refused request if no resolved key has a window whose end would make room.
    pub hold_off: Span,
}

/// The zone and cell that a request was sent to. Runners of the same place recognise repeats of a request
/// that any of them received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Place {
    /// The number of the zone.
    pub zone: u32,
    /// The number of the cell.
    pub cell: u32,
}

impl Place {
    /// The zone as an id of the balancer.
    pub fn zone(self) -> ZoneId {
        ZoneId(self.zone)
    }
}

/// The attempts of a request that were sent and may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentAttempts {
    /// The place that all attempts were sent to. `None` if it is unknown or they differ: then the request
    /// must not be sent again.
    pub place: Option<Place>,
    /// When the first attempt was sent; the window of the runners starts then.
    pub first_at: Time,
    /// When the last attempt was sent.
    pub last_at: Time,
    /// The number of attempts.
    pub count: u32,
}

impl SentAttempts {
    /// A single attempt.
    pub fn single(place: Option<Place>, at: Time) -> SentAttempts {
        SentAttempts { place, first_at: at, last_at: at, count: 1 }
    }

    /// Adds later attempts. If they went to another place, the result has no place: neither is safe for a
    /// repeat.
    pub fn merge(self, later: SentAttempts) -> SentAttempts {
        SentAttempts {
            place: self.place.filter(|place| later.place == Some(*place)),
            first_at: self.first_at.min(later.first_at),
            last_at: self.last_at.max(later.last_at),
            count: self.count.saturating_add(later.count),
        }
    }
}

/// How a request with a key ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Resolution {
    /// Served with this result.
    Served(Bytes),
    /// Failed, timed out, reset or abandoned by the client: it may have run.
    MayHaveRun(SentAttempts),
    /// Provably never ran: the key can be used again.
    NeverRan,
}

/// A request with an idempotency key.
#[derive(Clone, Copy, Debug)]
pub struct KeyedRequest<'a> {
    /// The owner of the key.
    pub member: Member,
    /// The number of the class.
    pub class: u32,
    /// The key as sent by the client.
    pub key: &'a [u8],
    /// Identifies the content of the request.
    pub fingerprint: Fingerprint,
    /// Whether the client marks the request as a retry.
    pub retry: bool,
}

/// The decision on a request with a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Start the request. Its key is now in progress until the caller resolves it.
    New,
    /// Send the request again, but only to the place where it may have run. The key is now in progress.
    Resend(SentAttempts),
    /// Wait for the answer of the request in progress.
    Join(RunId),
    /// Return the stored result.
    Replay(Bytes),
    /// Fail: the request may have run, and no runner would recognise a repeat any more, or the place where it
    /// may have run is unknown.
    NotRepeatable,
    /// Fail: the request was served, but its result was not stored (too large, or no room).
    ResultNotStored,
    /// Fail: a retry of an unknown key, so soon after the start that a previous process may have sent the
    /// first attempt.
    UnknownRetry,
    /// Client error: the key belongs to a request with another fingerprint.
    Conflict,
    /// Client error: the key is empty or too long.
    InvalidKey,
    /// Refuse: the store is full; retry after this delay.
    Full(Span),
}

/// Counters since the creation of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests started with a new key.
    pub started: u64,
    /// Repeats that joined a request in progress.
    pub joined: u64,
    /// Repeats answered with the stored result.
    pub replayed: u64,
    /// Repeats sent again to the place of the first attempt.
    pub resent: u64,
    /// Repeats that failed because the window had ended or the place was unknown.
    pub not_repeatable: u64,
    /// Repeats that failed because the result was not stored.
    pub result_not_stored: u64,
    /// Retries of unknown keys that failed soon after the start.
    pub unknown_retries: u64,
    /// Keys used for a different request.
    pub conflicts: u64,
    /// New keys refused because the store was full.
    pub full: u64,
    /// New keys refused because their member had reached its limit.
    pub member_full: u64,
    /// Keys of requests that may have run, evicted after their window to make room.
    pub evicted: u64,
    /// Results not stored: too large, or no room.
    pub results_dropped: u64,
}
