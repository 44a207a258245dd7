//! A bounded store of idempotency keys. It owns what is known of each key that a client gave: under
//! way, served with this result, may have run there at that time. It says what a request with a key may
//! do: begin, join the one under way, take its result, or begin again, but only where the first may have
//! run. It must never read a clock, do input or output, choose a worker, or drop a key that is under way
//! or inside its window: where there is no room the newcomer is turned away instead.

mod snapshot;
mod store;

pub use snapshot::{FORMAT, Names, Snapshot, SnapshotError};
pub use store::{Record, Store};

use bytes::Bytes;
use sablerun::{Span, Time, ZoneId};

/// Whose key it is: the member's number, or [`Member::NONE`] where members are not told apart. No member
/// sees or blocks another's keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
pub struct Member(pub u32);

impl Member {
    /// No member.
    pub const NONE: Member = Member(u32::MAX);
}

/// A digest of what is asked for: path, query and body. Two requests under one key with different
/// digests are different requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Fingerprint(pub [u8; 16]);

/// The run of a request under way: a number that the caller made up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RunId(pub u64);

/// How long a class's keys are kept, each from the moment in which its request was settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retention {
    /// A result is handed back, and a repeat of what may have run goes to the same hall, for so long.
    /// The hall's own window counts from the sending, so a repeat ends earlier where that does.
    pub window: Span,
    /// What may have run is remembered for so long, at least the window: beyond the window a repeat
    /// fails, since a hall would run it again.
    pub uncertain_ttl: Span,
}

/// What the store may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Keys under way and settled.
    pub max_entries: usize,
    /// Bytes of keys, results and the store's own overhead, as [`Store::bytes`] counts them.
    pub max_bytes: usize,
    /// Largest result that is kept, in bytes.
    pub max_result_bytes: usize,
    /// Longest key, in bytes.
    pub max_key_bytes: usize,
    /// Keys of one member.
    pub max_entries_per_member: usize,
    /// When to come back where only time can tell when there will be room.
    pub hold_off: Span,
}

/// Where a hall's memory of repeats reaches.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Place {
    /// The zone, by its number.
    pub zone: u32,
    /// The cell.
    pub cell: u32,
}

impl Place {
    /// The zone as the module names it.
    pub fn zone(self) -> ZoneId {
        ZoneId(self.zone)
    }
}

/// The sendings of a request that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentAttempts {
    /// Where; `None` if that is not known, and a repeat may go nowhere.
    pub place: Option<Place>,
    /// The first that may have run: the hall's window counts from it.
    pub first_at: Time,
    /// The last that may have run.
    pub last_at: Time,
    /// How many.
    pub count: u32,
}

impl SentAttempts {
    /// One sending.
    pub fn single(place: Option<Place>, at: Time) -> SentAttempts {
        SentAttempts { place, first_at: at, last_at: at, count: 1 }
    }

    /// Adds a later sending. It must be to the same place; if it is not, no place is safe any more.
    pub fn merge(self, later: SentAttempts) -> SentAttempts {
        SentAttempts {
            place: self.place.filter(|place| later.place == Some(*place)),
            first_at: self.first_at.min(later.first_at),
            last_at: self.last_at.max(later.last_at),
            count: self.count.saturating_add(later.count),
        }
    }
}

/// How a request under a key was settled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Resolution {
    /// With this result.
    Served(Bytes),
    /// Failed, timed out, reset or left: it may have run.
    MayHaveRun(SentAttempts),
    /// It is proven that it never ran: the key is free.
    NeverRan,
}

/// A request with a key.
#[derive(Clone, Copy, Debug)]
pub struct KeyedRequest<'a> {
    /// Whose key.
    pub member: Member,
    /// The class, by its number.
    pub class: u32,
    /// The key as the client wrote it.
    pub key: &'a [u8],
    /// What is asked for.
    pub fingerprint: Fingerprint,
    /// The client marks it as a later try.
    pub retry: bool,
}

/// What a request with a key may do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Begin: the key is under way now, and the caller settles it.
    New,
    /// Begin again, but only where the first may have run; the key is under way now.
    Resend(SentAttempts),
    /// Wait for the answer of the request under way.
    Join(RunId),
    /// Take the first one's result.
    Replay(Bytes),
    /// Fail: it may have run, and no hall would know a repeat for one any more.
    NotRepeatable,
    /// Fail: it was served, but its result was too large to keep.
    ResultNotStored,
    /// Fail: a later try whose first one this store can't know, too soon after its start.
    UnknownRetry,
    /// An error of the client: the key stands for another request.
    Conflict,
    /// An error of the client: the key is empty or too long.
    InvalidKey,
    /// Refused: there is no room. Come back after this.
    Full(Span),
}

/// What has been counted so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Keys that began.
    pub started: u64,
    /// Repeats that joined one under way.
    pub joined: u64,
    /// Repeats that were handed the first one's result.
    pub replayed: u64,
    /// Repeats sent again, bound to the first one's hall.
    pub resent: u64,
    /// Repeats failed: the window was over, or the hall not known.
    pub not_repeatable: u64,
    /// Repeats failed: the result had not been kept.
    pub result_not_stored: u64,
    /// Marked later tries failed soon after the start.
    pub unknown_retries: u64,
    /// Keys given for another request.
    pub conflicts: u64,
    /// Newcomers refused: the store was full.
    pub full: u64,
    /// Newcomers refused: their member held its most.
    pub member_full: u64,
    /// Keys that may have run, dropped for want of room after their window.
    pub evicted: u64,
    /// Results not kept: too large, or no room.
    pub results_dropped: u64,
}
