//! The store: keys in progress, resolved keys, and the accounting of their memory.
//!
//! Resolved keys are kept in two expiry queues per class: served keys and keys that may have run. All keys of
//! a queue have the same lifetime, so the order of insertion is the order of expiry and the front is always
//! the oldest. The cost of a call is a few look-ups, independent of the number of keys; the removal of
//! expired entries is amortised over the calls that inserted them.

mod admission;
mod records;
mod room;

pub use records::Record;

use crate::{
    Admission, Bounds, Counts, Fingerprint, KeyedRequest, Member, Resolution, Retention, RunId, SentAttempts,
};
use bytes::Bytes;
use hashlink::LinkedHashMap;
use sablerun::{Span, Time};
use std::collections::HashMap;

/// Memory of an entry beyond its key and result, in bytes: the slots and links of both tables at their usual
/// load, and the rounding of the allocator (measured by the benchmark `store`).
const ENTRY_OVERHEAD_BYTES: usize = 224;
/// Maximum number of entries that a call removes in one pass to make room.
const MAX_REMOVALS_PER_CALL: usize = 256;

/// Member and class (4 bytes each), then the key: a single allocation that can be looked up by slice.
type Id = Box<[u8]>;
type HashState = foldhash::fast::RandomState;

struct InProgress {
    fingerprint: Fingerprint,
    run: RunId,
    /// The earlier attempts with this key that may have run.
    earlier: Option<SentAttempts>,
}

struct Resolved {
    fingerprint: Fingerprint,
    resolved_at: Time,
    /// `None` in a queue of served keys if the result was not stored.
    result: Option<Bytes>,
    /// Always set in a queue of keys that may have run.
    sent: Option<SentAttempts>,
}

type ExpiryQueue = LinkedHashMap<Id, Resolved, HashState>;

struct Class {
    retention: Retention,
    /// Until then a retry of an unknown key may belong to a request that a previous process sent.
    reject_unknown_retries_until: Time,
    served: ExpiryQueue,
    uncertain: ExpiryQueue,
}

/// Accounting of the stored entries.
#[derive(Default)]
struct Usage {
    resolved: usize,
    bytes: usize,
    /// Entries of each member, in progress and resolved.
    by_member: HashMap<Member, usize, HashState>,
}

impl Usage {
    /// Accounts for a new key.
    fn add(&mut self, member: Member, id_len: usize) {
        self.bytes += ENTRY_OVERHEAD_BYTES + id_len;
        *self.by_member.entry(member).or_default() += 1;
    }

    /// Accounts for a removed key.
    fn remove(&mut self, member: Member, id_len: usize) {
        self.bytes -= ENTRY_OVERHEAD_BYTES + id_len;
        if let Some(count) = self.by_member.get_mut(&member) {
            *count -= 1;
            if *count == 0 {
                self.by_member.remove(&member);
            }
        }
    }

    /// Accounts for a removed resolved key and its result.
    fn remove_resolved(&mut self, id: &Id, entry: &Resolved) {
        self.resolved -= 1;
        self.bytes -= entry.result.as_ref().map_or(0, Bytes::len);
        self.remove(member_of(id), id.len());
    }
}

/// The idempotency keys of all classes.
pub struct Store {
    bounds: Bounds,
    classes: Vec<Class>,
    in_progress: HashMap<Id, InProgress, HashState>,
    usage: Usage,
    counts: Counts,
    /// Buffer for the id of the current look-up.
    scratch: Vec<u8>,
}

impl Store {
    /// Returns an empty store with these retention times, one per class.
    pub fn new(bounds: Bounds, retentions: Vec<Retention>) -> Store {
        let mut store = Store {
            bounds,
            classes: Vec::new(),
            in_progress: HashMap::default(),
            usage: Usage::default(),
            counts: Counts::default(),
            scratch: Vec::new(),
        };
        retentions.into_iter().for_each(|retention| store.add_class(retention));
        store
    }

    /// Changes the most bytes that keys and results may take. Nothing is removed at once if there are more.
    pub fn set_max_bytes(&mut self, max_bytes: usize) {
        self.bounds.max_bytes = max_bytes;
    }

    /// Adds a class; classes are numbered in the order in which they are added.
    pub fn add_class(&mut self, retention: Retention) {
        let queue = || LinkedHashMap::with_hasher(HashState::default());
        let retention =
            Retention { uncertain_ttl: retention.uncertain_ttl.max(retention.window), ..retention };
        self.classes.push(Class {
            retention,
            reject_unknown_retries_until: Time(0),
            served: queue(),
            uncertain: queue(),
        });
    }

    /// Until the given time, makes marked retries of unknown keys of a class fail: a previous process may
    /// have sent the first attempt to any place.
    pub fn reject_unknown_retries_until(&mut self, class: u32, until: Time) {
        if let Some(class) = self.classes.get_mut(class as usize) {
            class.reject_unknown_retries_until = until;
        }
    }

    /// Whether retries of unknown keys still fail for any class, because a previous process may have sent
    /// requests that this store does not know.
    pub fn rejects_unknown_retries(&self, now: Time) -> bool {
        self.classes.iter().any(|class| now < class.reject_unknown_retries_until)
    }

    /// The number of keys, in progress and resolved.
    pub fn len(&self) -> usize {
        self.in_progress.len() + self.usage.resolved
    }

    /// The number of keys in progress.
    pub fn in_progress(&self) -> usize {
        self.in_progress.len()
    }

    /// Whether the store holds no key.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The memory used by keys, results and the overhead of each entry, in bytes.
    pub fn bytes(&self) -> usize {
        self.usage.bytes
    }

    /// Returns the counters.
    pub fn counts(&self) -> Counts {
        self.counts
    }
}

fn write_id(buffer: &mut Vec<u8>, member: Member, class: u32, key: &[u8]) {
    buffer.clear();
    buffer.extend_from_slice(&member.0.to_le_bytes());
    buffer.extend_from_slice(&class.to_le_bytes());
    buffer.extend_from_slice(key);
}

fn member_of(id: &Id) -> Member {
    Member(u32::from_le_bytes([id[0], id[1], id[2], id[3]]))
}

fn class_of(id: &Id) -> u32 {
    u32::from_le_bytes([id[4], id[5], id[6], id[7]])
}
