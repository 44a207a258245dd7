//! The store: keys in progress, resolved keys, and the accounting of their memory.
//!
//! Resolved keys are kept in two expiry queues per class: served keys and keys that may have run. All keys of
//! a queue have the same lifetime, so the order of insertion is the order of expiry and the front is always
//! the oldest. The cost of a call is a few look-ups, independent of the number of keys; the removal of
//! expired entries is amortised over the calls that inserted them.

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

/// A resolved or unresolved key, as stored in a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The owner of the key.
    pub member: Member,
    /// The number of the class.
    pub class: u32,
    /// The key.
    pub key: Vec<u8>,
    /// Identifies the content of the request.
    pub fingerprint: Fingerprint,
    /// When the request was resolved; for a request in progress, when the record was made.
    pub resolved_at: Time,
    /// How the request ended: served, or may have run.
    pub resolution: Resolution,
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

    /// Decides on a request with a key. If it may start or be sent again, the key is in progress as `run`
    /// until [`resolve`](Store::resolve).
    ///
    /// Prevents a repeat from running a second time, in particular at another place. A client that uses one
    /// key for two requests gets the first result for both, unless their paths or bodies differ.
    pub fn admit(&mut self, now: Time, request: &KeyedRequest, run: RunId) -> Admission {
        if request.key.is_empty() || request.key.len() > self.bounds.max_key_bytes {
            return Admission::InvalidKey;
        }
        let Some(class) = self.classes.get_mut(request.class as usize) else { return Admission::InvalidKey };
        write_id(&mut self.scratch, request.member, request.class, request.key);
        let id = self.scratch.as_slice();
        if let Some(entry) = self.in_progress.get(id) {
            if entry.fingerprint != request.fingerprint {
                self.counts.conflicts += 1;
                return Admission::Conflict;
            }
            self.counts.joined += 1;
            return Admission::Join(entry.run);
        }
        let retention = class.retention;
        if let Some(entry) = class.served.get(id).filter(|entry| now < entry.resolved_at + retention.window) {
            return if entry.fingerprint != request.fingerprint {
                self.counts.conflicts += 1;
                Admission::Conflict
            } else if let Some(result) = &entry.result {
                self.counts.replayed += 1;
                Admission::Replay(result.clone())
            } else {
                self.counts.result_not_stored += 1;
                Admission::ResultNotStored
            };
        }
        if let Some(entry) =
            class.uncertain.get(id).filter(|entry| now < entry.resolved_at + retention.uncertain_ttl)
        {
            if entry.fingerprint != request.fingerprint {
                self.counts.conflicts += 1;
                return Admission::Conflict;
            }
            let sent =
                entry.sent.filter(|sent| sent.place.is_some() && now < sent.first_at + retention.window);
            let Some(sent) = sent else {
                self.counts.not_repeatable += 1;
                return Admission::NotRepeatable;
            };
            // The entry moves from resolved to in progress; its memory use stays the same.
            let (id, entry) = class.uncertain.remove_entry(id).expect("looked up above");
            self.usage.resolved -= 1;
            self.counts.resent += 1;
            self.in_progress
                .insert(id, InProgress { fingerprint: entry.fingerprint, run, earlier: Some(sent) });
            return Admission::Resend(sent);
        }
        if request.retry && now < class.reject_unknown_retries_until {
            self.counts.unknown_retries += 1;
            return Admission::UnknownRetry;
        }
        let need = ENTRY_OVERHEAD_BYTES + id.len();
        if let Some(wait) = self.refusal_delay(now, request.member, need) {
            return Admission::Full(wait);
        }
        // An expired entry of the key may still be queued.
        let class = &mut self.classes[request.class as usize];
        for queue in [&mut class.served, &mut class.uncertain] {
            if let Some((id, entry)) = queue.remove_entry(self.scratch.as_slice()) {
                self.usage.remove_resolved(&id, &entry);
            }
        }
        self.counts.started += 1;
        self.usage.add(request.member, self.scratch.len());
        let entry = InProgress { fingerprint: request.fingerprint, run, earlier: None };
        self.in_progress.insert(self.scratch.as_slice().into(), entry);
        Admission::New
    }

    /// Records how the request of a key ended. Does nothing if the key is not in progress.
    pub fn resolve(&mut self, now: Time, member: Member, class: u32, key: &[u8], resolution: Resolution) {
        write_id(&mut self.scratch, member, class, key);
        let Some((id, entry)) = self.in_progress.remove_entry(self.scratch.as_slice()) else { return };
        let (result, sent) = match (resolution, entry.earlier) {
            (Resolution::Served(result), _) => (Some(result), None),
            (Resolution::MayHaveRun(sent), earlier) => {
                (None, Some(earlier.map_or(sent, |earlier| earlier.merge(sent))))
            }
            // This attempt never ran, but an earlier one may have.
            (Resolution::NeverRan, Some(earlier)) => (None, Some(earlier)),
            (Resolution::NeverRan, None) => {
                self.usage.remove(member, id.len());
                return;
            }
        };
        self.insert_resolved(
            now,
            id,
            Resolved { fingerprint: entry.fingerprint, resolved_at: now, result, sent },
        );
    }

    fn insert_resolved(&mut self, now: Time, id: Id, mut entry: Resolved) {
        if let Some(result) = &entry.result {
            let size = result.len();
            if size > self.bounds.max_result_bytes || !self.fits(now, 0, size) {
                self.counts.results_dropped += 1;
                entry.result = None;
            } else {
                self.usage.bytes += size;
            }
        }
        self.usage.resolved += 1;
        let class = &mut self.classes[class_of(&id) as usize];
        let queue = if entry.sent.is_some() { &mut class.uncertain } else { &mut class.served };
        queue.insert(id, entry);
    }

    /// Whether this many more entries and bytes fit, after evicting resolved keys that are outside their
    /// window.
    fn fits(&mut self, now: Time, entries: usize, bytes: usize) -> bool {
        let fit = |store: &Store| {
            store.len() + entries <= store.bounds.max_entries
                && store.bytes() + bytes <= store.bounds.max_bytes
        };
        for _ in 0..MAX_REMOVALS_PER_CALL {
            if fit(self) {
                return true;
            }
            if !self.evict_oldest(now) {
                return false;
            }
        }
        fit(self)
    }

    /// Returns the retry delay for a new key if there is no room for it.
    fn refusal_delay(&mut self, now: Time, member: Member, need: usize) -> Option<Span> {
        self.expire(now, 2);
        let member_entries = |store: &Store| store.usage.by_member.get(&member).copied().unwrap_or(0);
        if member_entries(self) >= self.bounds.max_entries_per_member {
            self.expire(now, MAX_REMOVALS_PER_CALL);
            if member_entries(self) >= self.bounds.max_entries_per_member {
                self.counts.member_full += 1;
                return Some(self.time_to_room(now));
            }
        }
        if !self.fits(now, 1, need) {
            self.counts.full += 1;
            return Some(self.time_to_room(now));
        }
        None
    }

    /// Finds the resolved key whose window ends first: its end, its class, and its queue (0: served, 1:
    /// uncertain).
    fn first_window_end(&self) -> Option<(Time, usize, usize)> {
        let ends = self.classes.iter().enumerate().flat_map(|(number, class)| {
            let fronts = [class.served.front(), class.uncertain.front()];
            let end = move |(_, entry): (&Id, &Resolved)| entry.resolved_at + class.retention.window;
            fronts.into_iter().enumerate().filter_map(move |(l, f)| f.map(|f| (end(f), number, l)))
        });
        ends.min()
    }

    /// The time until the first window of a resolved key ends; `hold_off` if there is none or it has ended.
    fn time_to_room(&self, now: Time) -> Span {
        let left = self.first_window_end().map_or(Span(0), |(end, ..)| end - now);
        if left.0 == 0 { self.bounds.hold_off } else { left }
    }

    /// Removes up to `max` expired keys; returns the number removed.
    pub fn expire(&mut self, now: Time, max: usize) -> usize {
        let mut removed = 0;
        for class in &mut self.classes {
            let Retention { window, uncertain_ttl } = class.retention;
            for (queue, lifetime) in [(&mut class.served, window), (&mut class.uncertain, uncertain_ttl)] {
                while removed < max
                    && queue.front().is_some_and(|(_, entry)| entry.resolved_at + lifetime <= now)
                {
                    let (id, entry) = queue.pop_front().expect("inspected above");
                    self.usage.remove_resolved(&id, &entry);
                    removed += 1;
                }
            }
        }
        removed
    }

    /// Evicts the resolved key whose window ended first; returns whether there was one. Never evicts a key
    /// inside its window.
    fn evict_oldest(&mut self, now: Time) -> bool {
        let Some((_, class, queue)) = self.first_window_end().filter(|(end, ..)| *end <= now) else {
            return false;
        };
        let class = &mut self.classes[class];
        let queue = if queue == 0 { &mut class.served } else { &mut class.uncertain };
        let (id, entry) = queue.pop_front().expect("its front was just inspected");
        if entry.sent.is_some() {
            self.counts.evicted += 1;
        }
        self.usage.remove_resolved(&id, &entry);
        true
    }

    /// Returns records of all keys for a snapshot, oldest first. `sent` returns the attempts of a request in
    /// progress; a request without any is recorded as sent to an unknown place, since it may be sent after
    /// this call.
    pub fn records(&self, now: Time, sent: impl Fn(RunId) -> Option<SentAttempts>) -> Vec<Record> {
        let record = |id: &Id, fingerprint, resolved_at, resolution| {
            let (member, class) = (member_of(id), class_of(id));
            Record { member, class, key: id[8..].to_vec(), fingerprint, resolved_at, resolution }
        };
        let mut all = Vec::with_capacity(self.len());
        for class in &self.classes {
            for (id, entry) in class.served.iter().chain(&class.uncertain) {
                let resolution = match (&entry.sent, &entry.result) {
                    (Some(sent), _) => Resolution::MayHaveRun(*sent),
                    (None, Some(result)) => Resolution::Served(result.clone()),
                    // The result was not stored, so a repeat must fail: recorded with an unknown place.
                    (None, None) => Resolution::MayHaveRun(SentAttempts::single(None, entry.resolved_at)),
                };
                all.push(record(id, entry.fingerprint, entry.resolved_at, resolution));
            }
        }
        for (id, entry) in &self.in_progress {
            let unknown = SentAttempts::single(None, now);
            let sent = match (entry.earlier, sent(entry.run)) {
                (Some(earlier), Some(sent)) => earlier.merge(sent),
                (earlier, sent) => earlier.or(sent).unwrap_or(unknown),
            };
            all.push(record(id, entry.fingerprint, now, Resolution::MayHaveRun(sent)));
        }
        // A deterministic order, independent of the hash seeds.
        let order = |r: &Record| (r.resolved_at, r.member, r.class);
        all.sort_by(|a, b| order(a).cmp(&order(b)).then_with(|| a.key.cmp(&b.key)));
        all
    }

    /// Loads the records of a previous process; returns the number loaded. Skips expired records and records
    /// of unknown classes; if not all fit, skips the oldest.
    pub fn restore(&mut self, now: Time, mut records: Vec<Record>) -> usize {
        records.sort_by_key(|record| record.resolved_at);
        let mut loaded = 0;
        let room = self.bounds.max_entries.saturating_sub(self.len());
        let skip = records.len().saturating_sub(room);
        for record in records.into_iter().skip(skip) {
            let Some(retention) = self.classes.get(record.class as usize).map(|class| class.retention) else {
                continue;
            };
            // If the clock was set back, a time in the future must not extend the lifetime of a key.
            let resolved_at = record.resolved_at.min(now);
            let lifetime = if matches!(record.resolution, Resolution::Served(_)) {
                retention.window
            } else {
                retention.uncertain_ttl
            };
            let key = record.key.as_slice();
            if resolved_at + lifetime <= now || key.is_empty() || key.len() > self.bounds.max_key_bytes {
                continue;
            }
            let (result, sent) = match record.resolution {
                Resolution::Served(result) => (Some(result), None),
                Resolution::MayHaveRun(sent) => (None, Some(sent)),
                Resolution::NeverRan => continue,
            };
            write_id(&mut self.scratch, record.member, record.class, key);
            let need = ENTRY_OVERHEAD_BYTES + self.scratch.len();
            if self.usage.bytes + need > self.bounds.max_bytes
                || self.in_progress.contains_key(self.scratch.as_slice())
            {
                continue;
            }
            let known = self.classes[record.class as usize].served.contains_key(self.scratch.as_slice())
                || self.classes[record.class as usize].uncertain.contains_key(self.scratch.as_slice());
            if known {
                continue;
            }
            self.usage.add(record.member, self.scratch.len());
            let id: Id = self.scratch.as_slice().into();
            self.insert_resolved(
                now,
                id,
                Resolved { fingerprint: record.fingerprint, resolved_at, result, sent },
            );
            loaded += 1;
        }
        loaded
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
